package permit

import (
	"math"
	"slices"
	"time"

	"hornbeamstep.example/routing/roster"
)

const (
	// cancelTime is how long a slot stays taken after its request has ended without an answer, within
	// which the server notices that.
	cancelTime = 500 * time.Millisecond
	// maxHold is the longest time for which a request may hold a slot.
	maxHold = 10 * time.Minute
	// spareShare is the share of a server's slots, at least one, that no request gets. New connections
	// may take a slot for a moment, and a server learns late that a caller has left.
	spareShare = 0.125
	// slotGrowth is the number of slots per second that are used again after a rejection.
	slotGrowth = 1.0
	// usedRejectionShare is the share of the rejections which a server withstands that may occur before it
	// gets no more requests for rejectionWindow.
	usedRejectionShare = 0.5
	// excessInterval is the time over which the lowest number of requests without a slot is taken, and
	// heldDecayTime that over which the number of slots in use is averaged. Both cover the age of the
	// load reports.
	excessInterval = 500 * time.Millisecond
	heldDecayTime  = 400 * time.Millisecond
	// holdSamples is the number of requests over which the time that they hold a slot is averaged.
	holdSamples = 16
	// minSlotWait and maxSlotWait limit the time after which a denied router asks again.
	minSlotWait = 5 * time.Millisecond
	maxSlotWait = 250 * time.Millisecond
)

// Holder identifies the request that holds a slot.
type Holder struct {
	Router string
	// Number is that of the router's question for the slot.
	Number uint32
}

// SlotAsk is a request for a slot of a server.
type SlotAsk struct {
	Holder Holder
	// ReplyTo is the address of the router that asks; empty for the issuer itself.
	ReplyTo string
	// MaxHold is how long the request may hold the slot at most; 0 if unknown.
	MaxHold time.Duration
}

// Ending says how a request that held a slot has ended.
type Ending uint8

// Endings of requests.
const (
	// Done means that the server does not work on the request: it has answered, or the request was not
	// sent.
	Done Ending = iota
	// Rejected means that the server has rejected the request for want of room.
	Rejected
	// Lost means that the server may still work on the request.
	Lost
	// LastEnding is the highest value.
	LastEnding = Lost
)

// Grant is a slot that a request has waited for.
type Grant struct {
	Server  string
	Holder  Holder
	ReplyTo string
}

// Slots hands out the slots of the brittle servers of which a router is the issuer, so that no more
// requests reach a server than it can run at once. A rate would not do: such a server may let no
// request wait, and how long requests take is known too late. Requests that no slot covers, such as those
// which an earlier issuer has permitted, are found by the load reports. It is not safe for concurrent
// use.
type Slots struct {
	known map[string]roster.Server
	// defaults holds the number of slots of the servers of each service that register fewer.
	defaults map[string]int
	servers  map[string]*slotServer
	// loads holds the requests in progress at each server as reported.
	loads map[string]int
}

// slotServer holds the slots of one server.
type slotServer struct {
	born int64
	// holders holds when the slot of each request ends at the latest.
	holders map[Holder]heldSlot
	// queue is sorted by priority, and by arrival within a priority.
	queue []queuedAsk
	// limit is the number of slots that are used, as of updatedAt. It falls with rejections.
	limit     float64
	updatedAt time.Time
	// rejectedAt holds the times of the rejections within rejectionWindow, and pausedUntil the end of
	// the time for which the server gets no requests.
	rejectedAt  []time.Time
	pausedUntil time.Time
	// holdTime is the average time for which requests hold a slot; 0 before the first one.
	holdTime time.Duration
	// held is the moving average of the number of holders, as of heldAt.
	held   float64
	heldAt time.Time
	// excess is the lowest number of requests without a slot since excessSince, and previousExcess that of
	// the interval before.
	excess, previousExcess float64
	excessSince            time.Time
}

type heldSlot struct{ from, until time.Time }

type queuedAsk struct {
	Grant
	priority int
	until    time.Time
	maxHold  time.Duration
}

// NewSlots returns a Slots that knows no servers.
func NewSlots() *Slots {
	return &Slots{known: map[string]roster.Server{}, servers: map[string]*slotServer{}, loads: map[string]int{}}
}

