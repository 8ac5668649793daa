// Package replay simulates a fleet of routers and engines that serves a generated or recorded
// trace. It runs the packages that make the routing decisions (placement, admission, retry,
// quarantine and others) in virtual time, and checks the result against the requirements of a
// scenario.
package replay

import (
	"container/heap"
	"time"
)

// epoch is the wall time at the start of a replay.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock is a discrete-event scheduler. It runs events in order of virtual time, and in the order of
// scheduling where times are equal.
type clock struct {
	now   time.Duration
	queue eventQueue
	seq   uint64
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

// wall returns the exact wall time. A router's own wall clock may differ; see router.wallClock.
func (c *clock) wall() time.Time { return epoch.Add(c.now) }

// after schedules an event. A negative delay counts as 0.
func (c *clock) after(delay time.Duration, do func()) {
	c.seq++
	heap.Push(&c.queue, event{at: c.now + max(0, delay), seq: c.seq, do: do})
}

// runUntil executes events until none is left or the next one is after the limit.
func (c *clock) runUntil(limit time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= limit {
		next := heap.Pop(&c.queue).(event)
		c.now = next.at
		next.do()
	}
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := len(old) - 1
	e := old[last]
	old[last] = event{}
	*q = old[:last]
	return e
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
