package replay

import (
	"embed"
	"fmt"

	"hornbeamstep.example/hornbeambench/trace"
)

// faultFiles holds the fault files of the scenarios that combine failures.
//
//go:embed faults/*.jsonl
var faultFiles embed.FS

// readFaultFiles merges the faults of several files of the directory faults. The files are embedded
// in the program, so an invalid one is a programming error and causes a panic.
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

// lightShape is a trace of 200 s with a third of the peak rate.
func lightShape() trace.Workload {
	shape := trace.PeakWorkload()
	shape.Rate, shape.BurstSeconds, shape.BurstInterval = 8, 200, 200
	return shape
}

// lowRateShape is a trace of 70 minutes with few requests.
func lowRateShape() trace.Workload {
	shape := trace.PeakWorkload()
	shape.Rate, shape.BurstSeconds, shape.BurstInterval = 1, 4200, 4200
	return shape
}

// networkScenarios returns the scenarios with link, clock and region failures, each alone and
// combined with a second failure.
func networkScenarios() []Scenario {
	small := SmallFleet()
	return []Scenario{
		{
			Name: "cut", Description: "links between routers and engines are cut one way for up to 60 s",
			Fleet: small, Shape: lightShape(), Faults: readFaultFiles("cut"), Requirements: append(safetyRequirements(), noCallLost(), noCallerTimeout()),
		},
		{
			Name: "cut-kill", Description: "the same, while a router and the engine behind a cut link die",
			Fleet: small, Shape: lightShape(), Faults: readFaultFiles("cut", "kill"), Requirements: append(safetyRequirements(), noCallLost(), noCallerTimeout()),
		},
		{
			Name: "clock", Description: "the clocks of five routers step by up to 25 hours, while twelve requests crash the engines that run them",
			Fleet: small, Shape: lightShape(), Faults: readFaultFiles("clock", "poison"), Requirements: append(safetyRequirements(), atMostTwoEnginesLost(), noCallLost()),
		},
		{
			Name: "clock-pause", Description: "the same, while two of the routers pause",
			Fleet: small, Shape: lightShape(), Faults: readFaultFiles("clock", "poison", "pause"),
			Requirements: append(safetyRequirements(), atMostTwoEnginesLost(), noCallLost()),
		},
		{
			Name: "part", Description: "a region is cut off for an hour from the others and from the object API, and rejoins",
			Fleet: small, Shape: lowRateShape(), Faults: readFaultFiles("part"), Requirements: append(safetyRequirements(), oneOwnerPerEngine(), noCallLost(), noCallerTimeout()),
		},
		{
			Name: "part-kill", Description: "the same, while routers of both sides and an engine die and the object API is down",
			Fleet: small, Shape: lowRateShape(), Faults: readFaultFiles("part", "parted"), Requirements: append(safetyRequirements(), oneOwnerPerEngine(), noCallLost(), noCallerTimeout()),
		},
	}
}
