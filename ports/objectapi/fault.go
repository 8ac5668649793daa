package objectapi

import (
	"math/rand/v2"
	"time"
)

// Op is an operation of the object API.
type Op string

// The operations of the object API.
const (
	OpGet    Op = "get"
	OpPut    Op = "put"
	OpDelete Op = "delete"
	OpList   Op = "list"
	OpWatch  Op = "watch"
)

// Call describes a call to the Rule that chooses its fault.
type Call struct {
	Op         Op
	Kind, Name string
	// N numbers the calls of the same operation, starting at 1.
	N int64
}

// Write reports whether the call changes an object.
func (c Call) Write() bool { return c.Op == OpPut || c.Op == OpDelete }

// FaultRule chooses the fault to inject into a call. Memory runs it under a lock, in the order of
// the calls.
type FaultRule func(Call) Fault

// Fault describes the failure to inject into one call. The zero value injects none.
type Fault struct {
	// Unavailable rejects the call, which has no effect.
	Unavailable bool
	// Slow is a delay added to the call, half before it takes effect and half after.
	Slow time.Duration
	// Lost drops the reply to a write that has taken effect.
	Lost bool
	// Late drops the reply to a write and delays its effect by this time. The write is then applied
	// if its version still matches.
	Late time.Duration
	// Hold drops the reply to a write and delays its effect until Memory.ApplyHeld.
	Hold bool
	// WritesBehind makes a read return the state of the store this many writes ago. It is at least 0.
	WritesBehind int64
}

// ConstantFault returns a rule that injects the same fault into every call.
func ConstantFault(f Fault) FaultRule {
	return func(Call) Fault { return f }
}

// FaultProbabilities holds the probability of each fault, from 0 to 1, and the limits of the
// injected delays.
type FaultProbabilities struct {
	Down, Lost, Late, Behind float64
	// Slow is the upper limit of the delay of every call, which is uniformly distributed.
	Slow time.Duration
	// Delay is the upper limit of Fault.Late.
	Delay time.Duration
}

// RandomFaults returns a rule that injects random faults, reproducible by the seed.
func RandomFaults(seed uint64, c FaultProbabilities) FaultRule {
	r := rand.New(rand.NewPCG(seed, 0))
	return func(call Call) Fault {
		var f Fault
		if c.Slow > 0 {
			f.Slow = time.Duration(r.Int64N(int64(c.Slow)))
		}
		f.Unavailable = r.Float64() < c.Down
		if call.Write() {
			f.Lost = r.Float64() < c.Lost
			if r.Float64() < c.Late {
				f.Late = 1 + time.Duration(r.Int64N(int64(c.Delay)+1))
			}
			return f
		}
		if call.Op == OpGet && r.Float64() < c.Behind {
			f.WritesBehind = 1 + r.Int64N(3)
		}
		return f
	}
}

// Counts holds the number of calls by operation.
type Counts struct{ Get, Put, Delete, List, Watch int64 }

// Writes returns the number of calls that change objects.
func (c Counts) Writes() int64 { return c.Put + c.Delete }

// Reads returns the number of calls that read objects, including watches.
func (c Counts) Reads() int64 { return c.Get + c.List + c.Watch }

// add increments the counter of op and returns its new value.
func (c *Counts) add(op Op) int64 {
	n := map[Op]*int64{OpGet: &c.Get, OpPut: &c.Put, OpDelete: &c.Delete, OpList: &c.List, OpWatch: &c.Watch}[op]
	*n++
	return *n
}
