package replay

import (
	"slices"
	"time"

	"hornbeamstep.example/hornbeambench/trace"
	"hornbeamstep.example/routing/placement"
)

// Mechanism is a protection that FleetConfig.DisabledMechanism can leave out.
type Mechanism string

const (
	// FallbackAdmission admits a request without the owner of the engine if the owner does not
	// respond.
	FallbackAdmission Mechanism = "stand-in"
	// ProgressTimeouts resumes or ends attempts that make no progress.
	ProgressTimeouts Mechanism = "progress"
	// ClockCorrection corrects the times of quarantine entries from routers whose clocks differ.
	ClockCorrection Mechanism = "own clock"
	// Takeover moves the ownership of engines during a partition to routers that can reach them.
	Takeover Mechanism = "takeover"
	// RequireClaims refuses requests that may not be repeated while the claim log is unreachable.
	RequireClaims Mechanism = "claims"
)

const (
	// connectTimeout is how long a router waits for a connection.
	connectTimeout = time.Second
	// partitionDetectionLimit is the maximum time until routers detect that members and engines
	// became unreachable or reachable again.
	partitionDetectionLimit = 10 * time.Second
)

func (f *fleet) enabled(m Mechanism) bool { return f.DisabledMechanism != m }

// zoneOf returns the zone of a router or an engine.
func (f *fleet) zoneOf(name string) string {
	if e := f.engineByID[name]; e != nil {
		return e.zone
	}
	return f.routerByName(name).zone
}

// canReach reports whether messages from one router or engine arrive at another.
func (f *fleet) canReach(from, to string) bool {
	if f.cutLinks[[2]string{from, to}] > 0 {
		return false
	}
	return f.partitionedZone == "" || (f.zoneOf(from) == f.partitionedZone) == (f.zoneOf(to) == f.partitionedZone)
}

// connected reports whether messages arrive in both directions.
func (f *fleet) connected(a, b string) bool { return f.canReach(a, b) && f.canReach(b, a) }

// reachesClaimLog reports whether a router reaches the claim log. The claim log needs the object
// API, which a partition separates from the zone that is cut off.
func (f *fleet) reachesClaimLog(r *router) bool {
	return f.objectAPIUp && (f.partitionedZone == "" || r.zone != f.partitionedZone)
}

func (f *fleet) cutLink(fault trace.Fault) {
	from, to := fault.CutEndpoints()
	link := [2]string{from, to}
	f.cutLinks[link]++
	f.after(seconds(fault.DurationSeconds), func() { f.cutLinks[link]-- })
}

// stepClock steps the wall clock of a router. Deadlines and intervals use the monotonic clock,
// which is not affected.
func (f *fleet) stepClock(fault trace.Fault) {
	r, offset := f.routerByName(fault.Target), seconds(fault.Value)
	r.clockSkew += offset
	if fault.DurationSeconds > 0 {
		f.after(seconds(fault.DurationSeconds), func() { r.clockSkew -= offset })
	}
}

// partitionZone cuts a zone off from the others for the duration. Each router on either side
// detects after its failure detection delay which routers and engines it cannot reach.
func (f *fleet) partitionZone(zone string, duration time.Duration) {
	f.partitionedZone = zone
	f.updateMembers()
	f.after(partitionDetectionLimit, f.countOwnershipErrors)
	f.after(duration+partitionDetectionLimit, f.countOwnershipErrors)
	for _, r := range f.routers {
		f.after(f.failureDetectionDelay(r), func() { r.runOrDefer(func() { f.markUnreachable(r) }) })
	}
	f.after(duration, func() {
		f.partitionedZone = ""
		f.updateMembers()
		for _, r := range f.routers {
			f.after(f.failureDetectionDelay(r)+time.Millisecond, func() { r.runOrDefer(func() { f.restoreReachable(r) }) })
		}
	})
}

// markUnreachable marks the engines that a router cannot reach as suspect.
func (f *fleet) markUnreachable(r *router) {
	for _, e := range f.engines {
		if !f.connected(r.name, e.id) {
			r.unreachable = append(r.unreachable, e.id)
			r.applyListedState(e.id, placement.Suspect)
		}
	}
}

// restoreReachable handles the end of a partition at a router. The engines that markUnreachable
// marked become joining, and are in service after partitionDetectionLimit.
func (f *fleet) restoreReachable(r *router) {
	for _, id := range r.unreachable {
		if !f.engineByID[id].up {
			continue
		}
		r.applyListedState(id, placement.Joining)
		f.after(partitionDetectionLimit, func() {
			if f.engineByID[id].up && !f.engineByID[id].draining {
				r.runOrDefer(func() { r.applyListedState(id, placement.InService) })
			}
		})
	}
	r.unreachable = nil
}

// wallClock returns the time of the router's wall clock, including its skew.
func (r *router) wallClock() time.Time { return r.fleet.wall().Add(r.clockSkew) }

// countOwnershipErrors counts the engines that do not have exactly one owner among the routers that
// reach them.
func (f *fleet) countOwnershipErrors() {
	for _, e := range f.engines {
		owners := 0
		for _, r := range f.routers {
			if r.up && r.gates[e.id] != nil && f.connected(r.name, e.id) {
				owners++
			}
		}
		if owners != 1 {
			f.stats.ownershipErrors++
		}
	}
}

// reachableRouters returns the responding routers on a router's side of a partition. A cut link
// hides no router, because routers also probe each other indirectly through third routers.
func (f *fleet) reachableRouters(r *router) []string {
	return slices.DeleteFunc(f.respondingRouters(), func(name string) bool {
		return f.partitionedZone != "" && (f.zoneOf(name) == f.partitionedZone) != (r.zone == f.partitionedZone)
	})
}
