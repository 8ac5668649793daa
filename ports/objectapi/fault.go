package objectapi

import (
	"math/rand/v2"
	"time"
)

// Op is a kind of call.
type Op string

// The kinds of calls.
const (
	OpGet    Op = "get"
	OpPut    Op = "put"
	OpDelete Op = "delete"
	OpList   Op = "list"
	OpWatch  Op = "watch"
)

// Call describes a call to the rule that decides its fault.
type Call struct {
	Op         Op
	Kind, Name string
	// N is the number of the call among those of its kind, from 1.
	N int64
}

// Write reports whether the call changes an object.
func (c Call) Write() bool { return c.Op == OpPut || c.Op == OpDelete }

// Rule decides the fault of a call. Memory runs it under a lock, in the order of the calls.
type Rule func(Call) Fault

// Fault is what goes wrong with one call. The zero value is no fault.
type Fault struct {
	// Down refuses the call without effect.
	Down bool
	// Slow is added to the duration of the call, half before its effect and half after.
	Slow time.Duration
	// Lost loses the reply of a write after its effect.
	Lost bool
	// Late loses the reply of a write and lets it take effect this much later, if its version still matches.
	Late time.Duration
	// Hold is like Late, until Memory.Deliver.
	Hold bool
	// Behind lets a read see the store as it stood this many writes ago. At least 0.
	Behind int64
}

// Always returns a rule that applies one fault to every call.
func Always(f Fault) Rule {
	return func(Call) Fault { return f }
}

// Chances are the probabilities of each fault, from 0 to 1.
type Chances struct {
	Down, Lost, Late, Behind float64
	// Slow is the upper limit of the uniform duration of every call.
	Slow time.Duration
	// Delay is the upper limit of the delay of late writes.
	Delay time.Duration
}

// Random returns a rule that draws faults from a seed.
func Random(seed uint64, c Chances) Rule {
	r := rand.New(rand.NewPCG(seed, 0))
	return func(call Call) Fault {
		var f Fault
		if c.Slow > 0 {
			f.Slow = time.Duration(r.Int64N(int64(c.Slow)))
		}
		f.Down = r.Float64() < c.Down
		if call.Write() {
			f.Lost = r.Float64() < c.Lost
			if r.Float64() < c.Late {
				f.Late = 1 + time.Duration(r.Int64N(int64(c.Delay)+1))
			}
			return f
		}
		if call.Op == OpGet && r.Float64() < c.Behind {
			f.Behind = 1 + r.Int64N(3)
		}
		return f
	}
}

// Counts are numbers of calls by kind.
type Counts struct{ Get, Put, Delete, List, Watch int64 }

// Writes returns the number of calls that change objects.
func (c Counts) Writes() int64 { return c.Put + c.Delete }

// Reads returns the number of calls that read objects, watches included.
func (c Counts) Reads() int64 { return c.Get + c.List + c.Watch }

func (c *Counts) add(op Op) int64 {
	n := map[Op]*int64{OpGet: &c.Get, OpPut: &c.Put, OpDelete: &c.Delete, OpList: &c.List, OpWatch: &c.Watch}[op]
	*n++
	return *n
}
