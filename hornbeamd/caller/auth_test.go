package caller

import (
	"errors"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"hornbeamstep.example/policy"
	"hornbeamstep.example/routing/outcome"
)

// Guards against an error that is not retryable for a valid key on a router that has just started:
// without a configuration it knows no keys. 4 of 3,535 requests of scripts/fleet.sh 6 60 1 60
// failed in this way.
func TestUnknownKeyBeforeFirstConfiguration(t *testing.T) {
	r := httptest.NewRequest("GET", "/v1/models", nil)
	r.Header.Set("Authorization", "Bearer valid")
	var refused *outcome.Error

	_, err := authenticate(r, policy.New())
	qt.Assert(t, errors.As(err, &refused), qt.IsTrue)
	qt.Assert(t, refused.Code, qt.Equals, outcome.Isolated)
	qt.Assert(t, refused.Outcome, qt.Equals, outcome.NotRun)
	qt.Assert(t, refused.RetryAfter > 0, qt.IsTrue)

	_, err = authenticate(r, policy.New().WithRevision(1))
	qt.Assert(t, errors.As(err, &refused), qt.IsTrue)
	qt.Assert(t, refused.Code, qt.Equals, outcome.BadAPIKey)
}
