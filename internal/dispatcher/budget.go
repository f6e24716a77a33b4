package dispatcher

const (
	// retryFraction of the successes may be sent again.
	retryFraction = 0.1
	// retryBurst bounds the retries that a quiet time saves up.
	retryBurst = 10
)

// budget limits retries to a fraction of the successes. It starts with one
// retry, so that a failure right after a takeover can be repaired.
type budget struct{ saved float64 }

func newBudget() *budget { return &budget{saved: 1} }

// succeed adds the part of a retry that one success allows.
func (budget *budget) succeed() { budget.saved = min(budget.saved+retryFraction, retryBurst) }

// take uses up one retry, or returns false.
func (budget *budget) take() bool {
	if budget.saved < 1 {
		return false
	}
	budget.saved--
	return true
}
