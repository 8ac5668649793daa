// Package revisions connects the config commands to the object API and to the routers.
package revisions

import (
	"context"
	"crypto/rand"
	"os/user"

	"hornbeamstep.example/hornbeamctl/config"
	"hornbeamstep.example/hornbeamctl/output"
	"hornbeamstep.example/hornbeamd/operator"
	"hornbeamstep.example/ports/objectapi"
)

// Commands are the config group with the flags that its connections need.
type Commands struct {
	Objects string `help:"URL of the object API." default:"http://127.0.0.1:7001" env:"HORNBEAMCTL_OBJECTS" placeholder:"URL"`
	Author  string `help:"Name kept with a pushed revision; the user's name if empty." env:"HORNBEAMCTL_AUTHOR" placeholder:"NAME"`
	config.Commands
}

// Env returns what the commands work with.
func (c *Commands) Env(ctx context.Context, fleet operator.Fleet, out *output.Printer) *config.Env {
	return &config.Env{
		Context: ctx,
		Store:   &objectapi.HTTP{Base: c.Objects},
		Routers: routers{fleet},
		Out:     out.Out,
		JSON:    out.Format == output.JSON,
		Author:  c.author(),
		Push:    rand.Text,
	}
}

func (c *Commands) author() string {
	if c.Author != "" {
		return c.Author
	}
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return "unknown"
}

// routers asks one router about all.
type routers struct{ fleet operator.Fleet }

// InForce implements config.Routers. A router that did not answer counts as missing.
func (r routers) InForce(ctx context.Context, revision int64) (in, missing []string, err error) {
	answer, err := r.fleet.InForce(ctx, revision)
	for _, router := range answer.Routers {
		if router.Answered && router.Revision >= revision {
			in = append(in, router.Router)
		} else {
			missing = append(missing, router.Router)
		}
	}
	return in, missing, err
}
