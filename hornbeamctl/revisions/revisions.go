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

// Commands is the group of config commands, with the flags for the object API and for the author of
// a revision.
type Commands struct {
	Objects string `help:"URL of the object API." default:"http://127.0.0.1:7001" env:"HORNBEAMCTL_OBJECTS" placeholder:"URL"`
	Author  string `help:"Author recorded with a pushed revision; defaults to the current user name." env:"HORNBEAMCTL_AUTHOR" placeholder:"NAME"`
	config.Commands
}

// Env returns the dependencies of the config commands.
func (c *Commands) Env(ctx context.Context, fleet operator.Fleet, out *output.Printer) *config.Env {
	return &config.Env{
		Context:   ctx,
		Store:     &objectapi.HTTP{Base: c.Objects},
		Routers:   routersClient{fleet},
		Out:       out.Out,
		JSON:      out.Format == output.JSON,
		Author:    c.author(),
		NewPushID: rand.Text,
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

// routersClient implements config.Routers by asking one router for the revisions of all routers.
type routersClient struct{ fleet operator.Fleet }

// InForce implements config.Routers. A router that did not answer counts as missing.
func (r routersClient) InForce(ctx context.Context, revision int64) (inForce, missing []string, err error) {
	answer, err := r.fleet.InForce(ctx, revision)
	for _, router := range answer.Routers {
		if router.Answered && router.Revision >= revision {
			inForce = append(inForce, router.Router)
		} else {
			missing = append(missing, router.Router)
		}
	}
	return inForce, missing, err
}
