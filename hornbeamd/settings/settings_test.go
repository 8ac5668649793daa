package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/hornbeamd/settings"
)

func parse(t *testing.T, yaml string, args ...string) (settings.Settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "hornbeamd.yaml")
	qt.Assert(t, os.WriteFile(path, []byte(yaml), 0o600), qt.IsNil)
	var s settings.Settings
	_, err := settings.Parse(&s, append([]string{"--config", path}, args...))
	return s, err
}

// Guards against a settings file that is ignored or that overrides a flag.
func TestSourcePrecedence(t *testing.T) {
	s, err := parse(t, "id: r1\nzone: howick\ncaller:\n  listen: 127.0.0.1:9000\n  body: 1000\npeer:\n  seeds: [127.0.0.1:1, 127.0.0.1:2]\n", "--caller-body=2000")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, s.ID, qt.Equals, "r1")
	qt.Check(t, s.Caller.Listen, qt.Equals, "127.0.0.1:9000")
	qt.Check(t, s.Caller.Body, qt.Equals, int64(2000))
	qt.Check(t, s.Peer.Seeds, qt.DeepEquals, []string{"127.0.0.1:1", "127.0.0.1:2"})
	qt.Check(t, s.Caller.Lifetime, qt.Equals, 30*time.Second)
}

// Guards against a daemon that starts with invalid settings, and against errors that name the wrong
// key.
func TestInvalidSettings(t *testing.T) {
	tests := map[string]struct{ yaml, key string }{
		"unknown key":               {"id: r1\nzone: z\ncaler:\n  listen: 127.0.0.1:1\n", "caler.listen"},
		"host name":                 {"id: r1\nzone: z\ncaller:\n  listen: localhost:1\n", "caller.listen"},
		"negative duration":         {"id: r1\nzone: z\nengine:\n  poll: -1s\n", "engine.poll"},
		"peer port without TLS":     {"id: r1\nzone: z\npeer:\n  listen: 0.0.0.0:1\n", "peer.listen"},
		"operator port without TLS": {"id: r1\nzone: z\noperator:\n  listen: 10.0.0.1:1\n", "operator.listen"},
		"incomplete certificates":   {"id: r1\nzone: z\npeer:\n  tls:\n    cert: a.pem\n", "peer.tls"},
		"certificate without key":   {"id: r1\nzone: z\ncaller:\n  tls:\n    cert: a.pem\n", "caller.tls"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := parse(t, test.yaml)
			var invalid *settings.InvalidError
			qt.Assert(t, errors.As(err, &invalid), qt.IsTrue, qt.Commentf("got %v", err))
			qt.Check(t, invalid.Key, qt.Equals, test.key)
		})
	}
}
