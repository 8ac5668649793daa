package gateway

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/routing/origin"
	"hornbeamstep.example/routing/roster"
)

// Guards against a new list of servers that is taken for outdated after a start.
func TestNewListOfServersIsNotOutdated(t *testing.T) {
	c := qt.New(t)
	o := NewOrigins()
	o.SetRouters(nil, true)
	version := roster.ServiceVersion{Service: "pool", Version: "v1"}
	o.SetServers(time.Now(), []roster.Server{{ID: "s", Service: "pool", Version: "v1", Born: 1}}, &roster.History{
		Settled: true, Versions: []roster.RecordedVersion{{ServiceVersion: version}},
	})
	inquiry, _ := o.find(context.Background(), origin.Question{Stream: 1, Service: origin.ServiceOf("pool"), Within: time.Second}, true)
	_, source := inquiry.Result()
	c.Assert(source, qt.Equals, origin.Single)
}
