package edge_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/platform/standin"
)

// Guards against requests with any key that run once the last client account was removed, at routers that
// read the configuration from the store, that get it from other routers, or that have just started.
func TestLastAccountRemoved(t *testing.T) {
	for name, test := range map[string]struct {
		accounts string
		// status is that of requests without a valid key.
		status int
	}{
		"empty list":           {standin.EmptyAccounts, 401},
		"null":                 {standin.NullAccounts, 401},
		"account without keys": {standin.KeylessAccount, 401},
		"no accounts at all":   {standin.NoAccounts, 200},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := newTestPlatform(c, 3)
			p.store.Refuse(p.ips[0], p.ips[1])
			p.store.Put("config", "main", standin.ConfigWithAccounts(9, test.accounts))
			status := func(router int, key string) int {
				return p.sendRequest(standin.Request{Address: p.frontAddr(router), Path: "/once/x", Key: key}).Status
			}
			waitForStatus := func(router int) {
				p.waitFor(func() bool { return status(router, "never held") == test.status })
			}
			for router := range 3 {
				waitForStatus(router)
			}
			c.Assert(p.routers[1].process.Process.Kill(), qt.IsNil)
			<-p.routers[1].done
			p.start(1)
			waitForStatus(1)
			for router := range 3 {
				for _, key := range []string{"", "never held", "key", "revoked"} {
					c.Assert(status(router, key), qt.Equals, test.status, qt.Commentf("router %d, key %q", router, key))
				}
			}
		})
	}
}
