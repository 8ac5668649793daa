// Package standin provides the commands that run a simulated platform, model engine or service
// (a stand-in) as a separate process.
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

// instancePollInterval is the interval at which the instance list file is checked for changes.
const instancePollInterval = 200 * time.Millisecond

// Commands is the command group "standin".
type Commands struct {
	Platform PlatformCommand `cmd:"" help:"Run the object API, the instance list and the weight store on one address."`
	Engine   EngineCommand   `cmd:"" help:"Run a simulated model engine."`
	Service  ServiceCommand  `cmd:"" help:"Run a simulated service."`
}

// PlatformCommand runs the simulated platform.
type PlatformCommand struct {
	Listen    string `help:"Listen address (ip:port)." default:"127.0.0.1:7001"`
	Instances string `help:"JSON file with the instance list; reloaded when it changes." type:"existingfile" placeholder:"FILE"`
}

// Run serves the platform API until ctx is canceled.
func (c *PlatformCommand) Run(ctx context.Context) error {
	platform := platformapi.New()
	if c.Instances != "" {
		if err := loadInstances(platform, c.Instances); err != nil {
			return err
		}
		go watchInstances(ctx, platform, c.Instances)
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

// watchInstances reloads the instance list when the modification time of the file changes. If a
// load fails, for example because the file is only partly written, the next poll retries it.
func watchInstances(ctx context.Context, platform *platformapi.Server, file string) {
	ticker := time.NewTicker(instancePollInterval)
	defer ticker.Stop()
	var loadedModTime time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		info, err := os.Stat(file)
		if err != nil || info.ModTime().Equal(loadedModTime) {
			continue
		}
		if loadInstances(platform, file) == nil {
			loadedModTime = info.ModTime()
		}
	}
}

// serve serves HTTP on the listen address until ctx is canceled.
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
