package broker

import "time"

const (
	// refusedRetryShare is the share of the time left to the target after which, on
	// average, a caller repeats a request that upstreams refused although they had
	// free slots. The repeat needs no freed slot, and must still meet the target.
	refusedRetryShare = 0.125
	// minRefusedRetryAfter and maxRefusedRetryAfter bound that average.
	minRefusedRetryAfter = 20 * time.Millisecond
	maxRefusedRetryAfter = 100 * time.Millisecond
)

// RefusedRetryAfter returns the Retry-After time for a request that upstreams refused, or
// that the retry budget does not allow to be sent on. A caller's repeat is a new request
// to the budget. The time is spread by half of it to either side; random is in [0, 1).
func RefusedRetryAfter(target time.Duration, random float64) time.Duration {
	mean := min(max(time.Duration(refusedRetryShare*float64(target)), minRefusedRetryAfter), maxRefusedRetryAfter)
	return time.Duration(float64(mean) * (0.5 + random))
}
