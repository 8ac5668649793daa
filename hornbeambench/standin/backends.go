package standin

import (
	"context"
	"time"

	"hornbeamstep.example/hornbeambench/standin/modelengine"
	"hornbeamstep.example/hornbeambench/standin/plainservice"
)

// EngineCommand runs a model engine.
type EngineCommand struct {
	Name    string        `help:"Name in reports." default:"engine"`
	Listen  string        `help:"Address, as ip:port." required:""`
	Models  []string      `help:"Models loaded at the start."`
	Step    time.Duration `help:"Time in which each running request yields one token." default:"3ms"`
	Running int           `help:"Greatest number of requests that run." default:"16"`
	Queue   int           `help:"Greatest number of requests that wait." default:"32"`
	Cache   int           `help:"Memory for cached prefixes, in tokens." default:"65536"`
	Lag     time.Duration `help:"Age of load reports and delay of cache events." default:"50ms"`
	Gap     int           `help:"Lose every n-th cache event; 0 loses none."`
	Fence   bool          `help:"Refuse orders with an old fencing number."`
}

// Run runs the command until ctx ends.
func (c *EngineCommand) Run(ctx context.Context) error {
	engine, err := modelengine.Start(modelengine.Config{
		Name: c.Name, Address: c.Listen, Models: c.Models, Step: c.Step, Running: c.Running, Queue: c.Queue,
		Cache: c.Cache, Lag: c.Lag, Gap: c.Gap, Fence: c.Fence,
	})
	if err != nil {
		return err
	}
	<-ctx.Done()
	engine.Close()
	return nil
}

// ServiceCommand runs a plain service.
type ServiceCommand struct {
	Listen string `help:"Address, as ip:port." required:""`
}

// Run runs the command until ctx ends.
func (c *ServiceCommand) Run(ctx context.Context) error {
	service, err := plainservice.Start(c.Listen)
	if err != nil {
		return err
	}
	<-ctx.Done()
	service.Close()
	return nil
}
