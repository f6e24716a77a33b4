// Package budgeter bounds the number of retries to a share of the requests in a
// sliding window, so that retries do not multiply the load of failing upstreams.
package budgeter

import (
	"time"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// Budget counts requests and retries in a sliding window. It is not safe for
// concurrent use.
type Budget struct {
	clock         clocker.Clock
	bucketWidth   time.Duration
	ratio         float64
	slack         float64
	start         time.Time
	currentBucket int64
	buckets       [bucketCount]bucket // a ring
}

type bucket struct{ requests, retries int }

// bucketCount divides the window, so that a count leaves it at most a tenth of a
// window late.
const bucketCount = 10

// New returns a budget that allows, in each window, ratio times the requests of the
// window plus slack retries.
func New(clock clocker.Clock, window time.Duration, ratio float64, slack int) *Budget {
	return &Budget{clock: clock, bucketWidth: window / bucketCount, ratio: ratio, slack: float64(slack), start: clock.Now()}
}

// CountRequest counts a first attempt.
func (budget *Budget) CountRequest() { budget.advance().requests++ }

// AllowRetry reports whether the budget allows a retry now, and counts it if so.
func (budget *Budget) AllowRetry() bool {
	if budget.Exhausted() {
		return false
	}
	budget.advance().retries++
	return true
}

// Exhausted reports whether the budget allows no retry now.
func (budget *Budget) Exhausted() bool { return budget.UsedUp(1) }

// UsedUp reports whether another retry would exceed the share of the budget.
func (budget *Budget) UsedUp(share float64) bool {
	budget.advance()
	requests, retries := 0, 0
	for _, bucket := range budget.buckets {
		requests += bucket.requests
		retries += bucket.retries
	}
	return float64(retries+1) > share*(budget.ratio*float64(requests)+budget.slack)
}

// advance clears the buckets that have left the window and returns the current one.
func (budget *Budget) advance() *bucket {
	number := int64(budget.clock.Now().Sub(budget.start) / max(budget.bucketWidth, 1))
	for step := max(budget.currentBucket+1, number-bucketCount+1); step <= number; step++ {
		budget.buckets[step%bucketCount] = bucket{}
	}
	budget.currentBucket = max(number, budget.currentBucket)
	return &budget.buckets[budget.currentBucket%bucketCount]
}
