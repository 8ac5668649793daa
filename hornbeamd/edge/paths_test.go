package edge_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/platform/standin"
)

// Guards against routers that do not serve relayed requests, or serve those of nobody.
func TestRelayAddress(t *testing.T) {
	c := qt.New(t)
	p := newTestPlatform(c, 2)
	for name, test := range map[string]struct {
		by, service, key string
		status           int
		outcome          string
	}{
		"served":          {"router-1", "plain", "key", http.StatusOK, ""},
		"no router named": {"", "plain", "key", http.StatusBadRequest, ""},
		"other service":   {"router-1", "pool", "key", http.StatusServiceUnavailable, "no_route"},
		"unknown key":     {"router-1", "plain", "none", http.StatusUnauthorized, "unknown_key"},
	} {
		c.Run(name, func(c *qt.C) {
			r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/once/x", p.ips[0], p.ports[4]), strings.NewReader("body"))
			c.Assert(err, qt.IsNil)
			r.Host = standin.Host
			for header, value := range map[string]string{"Attempt-Id": p.nextAttempt(), "Api-Key": test.key, "Hornbeam-Relayed-By": test.by, "Hornbeam-Service": test.service} {
				r.Header.Set(header, value)
			}
			response, err := http.DefaultClient.Do(r)
			c.Assert(err, qt.IsNil)
			defer response.Body.Close()
			c.Assert(response.StatusCode, qt.Equals, test.status)
			c.Assert(response.Header.Get("Hornbeam-Outcome"), qt.Equals, test.outcome)
		})
	}
}
