package peer

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"hornbeamstep.example/coord/claim"
)

// Claims is the claim log of this router, for the shards that it owns. A router that is not the owner may be asked as well:
// the log is safe whoever writes.
type Claims interface {
	Claim(ctx context.Context, k claim.Key, t claim.Token) (claim.Claim, error)
	Finish(ctx context.Context, k claim.Key, t claim.Token, s claim.State, answer []byte) error
}

// codeReused and codeDown mark errors of the claim log between routers.
const (
	codeReused    = 3
	codeDown      = 4
	codeNotHolder = 5
)

type wireKey struct {
	Account     string    `json:"account"`
	Name        string    `json:"name"`
	Fingerprint string    `json:"print"`
	Deadline    time.Time `json:"deadline"`
}

func (w wireKey) key() claim.Key { return claim.Key(w) }

type wireClaim struct {
	Key   wireKey     `json:"key"`
	Token claim.Token `json:"token"`
}

type wireClaimed struct {
	Token    claim.Token `json:"token"`
	State    claim.State `json:"state"`
	Deadline time.Time   `json:"deadline"`
	Answer   []byte      `json:"answer,omitempty"`
}

type wireFinish struct {
	Key    wireKey     `json:"key"`
	Token  claim.Token `json:"token"`
	State  claim.State `json:"state"`
	Answer []byte      `json:"answer,omitempty"`
}

type wireClaimFailure struct {
	Claim wireClaimed `json:"claim"`
	// Retry is in milliseconds.
	Retry int64 `json:"retry,omitempty"`
}

// handleClaim answers another router's claim.
func (n *Node) handleClaim(ctx context.Context, w wireClaim) (wireClaimed, error) {
	c, err := n.Claims.Claim(ctx, w.Key.key(), w.Token)
	return wireClaimed(c), encodeClaimError(err)
}

func (n *Node) handleFinish(ctx context.Context, w wireFinish) (any, error) {
	return nil, encodeClaimError(n.Claims.Finish(ctx, w.Key.key(), w.Token, w.State, w.Answer))
}

// Claim asks another router to record a claim. Errors of its log arrive as such; any other error says that it is not known
// whether the claim was recorded.
func (n *Node) Claim(ctx context.Context, router string, k claim.Key, t claim.Token) (claim.Claim, error) {
	var w wireClaimed
	err := n.send(ctx, router, "claim", wireClaim{Key: wireKey(k), Token: t}, &w)
	return claim.Claim(w), decodeClaimError(err)
}

// Finish asks another router to finish a claim.
func (n *Node) Finish(ctx context.Context, router string, k claim.Key, t claim.Token, s claim.State, answer []byte) error {
	return decodeClaimError(n.send(ctx, router, "finish", wireFinish{Key: wireKey(k), Token: t, State: s, Answer: answer}, nil))
}

func encodeClaimError(err error) error {
	if err == nil {
		return nil
	}
	var reused *claim.KeyReusedError
	var down *claim.UnavailableError
	var holder *claim.NotHolderError
	out := &jsonrpc2.Error{Code: codeFailed, Message: err.Error()}
	switch {
	case errors.As(err, &reused):
		out.Code = codeReused
		out.SetError(wireClaimFailure{Claim: wireClaimed(reused.Claim)})
	case errors.As(err, &down):
		out.Code = codeDown
		out.SetError(wireClaimFailure{Retry: down.RetryAfter.Milliseconds()})
	case errors.As(err, &holder):
		out.Code = codeNotHolder
		out.SetError(wireClaimFailure{Claim: wireClaimed{State: holder.State}})
	}
	return out
}

func decodeClaimError(err error) error {
	var known *jsonrpc2.Error
	if !errors.As(err, &known) || known.Data == nil {
		return err
	}
	w, bad := decode[wireClaimFailure](*known.Data)
	if bad != nil {
		return err
	}
	switch known.Code {
	case codeReused:
		return &claim.KeyReusedError{Claim: claim.Claim(w.Claim)}
	case codeDown:
		return &claim.UnavailableError{RetryAfter: time.Duration(w.Retry) * time.Millisecond, Cause: known}
	case codeNotHolder:
		return &claim.NotHolderError{State: w.Claim.State}
	}
	return err
}
