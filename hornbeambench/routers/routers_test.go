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

func newGroup(t *testing.T) *Fleet {
	platform := platformapi.New()
	listener, err := net.Listen("tcp", anyPort)
	qt.Assert(t, err, qt.IsNil)
	server := &http.Server{Handler: platform.Handler()}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	return &Fleet{Platform: platform, PlatformURL: "http://" + listener.Addr().String(), ModifySettings: func(s *settings.Settings) {
		s.Caller.Lifetime = time.Millisecond
	}}
}

// Guards against a demo or test that waits until its timeout for a router that could not bind a
// port because another process uses it.
func TestTakenPort(t *testing.T) {
	taken, err := net.Listen("tcp", anyPort)
	qt.Assert(t, err, qt.IsNil)
	defer taken.Close()
	address := taken.Addr().String()
	for name, change := range map[string]func(*settings.Settings){
		"callers":   func(s *settings.Settings) { s.Caller.Listen = address },
		"peers":     func(s *settings.Settings) { s.Peer.Listen = address },
		"operators": func(s *settings.Settings) { s.Operator.Listen = address },
	} {
		t.Run(name, func(t *testing.T) {
			g := newGroup(t)
			g.ModifySettings = change
			_, err := g.Start("r1", "z")
			qt.Assert(t, err, qt.ErrorMatches, ".*"+address+".*")
			qt.Assert(t, g.All(), qt.HasLen, 0)
		})
	}
}

// Guards against reporting a stopped router as failed, and against routers that share an address.
func TestStartAndStop(t *testing.T) {
	g := newGroup(t)
	seen := map[string]bool{}
	for _, id := range []string{"r1", "r2", "r3"} {
		r, err := g.Start(id, "z")
		qt.Assert(t, err, qt.IsNil)
		callerAddress, peerAddress, operatorAddress := r.Addresses()
		for _, address := range []string{callerAddress, peerAddress, operatorAddress} {
			qt.Assert(t, seen[address], qt.IsFalse)
			seen[address] = true
		}
	}
	qt.Assert(t, g.UnexpectedExit(), qt.IsNil)
	qt.Assert(t, g.Stop(), qt.IsNil)
	qt.Assert(t, g.UnexpectedExit(), qt.IsNil)
}
