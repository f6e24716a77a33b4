package router

import "sync"

const (
	// retryFraction is the number of retries allowed for each request that got a
	// response. The dispatchers have a retry budget of their own; together the
	// retries stay below 10% of the work.
	retryFraction = 0.05
	// retryBurst is the number of retries in a full budget.
	retryBurst = 50
)

// retryBudget limits the retries after a lost holder to a fraction of the successes.
// It starts full, so that the requests in flight at a lost holder can be sent again.
type retryBudget struct {
	mutex sync.Mutex
	spent float64
}

// addSuccess adds the fraction of a retry that one success allows.
func (budget *retryBudget) addSuccess() {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.spent = max(0, budget.spent-retryFraction)
}

// take removes one retry from the budget, or returns false if there is none.
func (budget *retryBudget) take() bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if budget.spent+1 > retryBurst {
		return false
	}
	budget.spent++
	return true
}
