package peer

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"hornbeamstep.example/coord/claim"
)

// Claims records claims of idempotency keys in the claim log; see package claim. Requests for a
// shard normally go to its owner. Any other router may record them as well, because concurrent
// writes by several routers are safe.
type Claims interface {
	// Claim and Finish are as in claim.Log.
	Claim(ctx context.Context, k claim.Key, t claim.Token) (claim.Claim, error)
	Finish(ctx context.Context, k claim.Key, t claim.Token, s claim.State, answer []byte) error
}

// JSON-RPC error codes for the typed errors of package claim. They continue those in wire.go.
const (
	codeReused      = 3
	codeUnavailable = 4
	codeNotHolder   = 5
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

type wireClaimReply struct {
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

// wireClaimFailure is the data of a JSON-RPC error for a typed error of package claim.
type wireClaimFailure struct {
	// Claim is the existing claim for codeReused, and only its state for codeNotHolder.
	Claim wireClaimReply `json:"claim"`
	// Retry is the RetryAfter of codeUnavailable in milliseconds.
	Retry int64 `json:"retry,omitempty"`
}

// handleClaim records a claim for another router.
func (n *Node) handleClaim(ctx context.Context, w wireClaim) (wireClaimReply, error) {
	c, err := n.Claims.Claim(ctx, w.Key.key(), w.Token)
	return wireClaimReply(c), encodeClaimError(err)
}

func (n *Node) handleFinish(ctx context.Context, w wireFinish) (any, error) {
	return nil, encodeClaimError(n.Claims.Finish(ctx, w.Key.key(), w.Token, w.State, w.Answer))
}

// Claim asks another router to record a claim. The typed errors of package claim keep their type.
// After any other error it is unknown whether the claim was recorded.
func (n *Node) Claim(ctx context.Context, router string, k claim.Key, t claim.Token) (claim.Claim, error) {
	var w wireClaimReply
	err := n.send(ctx, router, "claim", wireClaim{Key: wireKey(k), Token: t}, &w)
	return claim.Claim(w), decodeClaimError(err)
}

// Finish asks another router to record the final state of a claim. It returns errors like Claim.
func (n *Node) Finish(ctx context.Context, router string, k claim.Key, t claim.Token, s claim.State, answer []byte) error {
	return decodeClaimError(n.send(ctx, router, "finish", wireFinish{Key: wireKey(k), Token: t, State: s, Answer: answer}, nil))
}

func encodeClaimError(err error) error {
	if err == nil {
		return nil
	}
	var reusedErr *claim.KeyReusedError
	var unavailableErr *claim.UnavailableError
	var notHolderErr *claim.NotHolderError
	rpcErr := &jsonrpc2.Error{Code: codeFailed, Message: err.Error()}
	switch {
	case errors.As(err, &reusedErr):
		rpcErr.Code = codeReused
		rpcErr.SetError(wireClaimFailure{Claim: wireClaimReply(reusedErr.Claim)})
	case errors.As(err, &unavailableErr):
		rpcErr.Code = codeUnavailable
		rpcErr.SetError(wireClaimFailure{Retry: unavailableErr.RetryAfter.Milliseconds()})
	case errors.As(err, &notHolderErr):
		rpcErr.Code = codeNotHolder
		rpcErr.SetError(wireClaimFailure{Claim: wireClaimReply{State: notHolderErr.State}})
	}
	return rpcErr
}

func decodeClaimError(err error) error {
	var rpcErr *jsonrpc2.Error
	if !errors.As(err, &rpcErr) || rpcErr.Data == nil {
		return err
	}
	failure, decodeErr := decode[wireClaimFailure](*rpcErr.Data)
	if decodeErr != nil {
		return err
	}
	switch rpcErr.Code {
	case codeReused:
		return &claim.KeyReusedError{Claim: claim.Claim(failure.Claim)}
	case codeUnavailable:
		return &claim.UnavailableError{RetryAfter: time.Duration(failure.Retry) * time.Millisecond, Cause: rpcErr}
	case codeNotHolder:
		return &claim.NotHolderError{State: failure.Claim.State}
	}
	return err
}
