package demo

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/policy/configfile"
)

// Guards against a sample configuration that a push rejects as invalid, or that lacks a backend
// server, model, service or client account that the demo uses.
func TestSampleConfiguration(t *testing.T) {
	files, err := sampleFiles()
	qt.Assert(t, err, qt.IsNil)
	loaded, err := configfile.Load(files)
	qt.Assert(t, err, qt.IsNil)
	p := loaded.Policy()
	qt.Assert(t, p.Backends, qt.HasLen, engineCount+serviceCount)
	qt.Assert(t, p.Models[modelName].Pool, qt.Equals, p.Backends[drainedEngine].Pool)
	qt.Assert(t, p.Services[serviceName].Retryable, qt.IsFalse)
	for _, key := range []string{"demo-coordinators", "demo-trainees"} {
		_, known := p.AccountByKey(key)
		qt.Assert(t, known, qt.IsTrue, qt.Commentf(key))
	}
}
