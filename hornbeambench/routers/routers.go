// Package routers runs router daemons in the current process.
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

// anyLoopbackPort is a listen address for which the kernel chooses a free port. A port that was
// found free and released before the daemon starts could be taken by another process or an outgoing
// connection.
const anyLoopbackPort = "127.0.0.1:0"

// UnexpectedExitError reports that a daemon exited before it was stopped.
type UnexpectedExitError struct {
	ID    string
	Cause error
}

func (e *UnexpectedExitError) Error() string {
	return fmt.Sprintf("router %s exited unexpectedly: %v; see its log for the component that failed", e.ID, e.Cause)
}

func (e *UnexpectedExitError) Unwrap() error { return e.Cause }

// Fleet is a fleet of daemons that use the same platform. Set its exported fields before the first
// call of Start. It is not safe for concurrent use.
type Fleet struct {
	// Platform serves the instance list and the object API at PlatformURL, "http://ip:port".
	Platform    *platformapi.Server
	PlatformURL string
	// ModifySettings modifies the settings of a router before it starts. It is optional.
	ModifySettings func(*settings.Settings)

	routers []*Router
	// listed is the current instance list.
	listed []instancelist.Instance
}

// Router is one running daemon.
type Router struct {
	*daemon.Daemon

	cancel context.CancelFunc
	// done is closed once the daemon has exited and err is set.
	done    chan struct{}
	err     error
	stopped atomic.Bool
}

// Start starts a router and adds it to the instance list. It returns once the router listens for
// callers, peers and operators. If the router exits before that, Start returns an error.
func (f *Fleet) Start(id, zone string) (*Router, error) {
	config, err := settings.Default(id, zone)
	if err != nil {
		return nil, err
	}
	config.Caller.Listen, config.Peer.Listen, config.Operator.Listen = anyLoopbackPort, anyLoopbackPort, anyLoopbackPort
	config.Platform.Objects, config.Platform.Instances = f.PlatformURL, f.PlatformURL
	if f.ModifySettings != nil {
		f.ModifySettings(&config)
	}
	r := &Router{Daemon: &daemon.Daemon{Settings: config}, done: make(chan struct{})}
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
		return nil, r.UnexpectedExit()
	}
	_, peerAddress, _ := r.Addresses()
	f.routers = append(f.routers, r)
	f.listed = append(f.listed, instancelist.Instance{ID: id, Address: peerAddress, Zone: zone, Role: "router", State: instancelist.Live})
	f.Platform.SetInstances(f.listed)
	return r, nil
}

// Unlist removes a router from the instance list. The router continues to run.
func (f *Fleet) Unlist(r *Router) {
	_, peerAddress, _ := r.Addresses()
	f.listed = slices.DeleteFunc(f.listed, func(i instancelist.Instance) bool { return i.Address == peerAddress })
	f.Platform.SetInstances(f.listed)
}

// All returns the routers in the order in which they were started.
func (f *Fleet) All() []*Router { return f.routers }

// UnexpectedExit returns an UnexpectedExitError for the first router that exited before it was
// stopped, or nil if there is none.
func (f *Fleet) UnexpectedExit() error {
	for _, r := range f.routers {
		if err := r.UnexpectedExit(); err != nil {
			return err
		}
	}
	return nil
}

// Stop stops all routers in parallel, because the graceful shutdown of each takes a while. It
// returns the joined errors of all routers.
func (f *Fleet) Stop() error {
	errs := make([]error, len(f.routers))
	var stopping sync.WaitGroup
	for i, r := range f.routers {
		stopping.Go(func() { errs[i] = r.Stop() })
	}
	stopping.Wait()
	return errors.Join(errs...)
}

// ID returns the ID of the router.
func (r *Router) ID() string { return r.Settings.ID }

// CallerAddress returns the address that serves callers, as ip:port.
func (r *Router) CallerAddress() string {
	address, _, _ := r.Addresses()
	return address
}

// OperatorAddress returns the address that serves operators, as ip:port.
func (r *Router) OperatorAddress() string {
	_, _, address := r.Addresses()
	return address
}

// Stop shuts the daemon down gracefully and returns the error of its Run method.
func (r *Router) Stop() error {
	r.stopped.Store(true)
	r.cancel()
	<-r.done
	return r.err
}

// UnexpectedExit returns an UnexpectedExitError if the daemon exited before it was stopped, or nil.
func (r *Router) UnexpectedExit() error {
	select {
	case <-r.done:
	default:
		return nil
	}
	if r.stopped.Load() {
		return nil
	}
	return &UnexpectedExitError{ID: r.ID(), Cause: r.err}
}
