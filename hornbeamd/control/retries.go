package control

import (
	"sync"

	"hornbeamstep.example/hornbeamd/caller"
	"hornbeamstep.example/routing/retry"
)

const (
	// retryRatio is the number of retries allowed per request; retryBurst more are allowed after a
	// time with few retries.
	retryRatio = 0.1
	retryBurst = 32
)

// retries holds the retry budget, which keeps retries from amplifying an overload.
type retries struct {
	mu     sync.Mutex
	budget *retry.Budget
}

func (r *retries) init() { r.budget = retry.NewBudget(retryRatio, retryBurst) }

// countRequest counts the first attempt of a request.
func (r *retries) countRequest(a caller.SlotRequest) {
	if a.Attempt > 1 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.CountRequest()
}

// AllowRetry implements caller.Dispatcher.
func (l *Loop) AllowRetry(string) bool {
	l.retries.mu.Lock()
	defer l.retries.mu.Unlock()
	return l.retries.budget.AllowRetry()
}
