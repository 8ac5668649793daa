// Package routers runs router daemons in this process, each on ports that it binds itself.
package routers

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"

	"hornbeamstep.example/hornbeambench/standin/platformapi"
	"hornbeamstep.example/hornbeamd/daemon"
	"hornbeamstep.example/hornbeamd/settings"
	"hornbeamstep.example/ports/instancelist"
)

// anyPort lets the kernel choose: a port that was probed and released can be taken by another process, or by an outgoing
// connection, before the daemon binds it.
const anyPort = "127.0.0.1:0"

// EndedError reports a daemon that ended although nobody stopped it.
type EndedError struct {
	ID    string
	Cause error
}

func (e *EndedError) Error() string {
	return fmt.Sprintf("router %s ended by itself: %v; its log names the part that failed", e.ID, e.Cause)
}

func (e *EndedError) Unwrap() error { return e.Cause }

// Group is a fleet of daemons of one platform. Set its exported fields before the first Start.
type Group struct {
	// Platform lists the routers; Address is its base address, "http://ip:port".
	Platform *platformapi.Server
	Address  string
	// Change adjusts the settings of a router before it starts; nil changes nothing.
	Change func(*settings.Settings)

	routers []*Router
	listed  []instancelist.Instance
}

// Router is one running daemon.
type Router struct {
	*daemon.Daemon

	cancel context.CancelFunc
	// done is closed after err was set by the end of the daemon.
	done    chan struct{}
	err     error
	stopped atomic.Bool
}

// Start starts a router and adds it to the instance list. It returns once the router listens for callers, peers and
// operators, and an error if the router ends before. Not for concurrent use.
func (g *Group) Start(id, zone string) (*Router, error) {
	s, err := settings.Default(id, zone)
	if err != nil {
		return nil, err
	}
	s.Caller.Listen, s.Peer.Listen, s.Operator.Listen = anyPort, anyPort, anyPort
	s.Platform.Objects, s.Platform.Instances = g.Address, g.Address
	if g.Change != nil {
		g.Change(&s)
	}
	r := &Router{Daemon: &daemon.Daemon{Settings: s}, done: make(chan struct{})}
	if err := r.Open(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	go func() {
		defer close(r.done)
		r.err = r.Run(ctx)
	}()
	select {
	case <-r.Ready():
	case <-r.done:
		cancel()
		return nil, r.Ended()
	}
	_, peers, _ := r.Addresses()
	g.routers = append(g.routers, r)
	g.listed = append(g.listed, instancelist.Instance{ID: id, Address: peers, Zone: zone, Role: "router", State: instancelist.Live})
	g.Platform.SetInstances(g.listed)
	return r, nil
}

// Unlist takes a router out of the instance list. The router goes on.
func (g *Group) Unlist(r *Router) {
	_, peers, _ := r.Addresses()
	g.listed = slices.DeleteFunc(g.listed, func(i instancelist.Instance) bool { return i.Address == peers })
	g.Platform.SetInstances(g.listed)
}

// All returns the routers in the order of their start.
func (g *Group) All() []*Router { return g.routers }

// Ended returns an EndedError for the first router that ended although nobody stopped it, else nil.
func (g *Group) Ended() error {
	for _, r := range g.routers {
		if err := r.Ended(); err != nil {
			return err
		}
	}
	return nil
}

// Stop stops all routers at once, because each serves on for a while, and joins their errors.
func (g *Group) Stop() error {
	ended := make([]error, len(g.routers))
	var all sync.WaitGroup
	for i, r := range g.routers {
		all.Go(func() { ended[i] = r.Stop() })
	}
	all.Wait()
	return errors.Join(ended...)
}

// ID returns the router's name.
func (r *Router) ID() string { return r.Settings.ID }

// Callers returns the address for callers, as ip:port.
func (r *Router) Callers() string {
	callers, _, _ := r.Addresses()
	return callers
}

// Operators returns the address for operators, as ip:port.
func (r *Router) Operators() string {
	_, _, operators := r.Addresses()
	return operators
}

// Stop ends the daemon gracefully and returns its error.
func (r *Router) Stop() error {
	r.stopped.Store(true)
	r.cancel()
	<-r.done
	return r.err
}

// Ended returns an EndedError if the daemon ended before it was stopped, else nil.
func (r *Router) Ended() error {
	select {
	case <-r.done:
	default:
		return nil
	}
	if r.stopped.Load() {
		return nil
	}
	return &EndedError{ID: r.ID(), Cause: r.err}
}
