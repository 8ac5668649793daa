package control

import (
	"sync"

	"hornbeamstep.example/hornbeamd/caller"
	"hornbeamstep.example/routing/retry"
)

const (
	// retryRatio is the number of retries that each request adds to the budget. Unused retries
	// accumulate up to retryBurst, which is also the initial budget.
	retryRatio = 0.1
	retryBurst = 32
)

// retries holds the retry budget, which keeps retries from amplifying an overload. All client
// accounts share one budget.
type retries struct {
	mu     sync.Mutex
	budget *retry.Budget
}

func (r *retries) init() { r.budget = retry.NewBudget(retryRatio, retryBurst) }

// countRequest adds a request to the retry budget at its first attempt, and ignores later attempts.
func (r *retries) countRequest(request caller.SlotRequest) {
	if request.Attempt > 1 {
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
