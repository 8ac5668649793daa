package calls

import (
	"bytes"
	"testing"

	"github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeambench/standin/platformapi"
)

// Guards against a measurement of a cold start that does not run to its end: every daemon has to take callers and learn of the drain.
func TestColdStart(t *testing.T) {
	c := quicktest.New(t)
	var out bytes.Buffer
	m := &Command{Engines: []int{2}}
	c.Assert(m.coldStart(t.Context(), &out, 2, platformapi.Fault{}), quicktest.IsNil)
	c.Check(out.String(), quicktest.Contains, "2 daemons")
}