// SetServers replaces the servers. All slots of one that has restarted are free.
func (s *Slots) SetServers(servers []roster.Server) {
	known := make(map[string]roster.Server, len(servers))
	for _, server := range servers {
		known[server.ID] = server
	}
	for id, state := range s.servers {
		if server, listed := known[id]; !listed || server.Born != state.born {
			delete(s.servers, id)
		}
	}
	s.known = known
}

// SetDefaults replaces the number of slots of servers that register fewer, by service.
func (s *Slots) SetDefaults(slots map[string]int) { s.defaults = slots }

// slotsOf returns the number of slots of a server.
func (s *Slots) slotsOf(id string) int {
	server := s.known[id]
	return max(1, server.Slots, s.defaults[server.Service])
}

// Report records the requests in progress from all routers, by server. They are as old as the load
// reports.
func (s *Slots) Report(now time.Time, loads map[string]int) {
	s.loads = loads
	for id, state := range s.servers {
		state.average(now)
		state.recordExcess(now, float64(loads[id]))
	}
}

// recordExcess records the number of requests that routers report to be in progress. Those that hold
// slots are part of it.
func (s *slotServer) recordExcess(now time.Time, load float64) {
	excess := max(0, load-s.held)
	if now.Sub(s.excessSince) >= excessInterval {
		s.previousExcess, s.excess, s.excessSince = s.excess, excess, now
		return
	}
	s.excess = min(s.excess, excess)
}

// average brings the average number of holders up to date. It must be called before they change.
func (s *slotServer) average(now time.Time) {
	if elapsed := now.Sub(s.heldAt).Seconds(); elapsed > 0 {
		s.held += (float64(len(s.holders)) - s.held) * (1 - math.Exp(-elapsed/heldDecayTime.Seconds()))
		s.heldAt = now
	}
}

func (s *Slots) server(now time.Time, id string) *slotServer {
	state := s.servers[id]
	if state == nil {
		excess := float64(s.loads[id])
		state = &slotServer{
			born: s.known[id].Born, holders: map[Holder]heldSlot{}, limit: math.Inf(1), updatedAt: now, heldAt: now,
			excess: excess, previousExcess: excess, excessSince: now,
		}
		s.servers[id] = state
	}
	return state
}

// usableSlots returns the number of a server's slots that requests may use.
func usableSlots(slots int) float64 {
	return max(1, float64(slots)-max(1, math.Floor(spareShare*float64(slots))))
}

// Acquire answers a request for a slot of a server. part is the part of the slots that this issuer may
// hand out. If decided is false, the request waits for up to ask.MaxDelay for a slot that a later call
// of Release or Tick returns.
func (s *Slots) Acquire(now time.Time, ask Ask, part float64) (answer Answer, decided bool) {
	state := s.server(now, ask.Server)
	state.expire(now)
	state.grow(now, s.slotsOf(ask.Server))
	if state.hasRoom(now, part) && len(state.queue) == 0 {
		state.hold(now, ask.Slot.Holder, ask.Slot.MaxHold)
		return Answer{Granted: true}, true
	}
	ahead := 0
	for _, q := range state.queue {
		if q.priority <= ask.Priority {
			ahead++
		}
	}
	wait := min(max(minSlotWait, time.Duration(float64(state.holdTime)*float64(ahead+1)/max(1, state.limit))), maxSlotWait)
	wait = max(wait, state.pausedUntil.Sub(now))
	if wait > ask.MaxDelay {
		return Answer{Wait: wait}, true
	}
	q := queuedAsk{Grant{ask.Server, ask.Slot.Holder, ask.Slot.ReplyTo}, ask.Priority, now.Add(ask.MaxDelay), ask.Slot.MaxHold}
	state.queue = slices.Insert(state.queue, ahead, q)
	return Answer{}, false
}

// Release ends the hold of a request on a slot, or its wait for one, and returns the requests that get
// a slot now.
func (s *Slots) Release(now time.Time, server string, holder Holder, ending Ending, part float64, maxRejections int) []Grant {
	state := s.servers[server]
	if state == nil {
		return nil
	}
	state.queue = slices.DeleteFunc(state.queue, func(q queuedAsk) bool { return q.Holder == holder })
	if held, holds := state.holders[holder]; holds {
		state.end(now, holder, held, ending)
		if ending == Rejected {
			state.recordRejection(now, maxRejections)
		}
	}
	return s.grantQueued(now, server, part)
}

