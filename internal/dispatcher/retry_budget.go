package dispatcher

const (
	// retryFraction is the number of retries allowed for each success.
	retryFraction = 0.1
	// retryBurst limits the retries that can be saved up.
	retryBurst = 10
)

// retryBudget limits retries to a fraction of the successes. It starts with one
// retry, so that a request that fails right after a takeover can be retried.
type retryBudget struct{ tokens float64 }

func newRetryBudget() *retryBudget { return &retryBudget{tokens: 1} }

// addSuccess adds the fraction of a retry that one success allows.
func (budget *retryBudget) addSuccess() { budget.tokens = min(budget.tokens+retryFraction, retryBurst) }

// take removes one retry from the budget, or returns false if there is none.
func (budget *retryBudget) take() bool {
	if budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
}
