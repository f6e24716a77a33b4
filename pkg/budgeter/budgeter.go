// Package budgeter bounds how many attempts repeat a request, as a share of the
// requests in a sliding window.
package budgeter

import (
	"time"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// Budget counts requests and repeats in a sliding window. It is not safe for
// concurrent use.
type Budget struct {
	clock   clocker.Clock
	slot    time.Duration
	ratio   float64
	slack   float64
	start   time.Time
	current int64
	slots   [slotCount]counts
}

type counts struct{ requests, repeats int }

// slotCount divides the window, so that a count leaves it at most a tenth of a
// window late.
const slotCount = 10

// New returns a budget that allows ratio times the requests of a window plus
// slack repeats in that window.
func New(clock clocker.Clock, window time.Duration, ratio float64, slack int) *Budget {
	return &Budget{clock: clock, slot: window / slotCount, ratio: ratio, slack: float64(slack), start: clock.Now()}
}

// CountRequest counts a first attempt.
func (budget *Budget) CountRequest() { budget.turn().requests++ }

// AllowRetry counts a further attempt and reports whether the budget allows it.
func (budget *Budget) AllowRetry() bool {
	slot := budget.turn()
	requests, repeats := 0, 0
	for _, counts := range budget.slots {
		requests += counts.requests
		repeats += counts.repeats
	}
	if float64(repeats+1) > budget.ratio*float64(requests)+budget.slack {
		return false
	}
	slot.repeats++
	return true
}

// turn clears the slots that have left the window and returns the current one.
func (budget *Budget) turn() *counts {
	number := int64(budget.clock.Now().Sub(budget.start) / max(budget.slot, 1))
	for step := max(budget.current+1, number-slotCount+1); step <= number; step++ {
		budget.slots[step%slotCount] = counts{}
	}
	budget.current = max(number, budget.current)
	return &budget.slots[budget.current%slotCount]
}
