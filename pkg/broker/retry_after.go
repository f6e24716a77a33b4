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
	// minFreeingTime is the least average Retry-After time after a first refusal.
	minFreeingTime = 50 * time.Millisecond
	// spareShare is the largest share of the time in which a repeat can still meet its
	// target that the caller waits for on average. The rest is for the queue.
	spareShare = 0.5
	// maxTimeoutShare bounds Retry-After as a share of the time left to the deadline.
	// Callers wait for up to a third of it.
	maxTimeoutShare = 0.3
)

// retryAfter returns the Retry-After time of a request that admission refuses. For a new
// request that is the time in which enough slots become free for it, at the measured rates
// of ends and arrivals, as far as a repeat can still meet its target after that. For others
// it is long, because the next refusal may be final: 0.1 to 0.3 of the time left, in which
// a short overload passes. It is spread by half of its mean to either side.
func (broker *Broker) retryAfter(waiter *Waiter, expected forecast, now time.Time) time.Duration {
	waited := now.Sub(waiter.arrivedAt)
	longest := time.Duration(maxTimeoutShare * float64(waiter.request.Timeout-waited))
	left := waiter.request.Target - waited
	spare := left - durationOfSeconds(expected.serviceTime)
	mean := longest * 2 / 3
	if share := time.Duration(spareShare * float64(spare)); share >= minFreeingTime && !waiter.request.Returned {
		freeing := (expected.latency() - left.Seconds()) / (1 - min(expected.neededShare, maxOverloadedAheadShare))
		mean = min(max(durationOfSeconds(freeing), minFreeingTime), share)
	}
	return max(time.Duration(float64(mean)*(0.5+broker.Random())), minRefusedRetryAfter)
}

// RefusedRetryAfter returns the Retry-After time for a request that upstreams refused, or
// that the retry budget does not allow to be sent on. A caller's repeat is a new request
// to the budget. The time is spread by half of it to either side; random is in [0, 1).
func RefusedRetryAfter(target time.Duration, random float64) time.Duration {
	mean := min(max(time.Duration(refusedRetryShare*float64(target)), minRefusedRetryAfter), maxRefusedRetryAfter)
	return time.Duration(float64(mean) * (0.5 + random))
}

const (
	// newRetryShare is the share of the retry budget that new requests may use up while
	// callers repeat refused ones. The rest is for repeats.
	newRetryShare = 0.5
	// minReturned is the number of repeats per second from which on they have that rest.
	minReturned = 1
)

// retryShare returns the share of the retry budget that the request may use up. A new
// request that upstreams refused can come back without drawing on the budget; the next
// refusal of a repeat may be final.
func (broker *Broker) retryShare(request Request, now time.Time) float64 {
	if request.Returned || request.MayHaveRun || broker.returned.perSecond(now) < minReturned {
		return 1
	}
	return newRetryShare
}
