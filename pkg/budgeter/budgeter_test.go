package budgeter_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cuminstream/cuminstream/pkg/budgeter"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// No window holds more retries than the ratio of the requests, plus the slack. The
// requests are counted over a whole window and the retries over nine tenths of it,
// because the window moves by whole buckets.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	const window, ratio, slack = 10 * time.Second, 0.2, 5
	rapid.Check(t, func(t *rapid.T) {
		clock := clocker.NewFake(time.Unix(1_000_000, 0))
		budget := budgeter.New(clock, window, ratio, slack)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				budget.CountRequest()
				requests = append(requests, clock.Now())
			case 2:
				if budget.AllowRetry() {
					retries = append(retries, clock.Now())
				}
			case 3:
				clock.Advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "wait")) * time.Millisecond)
			}
		}
		count := func(times []time.Time, from, to time.Time) (count int) {
			for _, at := range times {
				if !at.Before(from) && !at.After(to) {
					count++
				}
			}
			return count
		}
		for _, end := range retries {
			// The buckets of the budget cover between nine tenths and all of the window.
			from := end.Add(-window * 9 / 10)
			allowed := ratio*float64(count(requests, end.Add(-window), end)) + slack
			assert.Assert(t, float64(count(retries, from, end)) <= allowed, "%d retries until %v", count(retries, from, end), end)
		}
	})
}
