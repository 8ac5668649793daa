package gateway

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/routing/origin"
	"hornbeamstep.example/routing/roster"
)

// Guards against streams that don't go on after a start, because the router goes on to take its list
// of servers for outdated after a new one has arrived.
func TestNewListOfServersIsNotOutdated(t *testing.T) {
	c := qt.New(t)
	o := NewOrigins()
	o.SetRouters(nil, true)
	o.SetServers(time.Now(), []roster.Server{{ID: "s", Service: "pool", Version: "v1", Born: 1}})
	_, source := o.find(context.Background(), origin.Question{Stream: 1, Service: origin.ServiceOf("pool"), Within: time.Second}, true)
	c.Assert(source, qt.Equals, origin.Single)
}
