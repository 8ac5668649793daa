package gateway

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/routing/permit"
	"hornbeamstep.example/routing/roster"
	"hornbeamstep.example/routing/routes"
)

// connectedPermits returns the permits of routers that reach each other, which take the servers of a
// service for brittle. Each server has five usable slots.
func connectedPermits(routers int, servers ...string) []*Permits {
	var all []*Permits
	byAddress := map[string]*Permits{}
	fleet := Fleet{Issuers: map[string]string{}, Size: routers}
	var list []roster.Server
	for _, s := range servers {
		list = append(list, roster.Server{ID: s, Service: "plain", Slots: 6})
	}
	for i := range routers {
		p := NewPermits()
		p.Self = fmt.Sprint("r", i)
		fleet.Issuers[p.Self] = "address of " + p.Self
		byAddress[fleet.Issuers[p.Self]] = p
		p.Send = func(address string, q PermitQuestion) {
			go func() {
				to, now := byAddress[address], time.Now()
				if q.Releases > 0 {
					to.ReleaseSlot(now, q.Server, permit.Holder{Router: p.Self, Number: q.Releases}, q.Ending)
					p.HandleAnswer(to.Self, q.Number, permit.Answer{Granted: true})
					return
				}
				if q.Slot != nil {
					q.Slot.ReplyTo = fleet.Issuers[p.Self]
				}
				if answer, answered := to.AnswerQuestion(now, q.Ask); answered {
					p.HandleAnswer(to.Self, q.Number, answer)
				}
			}()
		}
		p.Reply = func(address, _ string, number uint32, answer permit.Answer) {
			go byAddress[address].HandleAnswer(p.Self, number, answer)
		}
		p.SetServers(list)
		all = append(all, p)
	}
	for _, p := range all {
		p.SetFleet(fleet)
		p.MergeBrittle(time.Now(), permit.BrittleService{Service: "plain", MaxRejections: 3})
	}
	// The issuers hand out slots once they know what is in progress.
	time.Sleep(700 * time.Millisecond)
	return all
}

// Guards against more requests at a brittle server than it has slots, slots that are not handed on, and
// requests that wait although a slot is free.
func TestSlotsOfBrittleServer(t *testing.T) {
	c := qt.New(t)
	routers := connectedPermits(3, "a")
	ctx := context.Background()
	var held []*heldSlot
	for i := range 5 {
		outcome, slot := routers[i%3].acquire(ctx, permit.Ask{Server: "a"})
		c.Assert(outcome, qt.Equals, permitGranted)
		held = append(held, slot)
	}
	outcome, _ := routers[0].acquire(ctx, permit.Ask{Server: "a"})
	c.Assert(outcome, qt.Equals, permitDenied)

	var wait sync.WaitGroup
	for _, p := range routers {
		wait.Go(func() {
			outcome, slot := p.acquire(ctx, permit.Ask{Server: "a", MaxDelay: 200 * time.Millisecond})
			c.Check(outcome, qt.Equals, permitGranted)
			p.release(slot, permit.Done)
		})
	}
	time.Sleep(50 * time.Millisecond)
	routers[0].release(held[0], permit.Done)
	wait.Wait()

	routers[1].release(held[1], permit.Lost)
	time.Sleep(50 * time.Millisecond)
	for i := range 2 {
		outcome, _ = routers[1].acquire(ctx, permit.Ask{Server: "a"})
		want := []string{permitGranted, permitDenied}[i]
		c.Assert(outcome, qt.Equals, want, qt.Commentf("the server may still work on the lost request"))
	}
}

// Guards against requests that take a slot of a server beyond the rate limit that it states, and against
// slots that are lost when no permit is left.
func TestBrittleServerWithRateLimit(t *testing.T) {
	c := qt.New(t)
	p := connectedPermits(1, "a")[0]
	p.observe(time.Now(), "a", permit.Limit{PerSecond: 4, At: time.Now()})
	granted := 0
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if outcome, slot := p.acquire(context.Background(), permit.Ask{Server: "a"}); outcome == permitGranted {
			granted++
			p.release(slot, permit.Done)
		}
	}
	c.Check(granted >= 2 && granted <= 4+3, qt.IsTrue, qt.Commentf("%d requests in a second", granted))
	held, _ := p.slots.InUse("a")
	c.Check(held, qt.Equals, 0)
}

// Guards against an engine whose entry states no slots and that gets one request at a time.
func TestSlotsOfConfiguration(t *testing.T) {
	c := qt.New(t)
	p := connectedPermits(1)[0]
	p.SetServers([]roster.Server{{ID: "e", Service: "pool"}})
	p.SetServices([]routes.Service{{Name: "pool", Engine: true, Slots: 16}})
	p.MergeBrittle(time.Now(), permit.BrittleService{Service: "pool"})
	granted := 0
	for range 20 {
		if outcome, _ := p.acquire(context.Background(), permit.Ask{Server: "e"}); outcome == permitGranted {
			granted++
		}
	}
	c.Assert(granted, qt.Equals, 14)
}

// Guards against routers of an earlier release, which send without slots, beside which the slots are all
// handed out.
func TestSlotsBesideRoutersWithoutThem(t *testing.T) {
	c := qt.New(t)
	p := connectedPermits(2, "a")[0]
	p.SetFleet(Fleet{Issuers: map[string]string{"r0": "", "r1": "address of r1"}, Size: 2, WithoutSlots: map[string]bool{"r1": true}})
	time.Sleep(700 * time.Millisecond)
	granted := 0
	for range 8 {
		if outcome, _ := p.acquire(context.Background(), permit.Ask{Server: "a"}); outcome == permitGranted {
			granted++
		}
	}
	c.Assert(granted, qt.Equals, 2)

	p.observe(time.Now(), "a", permit.Limit{PerSecond: 4, At: time.Now()})
	c.Assert(p.NeedsSlot("a"), qt.IsFalse, qt.Commentf("the limit is kept by all routers"))
}
