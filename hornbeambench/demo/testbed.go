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
var sampleConfig embed.FS

var zones = []string{"Kariakoo", "Mikocheni", "Ubungo"}

const (
	engineCount  = 9
	serviceCount = 3
	routerCount  = 6
	// operatorCallTimeout limits a call to the operator interface of a router.
	operatorCallTimeout = 10 * time.Second
	// loadReportDelay is the age of the load that an engine reports.
	loadReportDelay = 50 * time.Millisecond
)

// router is one router daemon with a client of its operator interface.
type router struct {
	*routers.Router
	operatorClient *operator.Client
}

// testbed is the fleet of the demo: the routers, and stand-ins for the backend servers and for the
// platform, which provides the instance list and the object API.
type testbed struct {
	platform        *platformapi.Server
	platformServer  *http.Server
	platformAddress string
	engines         map[string]*modelengine.Engine
	services        map[string]*plainservice.Service
	routerFleet     *routers.Fleet
	routers         []*router
	// revision is the number of the latest pushed configuration revision.
	revision int64
	// drainedSampleCount counts the samples of the drained engine, and drainedBusyCount those in
	// which the engine had active requests.
	drainedSampleCount, drainedBusyCount atomic.Int64
}

// startTestbed starts the stand-ins and the routers. The routers are not ready until the first
// configuration revision is pushed.
func startTestbed(ctx context.Context) (*testbed, error) {
	t := &testbed{platform: platformapi.New(), engines: map[string]*modelengine.Engine{}, services: map[string]*plainservice.Service{}}
	for _, startPart := range []func(context.Context) error{t.startPlatform, t.startBackends, t.startRouters} {
		if err := startPart(ctx); err != nil {
			t.close()
			return nil, err
		}
	}
	return t, nil
}

func (t *testbed) startPlatform(context.Context) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	t.platformAddress = listener.Addr().String()
	t.platformServer = &http.Server{Handler: t.platform.Handler(), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = t.platformServer.Serve(listener) }()
	return nil
}

func (t *testbed) startBackends(context.Context) error {
	for i := range engineCount {
		name := fmt.Sprintf("worker-%d", i+1)
		// The sample configuration sets "fence: true" for worker-1 to worker-5.
		engine, err := modelengine.Start(modelengine.Config{Name: name, Models: []string{modelName}, ReportDelay: loadReportDelay, CheckFencingTokens: i < 5})
		if err != nil {
			return err
		}
		t.engines[name] = engine
	}
	for i := range serviceCount {
		service, err := plainservice.Start("127.0.0.1:0")
		if err != nil {
			return err
		}
		t.services[fmt.Sprintf("records-%d", i+1)] = service
	}
	return nil
}

func (t *testbed) startRouters(context.Context) error {
	t.routerFleet = &routers.Fleet{Platform: t.platform, PlatformURL: "http://" + t.platformAddress, ModifySettings: func(s *settings.Settings) {
		s.Platform.Weights = ""
		s.Caller.Lifetime = time.Second
	}}
	for i := range routerCount {
		startedRouter, err := t.routerFleet.Start(fmt.Sprintf("r%d", i+1), zones[i%len(zones)])
		if err != nil {
			return err
		}
		client, err := operator.NewClient(startedRouter.OperatorAddress(), settings.TLS{}, operatorCallTimeout)
		if err != nil {
			return err
		}
		t.routers = append(t.routers, &router{Router: startedRouter, operatorClient: client})
	}
	return nil
}

// close stops all parts, the routers first, so that the routers do not detect failures of their
// backend servers.
func (t *testbed) close() {
	if t.routerFleet != nil {
		_ = t.routerFleet.Stop()
	}
	for _, e := range t.engines {
		e.Close()
	}
	for _, s := range t.services {
		s.Close()
	}
	if t.platformServer != nil {
		_ = t.platformServer.Close()
	}
}

// push pushes a new revision: the sample configuration, the addresses of the running backend
// servers and extraFiles.
func (t *testbed) push(ctx context.Context, message string, extraFiles ...configfile.File) (int64, error) {
	files, err := sampleFiles()
	if err != nil {
		return 0, err
	}
	files = append(files, configfile.File{Name: "90-addresses.yaml", Data: t.backendAddresses()})
	files = append(files, extraFiles...)
	revisions := &history.History{Store: t.platform.Store}
	revision, err := revisions.Push(ctx, history.Change{Base: t.revision, Author: "demo", Message: message, Files: files, Push: rand.Text()})
	if err != nil {
		return 0, err
	}
	t.revision = revision.Number
	return revision.Number, nil
}

func sampleFiles() ([]configfile.File, error) {
	entries, err := sampleConfig.ReadDir("config")
	if err != nil {
		return nil, err
	}
	var files []configfile.File
	for _, e := range entries {
		data, err := sampleConfig.ReadFile(path.Join("config", e.Name()))
		if err != nil {
			return nil, err
		}
		files = append(files, configfile.File{Name: e.Name(), Data: data})
	}
	return files, nil
}

func (t *testbed) backendAddresses() []byte {
	var yaml strings.Builder
	yaml.WriteString("backends:\n")
	for i := range engineCount {
		name := fmt.Sprintf("worker-%d", i+1)
		fmt.Fprintf(&yaml, "  %s: {address: %q}\n", name, t.engines[name].Address())
	}
	for i := range serviceCount {
		name := fmt.Sprintf("records-%d", i+1)
		fmt.Fprintf(&yaml, "  %s: {address: %q}\n", name, t.services[name].Address())
	}
	return []byte(yaml.String())
}

// runCounts returns how often the services executed the call with each idempotency key.
func (t *testbed) runCounts() map[string]int {
	counts := map[string]int{}
	for _, s := range t.services {
		for _, entry := range s.ExecutedCalls() {
			if entry.Key != "" {
				counts[entry.Key]++
			}
		}
	}
	return counts
}

// callerAddresses returns the addresses on which the routers accept callers.
func (t *testbed) callerAddresses() []string {
	var addresses []string
	for _, r := range t.routers {
		addresses = append(addresses, r.CallerAddress())
	}
	return addresses
}
