package replay

import (
	"embed"
	"fmt"

	"hornbeamstep.example/hornbeambench/trace"
)

// files are the fault files of the scenarios that combine failures.
//
//go:embed faults/*.jsonl
var files embed.FS

// together returns the faults of several files of the directory faults, replayed together. The files are part of the program, so a
// faulty one is a fault of the program.
func together(names ...string) []trace.Fault {
	var lists [][]trace.Fault
	for _, name := range names {
		file, err := files.Open("faults/" + name + ".jsonl")
		if err != nil {
			panic(fmt.Sprintf("fault file %s: %v", name, err))
		}
		list, err := trace.ReadFaults(file)
		if err != nil {
			panic(fmt.Sprintf("fault file %s: %v", name, err))
		}
		lists = append(lists, list)
	}
	return trace.Merge(lists...)
}

// light is a trace of 200 s at a third of the peak.
func light() trace.Shape {
	s := trace.Umgeni()
	s.Rate, s.Length, s.Gap = 8, 200, 200
	return s
}

// day is a trace of 70 minutes with few requests.
func day() trace.Shape {
	s := trace.Umgeni()
	s.Rate, s.Length, s.Gap = 1, 4200, 4200
	return s
}

// linked returns the scenarios of links, clocks and regions, each alone and with a second failure.
func linked() []Scenario {
	small := Small()
	return []Scenario{
		{
			Name: "cut", About: "links between routers and engines are cut one way for up to 60 s",
			Fleet: small, Shape: light(), Faults: together("cut"), Outcomes: append(sound(), noneLost(), noneGivenUp()),
		},
		{
			Name: "cut-kill", About: "the same, while a router and the engine behind a cut link die",
			Fleet: small, Shape: light(), Faults: together("cut", "kill"), Outcomes: append(sound(), noneLost(), noneGivenUp()),
		},
		{
			Name: "clock", About: "the clocks of five routers step by up to 25 hours, while twelve requests crash the engines that run them",
			Fleet: small, Shape: light(), Faults: together("clock", "poison"), Outcomes: append(sound(), twoEngines(), noneLost()),
		},
		{
			Name: "clock-pause", About: "the same, while two of the routers pause",
			Fleet: small, Shape: light(), Faults: together("clock", "poison", "pause"),
			Outcomes: append(sound(), twoEngines(), noneLost()),
		},
		{
			Name: "part", About: "a region is cut off for an hour from the others and from the object API, and rejoins",
			Fleet: small, Shape: day(), Faults: together("part"), Outcomes: append(sound(), oneOwner(), noneLost(), noneGivenUp()),
		},
		{
			Name: "part-kill", About: "the same, while routers of both sides and an engine die and the object API is down",
			Fleet: small, Shape: day(), Faults: together("part", "parted"), Outcomes: append(sound(), oneOwner(), noneLost(), noneGivenUp()),
		},
	}
}
