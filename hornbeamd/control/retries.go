package control

import (
	"sync"

	"hornbeamstep.example/hornbeamd/caller"
	"hornbeamstep.example/routing/retry"
)

const (
	// retryShare is the share of the traffic that may be retries; retryBurst is allowed in addition after quiet times.
	retryShare = 0.1
	retryBurst = 32
)

// retries keeps retries from multiplying an overload.
type retries struct {
	mu     sync.Mutex
	budget *retry.Budget
}

func (r *retries) init() { r.budget = retry.NewBudget(retryShare, retryBurst) }

// request counts a first attempt.
func (r *retries) request(a caller.Ask) {
	if a.Attempt > 1 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.CountRequest()
}

// Retry implements caller.Dispatcher.
func (l *Loop) Retry(string) bool {
	l.retries.mu.Lock()
	defer l.retries.mu.Unlock()
	return l.retries.budget.AllowRetry()
}
