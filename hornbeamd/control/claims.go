package control

import (
	"context"
	"errors"
	"net/http"
	"time"

	"hornbeamstep.example/coord/claim"
	"hornbeamstep.example/hornbeamd/caller"
	"hornbeamstep.example/routing/outcome"
)

// claimTimeout limits the wait for a claim. The claim log collects claims for up to 250 ms and
// writes them together.
const claimTimeout = 5 * time.Second

// Claim implements caller.Dispatcher.
func (l *Loop) Claim(ctx context.Context, key caller.ClaimKey) (caller.Claim, error) {
	if l.Claims == nil {
		return caller.Claim{}, claimUnavailableError(time.Second, errors.New("the daemon has no object API"))
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	recorded, token, err := l.Claims.Claim(ctx, claimKey(key))
	var reused *claim.KeyReusedError
	if errors.As(err, &reused) {
		return caller.Claim{Key: key, State: string(reused.Claim.State), Fingerprint: fingerprintOfOtherRequest}, nil
	}
	if err != nil {
		var unavailable *claim.UnavailableError
		retryAfter := time.Second
		if errors.As(err, &unavailable) {
			retryAfter = max(retryAfter, unavailable.RetryAfter)
		}
		return caller.Claim{}, claimUnavailableError(retryAfter, err)
	}
	return caller.Claim{
		Key: key, MayRun: recorded.MayRun(token, l.Now()), Token: string(recorded.Token), State: string(recorded.State),
		Fingerprint: key.Fingerprint, Response: recorded.Answer,
	}, nil
}

// fingerprintOfOtherRequest is the fingerprint of a claim that another request made with the same
// key. It differs from every real fingerprint, since those are digests.
const fingerprintOfOtherRequest = "of another request"

// FinishClaim implements caller.Dispatcher.
func (l *Loop) FinishClaim(ctx context.Context, c caller.Claim, state string, answer []byte) error {
	if l.Claims == nil {
		return claimUnavailableError(time.Second, errors.New("the daemon has no object API"))
	}
	return l.Claims.Finish(ctx, claimKey(c.Key), claim.Token(c.Token), claim.State(state), answer)
}

func claimKey(key caller.ClaimKey) claim.Key {
	return claim.Key{
		Account: key.Account, Name: key.Service + "\x00" + key.Key,
		Fingerprint: key.Fingerprint, Deadline: key.Deadline,
	}
}

func claimUnavailableError(retryAfter time.Duration, cause error) *outcome.Error {
	return &outcome.Error{
		Code: outcome.ClaimUnavailable, Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable, RetryAfter: retryAfter,
		Message: "the request may run at most once, and its key could not be recorded",
		Remedy:  "send the request again with the same key after the time given",
		Cause:   cause,
	}
}
