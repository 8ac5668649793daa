// Package claim implements the claim log, which ensures that a non-idempotent request runs at most
// once. A router claims the idempotency key of a request before it sends the request. Claims are
// stored in the object API.
//
// The log is divided into shards. A shard consists of one head record with the recent claims and a
// linked list of immutable segments with the older ones. Every change is a conditional update of
// the head record, so any number of routers can safely write the same shard at the same time.
// Normally one router, the owner of the shard, makes all its changes, but only to avoid conflicts
// and retries. Routers cache the shards that they use. They never grant a claim from the cache
// alone.
//
// Known limits: a router that is paused between its last call of Claim.MayRun and sending the
// request may send the request late. It is still the only one to send it, unless the pause lasts
// until the claim has expired. That takes at least Retention - MaxTimeToDeadline. If the clocks of
// two routers differ by some minutes, the retention changes by the same amount. The same applies to
// the time after which a claim in progress is reported as Unknown.
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

// Kind is the kind under which all objects of the claim log are stored in the object API.
const Kind = "claim"

// ShardCount is the number of shards of the log. It is part of the stored format.
const ShardCount = 64

// MaxAnswerBytes is the size in bytes of the largest answer that is stored with a claim.
const MaxAnswerBytes = 512

// Retention is how long a claim is kept after its last change.
const Retention = 30 * time.Minute

// MaxTimeToDeadline is the longest time from a claim to its deadline. It is half of Retention, so
// that a claim is kept for longer than its request runs.
const MaxTimeToDeadline = Retention / 2

// State says whether the request of a claim is running, has run or did not run.
type State string

// A new claim is Claimed. Log.Finish changes it to one of the other states.
const (
	// Claimed means that the holder of the token is running the request. After the deadline, the
	// claim is reported as Unknown.
	Claimed State = "claimed"
	// Released means that the request certainly did not run; the key may be claimed again.
	Released State = "released"
	// Done means that the request ran.
	Done State = "done"
	// Unknown means that the request may have run.
	Unknown State = "unknown"
)

// Key holds the idempotency key of a request and the data that is recorded with its claim.
type Key struct {
	// Account is the client account, and Name is the idempotency key that the client chose.
	// Together they identify a request that must not run more than once.
	Account, Name string
	// Fingerprint is a digest of the request. It is stored with the claim to detect that a key is
	// reused for another request.
	Fingerprint string
	// Deadline is the latest time at which the request ends, by this router's clock. A zero
	// deadline, or one that is more than MaxTimeToDeadline ahead, is replaced by the current time
	// plus MaxTimeToDeadline.
	Deadline time.Time
}

// Shard returns the shard of the key, from 0 to ShardCount-1.
func (k Key) Shard() int { return int(xxhash.Sum64String(k.Account+"\x00"+k.Name) % ShardCount) }

// id returns a hash of the account and name, which has a fixed length. With 128 bits, collisions
// are practically impossible.
func (k Key) id() string {
	sum := sha256.Sum256([]byte(k.Account + "\x00" + k.Name))
	return base64.RawURLEncoding.EncodeToString(sum[:16])
}

// fingerprintHash returns the stored form of the fingerprint, which has a fixed length.
func (k Key) fingerprintHash() string {
	sum := sha256.Sum256([]byte(k.Fingerprint))
	return base64.RawURLEncoding.EncodeToString(sum[:9])
}

// Token identifies one call of Log.Claim, and later its claim in Log.Finish. It must not be used
// for a second call of Log.Claim.
type Token string

// NewToken returns a random token.
func NewToken() Token {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return Token(base64.RawURLEncoding.EncodeToString(b[:]))
}

// Claim is the recorded claim of a key.
type Claim struct {
	Token Token
	State State
	// Deadline is the Key.Deadline of the call that made the claim, limited as described there.
	Deadline time.Time
	// Answer is the answer to the request, stored with state Done. It is nil if there was none or
	// if it was larger than MaxAnswerBytes.
	Answer []byte
}

// MayRun reports whether the holder of the token may run the request at time now. Callers check it
// again right before they send the request, because the process may have been paused in the
// meantime.
func (c Claim) MayRun(t Token, now time.Time) bool {
	return c.Token == t && c.State == Claimed && now.Before(c.Deadline)
}

// Log records claims.
type Log interface {
	// Claim records a claim of the key, or returns the existing one. The caller may run the request
	// only if the MayRun method of the returned claim reports true for t. The error is
	// *KeyReusedError or *UnavailableError; after either, the request must not run.
	Claim(ctx context.Context, k Key, t Token) (Claim, error)
	// Finish changes the state of a claim held by t to Released, Done or Unknown. It is idempotent.
	// The error is *NotHolderError or *UnavailableError.
	Finish(ctx context.Context, k Key, t Token, s State, answer []byte) error
}

// KeyReusedError reports that a request with another fingerprint has already claimed the key.
type KeyReusedError struct{ Claim Claim }

func (e *KeyReusedError) Error() string {
	return "idempotency key was already used for another request; send this request with a new key"
}

// UnavailableError reports that the claim log could not complete a call in time. If Log.Claim
// returns it, the request is refused without having run. If Log.Finish returns it, the request may
// have run, and the new state may or may not have been recorded.
type UnavailableError struct {
	// RetryAfter is how long the caller should wait before it tries again.
	RetryAfter time.Duration
	Cause      error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("claim log is unavailable; send the request again with the same key after %s: %v", e.RetryAfter, e.Cause)
}

func (e *UnavailableError) Unwrap() error { return e.Cause }

// NotHolderError reports that the token does not hold the claim of the key.
type NotHolderError struct {
	// State is the state of the existing claim, empty if there is none. If Finish was called with a
	// state other than Released, Done or Unknown, it is that state.
	State State
}

func (e *NotHolderError) Error() string {
	return fmt.Sprintf("token does not hold the claim (state %q); do not run the request", e.State)
}
