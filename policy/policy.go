// Package policy defines the immutable configuration of the routers and its defaults.
package policy

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Values of keys that a configuration file does not set.
const (
	// DefaultBound is the default of Pool.Bound.
	DefaultBound = 1.25
	// DefaultWeight is the default of Backend.Weight and Account.Weight.
	DefaultWeight = 1.0
	// DefaultQueue is the default of Pool.Queue.
	DefaultQueue = 256
	// DefaultWait is the default of Pool.Wait.
	DefaultWait = 10 * time.Second
)

// Class is a priority class; lower values are served first.
type Class int

// Requests that wait are admitted in the order of these classes. Accounts are Normal by default.
const (
	Urgent Class = iota
	Normal
	Batch
	// ClassCount is the number of priority classes.
	ClassCount
)

// State says whether a backend server accepts new requests.
type State string

// A configuration file sets the state of a backend server to one of these values.
const (
	// InService backend servers accept new requests. This is the default.
	InService State = "service"
	// Leaving backend servers get no new requests, so that they can be shut down.
	Leaving State = "leaving"
)

// Pool is a group of backend servers that can serve the same models.
type Pool struct {
	Name string
	// Bound is the maximum load of an engine as a multiple of the pool's mean load. At least 1.
	Bound float64
	// Queue is the maximum number of requests that wait for one engine. At least 0.
	Queue int
	// Wait is the longest time that a request waits for admission.
	Wait time.Duration
	// Memory is the maximum size of the model weights on one engine in bytes; 0 for no limit.
	Memory int
}

// Model is a model that callers request by name.
type Model struct {
	Name string
	// Pool names an existing pool.
	Pool string
	// Adapters are the adapters that may be requested as "model:adapter".
	Adapters []string
	// Version is the version to serve; empty for the version that the engine has loaded.
	Version string
}

// Backend is a backend server: a model engine, or one replica of a plain service.
type Backend struct {
	Name string
	// Pool or Service is set, not both.
	Pool, Service string
	// Address is ip:port.
	Address string
	Zone    string
	// Weight is the relative share of the pool's load. Greater than 0.
	Weight float64
	State  State
	// Fence is true if the backend server rejects orders with an outdated fencing token.
	Fence bool
}

// Service is a plain service behind the routers.
type Service struct {
	Name string
	// Retryable is true if calls may be retried.
	Retryable bool
	// Deduplicates is true if the service itself rejects a second call with the same idempotency
	// key.
	Deduplicates bool
	// Timeout is the longest time for one call.
	Timeout time.Duration
}

// Account is a client account.
type Account struct {
	Name string
	// Keys are the SHA-256 digests of the account's keys, in lower-case hex.
	Keys []string
	// Models and Services list what the account may use; "*" stands for all.
	Models, Services []string
	Class            Class
	// Weight is the account's share in fair queueing. Greater than 0.
	Weight float64
	// Rate limits requests per second, and Tokens tokens per second, summed over all routers; 0 for
	// no limit.
	Rate, Tokens float64
}

// Policy is one revision of the configuration. Its maps must not be modified once it is built.
type Policy struct {
	// Revision is at least 1 for an active configuration.
	Revision int64
	Pools    map[string]Pool
	Models   map[string]Model
	Backends map[string]Backend
	Services map[string]Service
	Accounts map[string]Account

	// byKey maps every key digest of every account to the account's name.
	byKey map[string]string
}

// New returns an empty configuration.
func New() Policy { return Policy{} }

// WithRevision returns a copy of the configuration with the given revision number.
func (p Policy) WithRevision(revision int64) Policy {
	p.Revision = revision
	return p
}

// WithAccounts returns a copy of the configuration with the given client accounts.
func (p Policy) WithAccounts(accounts map[string]Account) Policy {
	p.Accounts = accounts
	p.byKey = make(map[string]string, len(accounts))
	for name, a := range accounts {
		for _, digest := range a.Keys {
			p.byKey[digest] = name
		}
	}
	return p
}

// AccountByKey returns the client account that a key belongs to.
func (p Policy) AccountByKey(key string) (Account, bool) {
	name, ok := p.byKey[Digest(key)]
	if !ok {
		return Account{}, false
	}
	return p.Accounts[name], true
}

// Digest returns the SHA-256 digest of a key in lower-case hex, the form that the configuration
// stores.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
