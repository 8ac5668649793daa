package routers

import (
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeambench/standin/platformapi"
	"hornbeamstep.example/hornbeamd/settings"
)

func newFleet(t *testing.T) *Fleet {
	platform := platformapi.New()
	listener, err := net.Listen("tcp", anyLoopbackPort)
	qt.Assert(t, err, qt.IsNil)
	server := &http.Server{Handler: platform.Handler()}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	return &Fleet{Platform: platform, PlatformURL: "http://" + listener.Addr().String(), ModifySettings: func(s *settings.Settings) {
		s.Caller.Lifetime = time.Millisecond
	}}
}

// Guards against a Start that does not return an error when a port of the router is in use. A demo
// or test would then wait until its timeout.
func TestTakenPort(t *testing.T) {
	taken, err := net.Listen("tcp", anyLoopbackPort)
	qt.Assert(t, err, qt.IsNil)
	defer taken.Close()
	address := taken.Addr().String()
	for name, change := range map[string]func(*settings.Settings){
		"callers":   func(s *settings.Settings) { s.Caller.Listen = address },
		"peers":     func(s *settings.Settings) { s.Peer.Listen = address },
		"operators": func(s *settings.Settings) { s.Operator.Listen = address },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.ModifySettings = change
			_, err := f.Start("r1", "z")
			qt.Assert(t, err, qt.ErrorMatches, ".*"+address+".*")
			qt.Assert(t, f.All(), qt.HasLen, 0)
		})
	}
}

// Guards against reporting a stopped router as failed, and against routers that share an address.
func TestStartAndStop(t *testing.T) {
	f := newFleet(t)
	seen := map[string]bool{}
	for _, id := range []string{"r1", "r2", "r3"} {
		r, err := f.Start(id, "z")
		qt.Assert(t, err, qt.IsNil)
		callerAddress, peerAddress, operatorAddress := r.Addresses()
		for _, address := range []string{callerAddress, peerAddress, operatorAddress} {
			qt.Assert(t, seen[address], qt.IsFalse)
			seen[address] = true
		}
	}
	qt.Assert(t, f.UnexpectedExit(), qt.IsNil)
	qt.Assert(t, f.Stop(), qt.IsNil)
	qt.Assert(t, f.UnexpectedExit(), qt.IsNil)
}
