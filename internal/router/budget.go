package router

import "sync"

const (
	// retryShare of the answered requests may be sent again after a holder was
	// lost. The dispatchers' retries have a budget of their own; together they
	// stay below 10% of the work.
	retryShare = 0.05
	// retryBurst is available after a quiet time.
	retryBurst = 50
)

// budget bounds retries to a share of the successes. It starts full, so that
// the requests in flight at a lost holder can be sent again.
type budget struct {
	mutex sync.Mutex
	spent float64
}

func (budget *budget) earn() {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.spent = max(0, budget.spent-retryShare)
}

func (budget *budget) spend() bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if budget.spent+1 > retryBurst {
		return false
	}
	budget.spent++
	return true
}
