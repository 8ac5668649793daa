package standin

import (
	"context"
	"time"

	"hornbeamstep.example/hornbeambench/standin/modelengine"
	"hornbeamstep.example/hornbeambench/standin/plainservice"
)

// EngineCommand runs a simulated model engine.
type EngineCommand struct {
	Name    string        `help:"Name of the engine and prefix of its boot identifiers." default:"engine"`
	Listen  string        `help:"Listen address (ip:port)." required:""`
	Models  []string      `help:"Models that are loaded at startup."`
	Step    time.Duration `help:"Interval at which each running request generates one token." default:"3ms"`
	Running int           `help:"Maximum number of running requests." default:"16"`
	Queue   int           `help:"Maximum number of queued requests." default:"32"`
	Cache   int           `help:"Capacity of the prefix cache in tokens." default:"65536"`
	Lag     time.Duration `help:"Delay of load reports and cache events." default:"50ms"`
	Gap     int           `help:"Drop every n-th cache event; 0 drops none."`
	Fence   bool          `help:"Reject orders with an outdated fencing token."`
}

// Run serves the engine API until ctx is canceled.
func (c *EngineCommand) Run(ctx context.Context) error {
	engine, err := modelengine.Start(modelengine.Config{
		Name: c.Name, Address: c.Listen, Models: c.Models, StepInterval: c.Step, MaxRunning: c.Running, MaxQueued: c.Queue,
		CacheTokens: c.Cache, ReportDelay: c.Lag, EventDropInterval: c.Gap, CheckFencingTokens: c.Fence,
	})
	if err != nil {
		return err
	}
	<-ctx.Done()
	engine.Close()
	return nil
}

// ServiceCommand runs a simulated service.
type ServiceCommand struct {
	Listen string `help:"Listen address (ip:port)." required:""`
}

// Run serves HTTP until ctx is canceled.
func (c *ServiceCommand) Run(ctx context.Context) error {
	service, err := plainservice.Start(c.Listen)
	if err != nil {
		return err
	}
	<-ctx.Done()
	service.Close()
	return nil
}