// Tick ends the holds and waits whose time is over, and returns the requests that get a slot now.
func (s *Slots) Tick(now time.Time, part float64) []Grant {
	var grants []Grant
	for id := range s.servers {
		grants = append(grants, s.grantQueued(now, id, part)...)
	}
	return grants
}

func (s *Slots) grantQueued(now time.Time, server string, part float64) []Grant {
	state := s.servers[server]
	state.expire(now)
	state.grow(now, s.slotsOf(server))
	var grants []Grant
	for len(state.queue) > 0 && state.hasRoom(now, part) {
		next := state.queue[0]
		state.queue = state.queue[1:]
		state.hold(now, next.Holder, next.maxHold)
		grants = append(grants, next.Grant)
	}
	return grants
}

func (s *slotServer) hasRoom(now time.Time, part float64) bool {
	if now.Before(s.pausedUntil) {
		return false
	}
	return len(s.holders)+1+s.uncovered() <= partOfSlots(s.limit, part)
}

// uncovered returns the number of requests at the server that no slot covers.
func (s *slotServer) uncovered() int { return int(math.Round(min(s.excess, s.previousExcess))) }

// partOfSlots returns the whole number of slots in a part of them. Parts that add up to 1 have no more
// than all slots together, as only one of them can exceed one half.
func partOfSlots(slots, part float64) int {
	n := math.Floor(slots) * part
	if part > 0.5 {
		n = math.Ceil(n)
	}
	return int(n)
}

func (s *slotServer) hold(now time.Time, holder Holder, most time.Duration) {
	s.average(now)
	if most <= 0 || most > maxHold {
		most = maxHold
	}
	s.holders[holder] = heldSlot{now, now.Add(most)}
}

func (s *slotServer) end(now time.Time, holder Holder, held heldSlot, ending Ending) {
	s.average(now)
	if ending == Lost {
		s.holders[holder] = heldSlot{held.from, now.Add(cancelTime)}
		return
	}
	delete(s.holders, holder)
	if ending != Done {
		return
	}
	took := now.Sub(held.from)
	if s.holdTime == 0 {
		s.holdTime = took
	}
	s.holdTime += (took - s.holdTime) / holdSamples
}

// recordRejection lowers the number of slots that are used to what the server has, and gives it no
// requests for a while if it might fail.
func (s *slotServer) recordRejection(now time.Time, maxRejections int) {
	s.limit = max(1, min(s.limit, float64(len(s.holders)+s.uncovered())))
	s.rejectedAt = slices.DeleteFunc(s.rejectedAt, func(at time.Time) bool { return now.Sub(at) >= rejectionWindow })
	s.rejectedAt = append(s.rejectedAt, now)
	if float64(len(s.rejectedAt)) >= max(1, usedRejectionShare*float64(maxRejections)) {
		s.pausedUntil = now.Add(rejectionWindow)
	}
}

// grow increases the number of slots that are used by the time that has passed.
func (s *slotServer) grow(now time.Time, slots int) {
	s.limit = min(usableSlots(slots), s.limit+slotGrowth*now.Sub(s.updatedAt).Seconds())
	s.updatedAt = now
}

// expire ends the holds and the waits whose time is over.
func (s *slotServer) expire(now time.Time) {
	for holder, held := range s.holders {
		if !now.Before(held.until) {
			s.average(now)
			delete(s.holders, holder)
		}
	}
	s.queue = slices.DeleteFunc(s.queue, func(q queuedAsk) bool { return !now.Before(q.until) })
}

// InUse returns the number of slots of a server that are in use, and that of its requests without a
// slot.
func (s *Slots) InUse(server string) (held, excess int) {
	state := s.servers[server]
	if state == nil {
		return 0, 0
	}
	return len(state.holders), state.uncovered()
}

// Clear forgets the state of all servers.
func (s *Slots) Clear() { clear(s.servers) }
