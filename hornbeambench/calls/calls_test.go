package calls

import (
	"bytes"
	"testing"

	"github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeambench/standin/platformapi"
)

// Guards against a cold start measurement that does not complete. It completes only if every daemon
// accepts client requests and learns of the drain.
func TestColdStart(t *testing.T) {
	c := quicktest.New(t)
	var output bytes.Buffer
	command := &Command{Engines: []int{2}}
	c.Assert(command.measureColdStart(t.Context(), &output, 2, platformapi.Fault{}), quicktest.IsNil)
	c.Check(output.String(), quicktest.Contains, "2 daemons")
}
