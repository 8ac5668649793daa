// Package claim keeps the claim log in the object API, by which a request that may not be repeated runs at most once.
//
// The log is divided into shards. A shard is one head record of recent claims and a chain of immutable segments. Every change is a
// conditional update of the head record, so that any number of routers may write a shard at the same time: ownership of shards
// only avoids contention and lost work. Nothing is granted from the cache alone.
//
// What remains possible: a holder that is paused between its last check of Claim.Won and sending the request may send it late. It is
// still the only one, unless the pause exceeds the retention of claims. Clocks of routers that differ by minutes shorten or lengthen
// the retention, and the time after which a claim in progress reads as unknown, by as much.
package claim

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind is the kind of all objects of the claim log.
const Kind = "claim"

// Shards is the number of parts of the log. It is part of the stored format.
const Shards = 64

// MaxAnswer is the largest answer, in bytes, that is kept with a claim.
const MaxAnswer = 512

// Retention is how long a claim stands after its last change.
const Retention = 30 * time.Minute

// MaxDeadline is the longest time from a claim to its deadline. It is far below Retention, so that a claim outlives its request.
const MaxDeadline = Retention / 2

// State is the state of a claim.
type State string

// The states of a claim.
const (
	// Claimed means that the holder of the token runs the request. After the deadline it reads as Unknown.
	Claimed State = "claimed"
	// Released means that the request surely did not run; the key may be claimed again.
	Released State = "released"
	// Done means that the request ran.
	Done State = "done"
	// Unknown means that the request may have run.
	Unknown State = "unknown"
)

// Key names a request that may not be repeated.
type Key struct {
	// Account and Name are the identity: the client account and its idempotency key.
	Account, Name string
	// Fingerprint is a digest of the request, kept with the claim to detect a key that is used for another request.
	Fingerprint string
	// Deadline is when the request has ended at the latest, by this router's clock. At most MaxDeadline ahead; later ones are shortened.
	Deadline time.Time
}

// Shard returns the shard of the key, from 0 to Shards-1.
func (k Key) Shard() int { return int(xxhash.Sum64String(k.Account+"\x00"+k.Name) % Shards) }

// id returns a form of the identity that has a fixed length. 128 bits keep collisions out of reach.
func (k Key) id() string {
	sum := sha256.Sum256([]byte(k.Account + "\x00" + k.Name))
	return base64.RawURLEncoding.EncodeToString(sum[:16])
}

// print returns the fingerprint as it is stored, with a fixed length.
func (k Key) print() string {
	sum := sha256.Sum256([]byte(k.Fingerprint))
	return base64.RawURLEncoding.EncodeToString(sum[:9])
}

// Token identifies one call of Claim. It is never used for a second call.
type Token string

// NewToken returns a random token.
func NewToken() Token {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return Token(base64.RawURLEncoding.EncodeToString(b[:]))
}

// Claim is what stands for a key.
type Claim struct {
	Token Token
	State State
	// Deadline is that of the claim's holder.
	Deadline time.Time
	// Answer is kept with state Done. It is nil if there was none or it exceeded MaxAnswer.
	Answer []byte
}

// Won reports whether the holder of a token may run the request now. It is asked again right before the request is sent, because
// the process may have been paused since.
func (c Claim) Won(t Token, now time.Time) bool {
	return c.Token == t && c.State == Claimed && now.Before(c.Deadline)
}

// Log records claims.
type Log interface {
	// Claim wins, or returns the claim that stands. Errors: *ReusedError, *DownError; with both the request is not run.
	Claim(ctx context.Context, k Key, t Token) (Claim, error)
	// Finish changes a claim held by t to Released, Done or Unknown. Repeating a call is harmless.
	// Errors: *NotHolderError, *DownError.
	Finish(ctx context.Context, k Key, t Token, s State, answer []byte) error
}

// ReusedError says that a key stands for a request with another fingerprint.
type ReusedError struct{ Claim Claim }

func (e *ReusedError) Error() string {
	return "idempotency key was used for another request; send this request with a new key"
}

// DownError says that the claim could not be recorded in time. The request is refused as not run.
type DownError struct {
	// Retry is how long to wait before the next call.
	Retry time.Duration
	Cause error
}

func (e *DownError) Error() string {
	return fmt.Sprintf("claim log is unavailable; send the request again with the same key after %s: %v", e.Retry, e.Cause)
}

// Unwrap returns the cause.
func (e *DownError) Unwrap() error { return e.Cause }

// NotHolderError says that a token does not hold a claim.
type NotHolderError struct {
	// State is that of the claim that stands, empty if none does.
	State State
}

func (e *NotHolderError) Error() string {
	return fmt.Sprintf("token does not hold the claim (state %q); do not run the request", e.State)
}
