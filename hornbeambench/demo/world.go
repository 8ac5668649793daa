package demo

import (
	"context"
	"crypto/rand"
	"embed"
	"fmt"
	"net"
	"net/http"
	"path"
	"strings"
	"sync/atomic"
	"time"

	"hornbeamstep.example/hornbeambench/routers"
	"hornbeamstep.example/hornbeambench/standin/modelengine"
	"hornbeamstep.example/hornbeambench/standin/plainservice"
	"hornbeamstep.example/hornbeambench/standin/platformapi"
	"hornbeamstep.example/hornbeamd/operator"
	"hornbeamstep.example/hornbeamd/settings"
	"hornbeamstep.example/policy/configfile"
	"hornbeamstep.example/policy/history"
)

//go:embed config/*.yaml
var sample embed.FS

var zones = []string{"Kariakoo", "Mikocheni", "Ubungo"}

const (
	engines     = 9
	services    = 3
	routerCount = 6
	// callLimit ends a call to a router's operator interface.
	callLimit = 10 * time.Second
	// lag is the age of the engines' load reports.
	lag = 50 * time.Millisecond
)

// router is one daemon and a client of its operator interface.
type router struct {
	*routers.Router
	operator *operator.Client
}

// world is everything that runs.
type world struct {
	platform *platformapi.Server
	server   *http.Server
	address  string
	engines  map[string]*modelengine.Engine
	services map[string]*plainservice.Service
	fleet    *routers.Fleet
	routers  []*router
	revision int64
	// looks and work count the looks at the drained engine, and those that saw work there.
	looks, work atomic.Int64
}

// start starts the platform, the stand-ins and the routers. The routers wait for the first revision.
func start(ctx context.Context) (*world, error) {
	w := &world{platform: platformapi.New(), engines: map[string]*modelengine.Engine{}, services: map[string]*plainservice.Service{}}
	for _, part := range []func(context.Context) error{w.startPlatform, w.startBackends, w.startRouters} {
		if err := part(ctx); err != nil {
			w.close()
			return nil, err
		}
	}
	return w, nil
}

func (w *world) startPlatform(context.Context) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.address = listener.Addr().String()
	w.server = &http.Server{Handler: w.platform.Handler(), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = w.server.Serve(listener) }()
	return nil
}

func (w *world) startBackends(context.Context) error {
	for i := range engines {
		name := fmt.Sprintf("worker-%d", i+1)
		engine, err := modelengine.Start(modelengine.Config{Name: name, Models: []string{model}, ReportDelay: lag, CheckFencingTokens: i < 5})
		if err != nil {
			return err
		}
		w.engines[name] = engine
	}
	for i := range services {
		service, err := plainservice.Start("127.0.0.1:0")
		if err != nil {
			return err
		}
		w.services[fmt.Sprintf("records-%d", i+1)] = service
	}
	return nil
}

func (w *world) startRouters(context.Context) error {
	w.fleet = &routers.Fleet{Platform: w.platform, Address: "http://" + w.address, ModifySettings: func(s *settings.Settings) {
		s.Platform.Weights = ""
		s.Caller.Lifetime = time.Second
	}}
	for i := range routerCount {
		started, err := w.fleet.Start(fmt.Sprintf("r%d", i+1), zones[i%len(zones)])
		if err != nil {
			return err
		}
		client, err := operator.NewClient(started.OperatorAddress(), settings.TLS{}, callLimit)
		if err != nil {
			return err
		}
		w.routers = append(w.routers, &router{Router: started, operator: client})
	}
	return nil
}

// close ends everything; routers first, so that they see no failures of their backend servers.
func (w *world) close() {
	if w.fleet != nil {
		_ = w.fleet.Stop()
	}
	for _, e := range w.engines {
		e.Close()
	}
	for _, s := range w.services {
		s.Close()
	}
	if w.server != nil {
		_ = w.server.Close()
	}
}

// push makes the sample folder, the addresses in use and further files the next revision.
func (w *world) push(ctx context.Context, message string, further ...configfile.File) (int64, error) {
	files, err := sampleFiles()
	if err != nil {
		return 0, err
	}
	files = append(files, configfile.File{Name: "90-addresses.yaml", Data: w.addresses()})
	files = append(files, further...)
	revisions := &history.History{Store: w.platform.Store}
	r, err := revisions.Push(ctx, history.Change{Base: w.revision, Author: "demo", Message: message, Files: files, Push: rand.Text()})
	if err != nil {
		return 0, err
	}
	w.revision = r.Number
	return r.Number, nil
}

func sampleFiles() ([]configfile.File, error) {
	entries, err := sample.ReadDir("config")
	if err != nil {
		return nil, err
	}
	var files []configfile.File
	for _, e := range entries {
		data, err := sample.ReadFile(path.Join("config", e.Name()))
		if err != nil {
			return nil, err
		}
		files = append(files, configfile.File{Name: e.Name(), Data: data})
	}
	return files, nil
}

func (w *world) addresses() []byte {
	var text strings.Builder
	text.WriteString("backends:\n")
	for i := range engines {
		name := fmt.Sprintf("worker-%d", i+1)
		fmt.Fprintf(&text, "  %s: {address: %q}\n", name, w.engines[name].Address())
	}
	for i := range services {
		name := fmt.Sprintf("records-%d", i+1)
		fmt.Fprintf(&text, "  %s: {address: %q}\n", name, w.services[name].Address())
	}
	return []byte(text.String())
}

// ran counts the runs of each idempotency key over all services.
func (w *world) ran() map[string]int {
	ran := map[string]int{}
	for _, s := range w.services {
		for _, entry := range s.ExecutedCalls() {
			if entry.Key != "" {
				ran[entry.Key]++
			}
		}
	}
	return ran
}

// callers are the addresses of all routers.
func (w *world) callers() []string {
	var all []string
	for _, r := range w.routers {
		all = append(all, r.CallerAddress())
	}
	return all
}
