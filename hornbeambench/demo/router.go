package demo

import (
	"context"
	"net"
	"time"

	"hornbeamstep.example/hornbeamd/daemon"
	"hornbeamstep.example/hornbeamd/operator"
	"hornbeamstep.example/hornbeamd/settings"
	"hornbeamstep.example/platform/instancelist"
)

const callLimit = 10 * time.Second

// router is one daemon in this process.
type router struct {
	settings settings.Settings
	operator *operator.Client
	cancel   context.CancelFunc
	ended    chan error
}

func newRouter(id, zone, platform string) (*router, error) {
	s, err := settings.Default(id, zone)
	if err != nil {
		return nil, err
	}
	for _, listen := range []*string{&s.Caller.Listen, &s.Peer.Listen, &s.Operator.Listen} {
		if *listen, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	s.Platform.Objects, s.Platform.Instances, s.Platform.Weights = platform, platform, ""
	s.Caller.Lifetime = time.Second
	client, err := operator.NewClient(s.Operator.Listen, settings.TLS{}, callLimit)
	if err != nil {
		return nil, err
	}
	return &router{settings: s, operator: client}, nil
}

// freeAddress returns a loopback address that was free a moment ago.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

func (r *router) instance() instancelist.Instance {
	return instancelist.Instance{ID: r.settings.ID, Address: r.settings.Peer.Listen, Zone: r.settings.Zone, Role: "router", State: instancelist.Live}
}

func (r *router) start(ctx context.Context) {
	ctx, r.cancel = context.WithCancel(context.WithoutCancel(ctx))
	r.ended = make(chan error, 1)
	d := &daemon.Daemon{Settings: r.settings}
	go func() { r.ended <- d.Run(ctx) }()
}

// stop ends the daemon gracefully and returns its error. Further calls return nil.
func (r *router) stop() error {
	if r.cancel == nil {
		return nil
	}
	r.cancel()
	r.cancel = nil
	return <-r.ended
}
