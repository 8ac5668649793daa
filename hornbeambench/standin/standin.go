// Package standin runs each stand-in as a process of its own.
package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"hornbeamstep.example/hornbeambench/standin/platformapi"
	"hornbeamstep.example/ports/instancelist"
)

// instancePoll is the time between looks at the file of instances.
const instancePoll = 200 * time.Millisecond

// Commands are the group.
type Commands struct {
	Platform PlatformCommand `cmd:"" help:"Run the object API, the instance list and the weight store on one address."`
	Engine   EngineCommand   `cmd:"" help:"Run a model engine."`
	Service  ServiceCommand  `cmd:"" help:"Run a plain service."`
}

// PlatformCommand runs the platform.
type PlatformCommand struct {
	Listen    string `help:"Address, as ip:port." default:"127.0.0.1:7001"`
	Instances string `help:"JSON file with the instance list; it is read again when it changes." type:"existingfile" placeholder:"FILE"`
}

// Run runs the command until ctx ends.
func (c *PlatformCommand) Run(ctx context.Context) error {
	platform := platformapi.New()
	if c.Instances != "" {
		if err := loadInstances(platform, c.Instances); err != nil {
			return err
		}
		go follow(ctx, platform, c.Instances)
	}
	return serve(ctx, c.Listen, platform.Handler())
}

func loadInstances(platform *platformapi.Server, file string) error {
	content, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var list []instancelist.Instance
	if err := json.Unmarshal(content, &list); err != nil {
		return fmt.Errorf("read instances from %s: %w", file, err)
	}
	platform.SetInstances(list)
	return nil
}

// follow reads the file again when its time of change moves. A file that is half written is read again at the next look.
func follow(ctx context.Context, platform *platformapi.Server, file string) {
	ticker := time.NewTicker(instancePoll)
	defer ticker.Stop()
	var seen time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		info, err := os.Stat(file)
		if err != nil || info.ModTime().Equal(seen) {
			continue
		}
		if loadInstances(platform, file) == nil {
			seen = info.ModTime()
		}
	}
}

// serve serves until ctx ends.
func serve(ctx context.Context, listen string, handler http.Handler) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
