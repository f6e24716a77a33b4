package dispatcher

const (
	// retryFraction of the successes may be sent again.
	retryFraction = 0.1
	// retryBurst bounds the retries that a quiet time saves up.
	retryBurst = 10
)

// budget limits retries to a fraction of the successes. It starts with one
// retry, so that a failure right after a takeover can be repaired.
type retryBudget struct{ tokens float64 }

func newRetryBudget() *retryBudget { return &retryBudget{tokens: 1} }

// succeed adds the part of a retry that one success allows.
func (budget *retryBudget) addSuccess() { budget.tokens = min(budget.tokens+retryFraction, retryBurst) }

// take uses up one retry, or returns false.
func (budget *retryBudget) take() bool {
	if budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
}
