package budgeter_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cuminstream/cuminstream/pkg/budgeter"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// In no window of the full length are there more repeats than the share of the
// requests in the window and a tenth more, and the slack.
func TestBudgetHoldsInEveryWindow(t *testing.T) {
	const window, ratio, slack = 10 * time.Second, 0.2, 5
	rapid.Check(t, func(t *rapid.T) {
		clock := clocker.NewFake(time.Unix(1_000_000, 0))
		budget := budgeter.New(clock, window, ratio, slack)
		var requests, repeats []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				budget.CountRequest()
				requests = append(requests, clock.Now())
			case 2:
				if budget.AllowRetry() {
					repeats = append(repeats, clock.Now())
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
		for _, end := range repeats {
			// The slots of the budget cover nine to ten tenths of the window.
			from := end.Add(-window * 9 / 10)
			allowed := ratio*float64(count(requests, end.Add(-window), end)) + slack
			assert.Assert(t, float64(count(repeats, from, end)) <= allowed, "%d repeats until %v", count(repeats, from, end), end)
		}
	})
}
