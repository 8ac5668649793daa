package replay

import (
	"embed"
	"fmt"

	"hornbeamstep.example/hornbeambench/trace"
)

// faultFiles holds the fault files of networkScenarios.
//
//go:embed faults/*.jsonl
var faultFiles embed.FS

// readFaultFiles merges the faults of several embedded files, given by name without the extension.
// A missing or invalid file is a programming error and causes a panic.
func readFaultFiles(names ...string) []trace.Fault {
	var lists [][]trace.Fault
	for _, name := range names {
		file, err := faultFiles.Open("faults/" + name + ".jsonl")
		if err != nil {
			panic(fmt.Sprintf("embedded fault file %s: %v", name, err))
		}
		faults, err := trace.ReadFaults(file)
		if err != nil {
			panic(fmt.Sprintf("embedded fault file %s: %v", name, err))
		}
		lists = append(lists, faults)
	}
	return trace.MergeFaults(lists...)
}

// lightWorkload returns a workload of 200 s with about a third of the rate of PeakWorkload.
func lightWorkload() trace.Workload {
	workload := trace.PeakWorkload()
	workload.Rate, workload.BurstSeconds, workload.BurstInterval = 8, 200, 200
	return workload
}

// lowRateWorkload returns a workload of 70 minutes with a mean rate of one chat per second.
func lowRateWorkload() trace.Workload {
	workload := trace.PeakWorkload()
	workload.Rate, workload.BurstSeconds, workload.BurstInterval = 1, 4200, 4200
	return workload
}

// networkScenarios returns the scenarios with cut links, clock steps and zone partitions, each
// alone and combined with further failures. A partition stands for the loss of the network between
// regions.
func networkScenarios() []Scenario {
	small := SmallFleet()
	return []Scenario{
		{
			Name: "cut", Description: "links between routers and engines are cut one way for up to 60 s",
			Fleet: small, Shape: lightWorkload(), Faults: readFaultFiles("cut"), Requirements: append(safetyRequirements(), noCallLost(), noCallerTimeout()),
		},
		{
			Name: "cut-kill", Description: "the same, while a router and the engine behind a cut link die",
			Fleet: small, Shape: lightWorkload(), Faults: readFaultFiles("cut", "kill"), Requirements: append(safetyRequirements(), noCallLost(), noCallerTimeout()),
		},
		{
			Name: "clock", Description: "the clocks of five routers step by up to 25 hours, while twelve requests crash the engines that run them",
			Fleet: small, Shape: lightWorkload(), Faults: readFaultFiles("clock", "poison"), Requirements: append(safetyRequirements(), atMostTwoEnginesLost(), noCallLost()),
		},
		{
			Name: "clock-pause", Description: "the same, while two of the routers pause",
			Fleet: small, Shape: lightWorkload(), Faults: readFaultFiles("clock", "poison", "pause"),
			Requirements: append(safetyRequirements(), atMostTwoEnginesLost(), noCallLost()),
		},
		{
			Name: "part", Description: "a region is cut off for an hour from the others and from the object API, and rejoins",
			Fleet: small, Shape: lowRateWorkload(), Faults: readFaultFiles("part"), Requirements: append(safetyRequirements(), oneOwnerPerEngine(), noCallLost(), noCallerTimeout()),
		},
		{
			Name: "part-kill", Description: "the same, while routers of both sides and an engine die and the object API is down",
			Fleet: small, Shape: lowRateWorkload(), Faults: readFaultFiles("part", "parted"), Requirements: append(safetyRequirements(), oneOwnerPerEngine(), noCallLost(), noCallerTimeout()),
		},
	}
}
