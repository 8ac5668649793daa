package calls

import (
	"bytes"
	"testing"

	"github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeambench/standin/platformapi"
)

// Guards against a cold start measurement that never ends because a daemon does not accept client
// requests or does not learn of the stored drain.
func TestColdStart(t *testing.T) {
	c := quicktest.New(t)
	var output bytes.Buffer
	command := &Command{Engines: []int{2}}
	c.Assert(command.measureColdStart(t.Context(), &output, 2, platformapi.Fault{}), quicktest.IsNil)
	c.Check(output.String(), quicktest.Contains, "2 daemons")
}
