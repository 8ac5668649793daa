// Package policy holds the configuration that is in force: immutable values and their defaults.
package policy

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Defaults of a configuration.
const (
	DefaultBound  = 1.25
	DefaultWeight = 1.0
	DefaultQueue  = 256
	DefaultWait   = 10 * time.Second
)

// Class is a priority class; lower values are served first.
type Class int

// The priority classes.
const (
	Urgent Class = iota
	Normal
	Batch
	// Classes is the number of priority classes.
	Classes
)

// State says whether a backend server takes new work.
type State string

// The states of a backend server in the configuration.
const (
	InService State = "service"
	Leaving   State = "leaving"
)

// Pool is a group of backend servers that can serve the same models.
type Pool struct {
	Name string
	// Bound is the greatest load of an engine as a multiple of the pool's mean. At least 1.
	Bound float64
	// Queue is the greatest number of requests that wait for one engine. At least 0.
	Queue int
	// Wait is the longest time that a request waits for admission.
	Wait time.Duration
	// Memory is what the weights on one engine may take in bytes; 0 for no limit.
	Memory int
}

// Model is a name that callers request.
type Model struct {
	Name string
	// Pool names an existing pool.
	Pool string
	// Adapters are the adapters that may be requested as "model:adapter".
	Adapters []string
	// Version is the version to serve; empty for the engine's own.
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
	// Weight is the share of the pool's work. Greater than 0.
	Weight float64
	State  State
	// Fence is true if the backend server refuses orders with an old fencing number.
	Fence bool
}

// Service is a plain service behind the routers.
type Service struct {
	Name string
	// Repeat is true if its calls may be repeated.
	Repeat bool
	// Checks is true if the service itself refuses a second call with the same idempotency key.
	Checks bool
	// Timeout is the longest time for one call.
	Timeout time.Duration
}

// Account is a client account.
type Account struct {
	Name string
	// Keys are the SHA-256 digests of the account's keys, in lower-case hex.
	Keys []string
	// Models and Services are what the account may reach; "*" stands for all.
	Models, Services []string
	Class            Class
	// Weight is the account's share in fair queueing. Greater than 0.
	Weight float64
	// Rate is the limit in requests per second and Tokens in tokens per second over all routers; 0 for none.
	Rate, Tokens float64
}

// Policy is one revision of the configuration. Its maps are never modified after it is built.
type Policy struct {
	// Revision is at least 1 for a configuration in force.
	Revision int64
	Pools    map[string]Pool
	Models   map[string]Model
	Backends map[string]Backend
	Services map[string]Service
	Accounts map[string]Account

	// byKey is complete: every digest of every account.
	byKey map[string]string
}

// New returns an empty configuration.
func New() Policy { return Policy{} }

// WithRevision returns the configuration under a revision number.
func (p Policy) WithRevision(rev int64) Policy {
	p.Revision = rev
	return p
}

// WithAccounts returns the configuration with other client accounts.
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

// Digest returns the form in which the configuration keeps a key.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
