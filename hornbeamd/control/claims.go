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

// claimLimit is the longest wait for a claim; its grouping alone takes up to 250 ms.
const claimLimit = 5 * time.Second

// Claim implements caller.Dispatcher.
func (l *Loop) Claim(ctx context.Context, key caller.ClaimKey) (caller.Claim, error) {
	if l.Claims == nil {
		return caller.Claim{}, claimDown(time.Second, errors.New("the daemon has no object api"))
	}
	ctx, cancel := context.WithTimeout(ctx, claimLimit)
	defer cancel()
	stands, token, err := l.Claims.Claim(ctx, claimKey(key))
	var reused *claim.KeyReusedError
	if errors.As(err, &reused) {
		return caller.Claim{Key: key, State: string(reused.Claim.State), Fingerprint: otherFingerprint}, nil
	}
	if err != nil {
		var down *claim.UnavailableError
		retry := time.Second
		if errors.As(err, &down) {
			retry = max(retry, down.RetryAfter)
		}
		return caller.Claim{}, claimDown(retry, err)
	}
	return caller.Claim{
		Key: key, Won: stands.MayRun(token, l.Now()), Token: string(stands.Token), State: string(stands.State),
		Fingerprint: key.Fingerprint, Answer: stands.Answer,
	}, nil
}

// otherFingerprint differs from every fingerprint, which is a digest.
const otherFingerprint = "of another request"

// Finish implements caller.Dispatcher.
func (l *Loop) Finish(ctx context.Context, c caller.Claim, state string, answer []byte) error {
	if l.Claims == nil {
		return claimDown(time.Second, errors.New("the daemon has no object api"))
	}
	return l.Claims.Finish(ctx, claimKey(c.Key), claim.Token(c.Token), claim.State(state), answer)
}

func claimKey(key caller.ClaimKey) claim.Key {
	return claim.Key{
		Account: key.Account, Name: key.Service + "\x00" + key.Key,
		Fingerprint: key.Fingerprint, Deadline: key.Deadline,
	}
}

func claimDown(retry time.Duration, cause error) *outcome.Error {
	return &outcome.Error{
		Code: outcome.ClaimUnavailable, Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable, RetryAfter: retry,
		Message: "the request may run at most once, and its key could not be recorded",
		Remedy:  "send the request again with the same key after the time given",
		Cause:   cause,
	}
}
