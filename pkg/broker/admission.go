package broker

import (
	"math"
	"slices"
	"time"
)

const (
	// overloadThreshold is the utilization above which requests that would miss their
	// target are refused, so that their slots serve others in time.
	overloadThreshold = 0.9
	// lateTimeoutShare is the share of the time to its deadline within which a request
	// that will miss its target must be expected to end, or it is refused.
	lateTimeoutShare = 0.8
	// minRetryAfter and maxRetryAfter bound RetryAfter before jitter, except for
	// times from crashSuspectRetryAfter on.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// admit decides whether a request may join the queue; it returns the refusal if not.
// In a burst, more load is offered than all upstreams can serve. A queue that holds
// only requests that can be answered in time keeps the goodput at the capacity.
func (broker *Broker) admit(waiter *Waiter, now time.Time) (Decision, bool) {
	request := waiter.request
	refuse := func(reason RefusalReason, retryAfter time.Duration) (Decision, bool) {
		return Decision{Refusal: reason, RetryAfter: broker.jitter(retryAfter), QueueLength: waiter.queueLength}, true
	}
	if request.Fingerprint != 0 && broker.crashSuspects.Losses(request.Fingerprint) >= maxLosses {
		return refuse(CrashSuspect, crashSuspectRetryAfter)
	}
	wait, serviceTime, ok := broker.estimate(waiter, now)
	if !ok {
		return refuse(Unavailable, time.Second)
	}
	latency := wait + serviceTime
	timeout := request.Timeout.Seconds()
	switch {
	case latency <= request.Target.Seconds() || wait == 0:
		return Decision{}, false
	}
	// Requests that can meet their target go first, so that a late one also waits
	// for those that arrive meanwhile.
	utilization := broker.utilization(request, waiter.owner, now)
	if lateWait := wait / max(1-utilization, 0.01); utilization > overloadThreshold || lateWait+serviceTime > lateTimeoutShare*timeout {
		if end, busy := broker.busyEnd(request, waiter.owner, now); busy {
			return broker.busyRefusal(waiter, end, now), true
		}
		return refuse(Overloaded, durationOfSeconds(wait))
	}
	return Decision{}, false
}

// shedLate refuses, under overload, the requests of the queue that would most likely
// miss their target even if they got a slot now. Their slots serve others in time,
// and their callers can retry after the burst.
func (broker *Broker) shedLate(queue *queue, now time.Time) {
	if len(queue.waiting) == 0 || broker.utilization(queue.waiting[0].request, queue.waiting[0].owner, now) <= overloadThreshold {
		return
	}
	finish := now.Add(broker.expectedServiceTime(queue, now))
	kept := queue.waiting[:0]
	for _, waiter := range queue.waiting {
		if !finish.After(waiter.arrivedAt.Add(waiter.request.Target)) {
			kept = append(kept, waiter)
			continue
		}
		waited := now.Sub(waiter.arrivedAt)
		waiter.queue = nil
		broker.waitingCount--
		waiter.Decision <- Decision{Refusal: Overloaded, RetryAfter: broker.jitter(waited), Waited: waited, QueueLength: waiter.queueLength}
	}
	clear(queue.waiting[len(kept):])
	queue.waiting = kept
}

// owner looks up the owner of the request's key.
func (broker *Broker) owner(request Request) Ownership {
	if !broker.keyed(request) {
		return Ownership{}
	}
	return broker.Owners.Owner(request.Key)
}

// utilization returns the offered load as a share of the capacity of the upstreams
// that can serve the request.
func (broker *Broker) utilization(request Request, owner Ownership, now time.Time) float64 {
	if broker.keyed(request) {
		upstream := broker.upstreams[owner.Upstream]
		if upstream == nil {
			return 1
		}
		return upstream.offeredLoad.perSecond(now) / broker.capacityOf(upstream, now)
	}
	return broker.offeredLoad.perSecond(now) / max(broker.capacity(now), 1)
}

// estimate returns the expected queueing time and service time in seconds. ok is
// false when no upstream can serve the request.
func (broker *Broker) estimate(waiter *Waiter, now time.Time) (wait, serviceTime float64, ok bool) {
	request := waiter.request
	if broker.keyed(request) {
		return broker.estimateKeyed(waiter, now)
	}
	slots, free, rate := 0, 0, 0.0
	for _, upstream := range broker.upstreams {
		if upstream.Draining || !broker.eligible(upstream, request, now) {
			continue
		}
		slots += upstream.slotLimit
		free += broker.warmupFree(upstream, max(upstream.freeSlots(), 0), now)
		rate += broker.requestRate(upstream, now)
	}
	if slots == 0 || rate == 0 {
		end, busy := broker.busyEnd(request, waiter.owner, now)
		return end.Sub(now).Seconds(), broker.meanServiceTime(), busy
	}
	serviceTime = float64(slots) / rate
	ahead := broker.countAhead(noOwner, request.Rank)
	if free > ahead {
		return 0, serviceTime, true
	}
	return float64(ahead-free+1) / rate, serviceTime, true
}

// countAhead counts the requests in the owner's queue that go before a new one of the
// rank.
func (broker *Broker) countAhead(owner string, rank int) int {
	queue, count := broker.queues[owner], 0
	if queue == nil {
		return 0
	}
	for _, waiter := range queue.waiting {
		if waiter.request.Rank <= rank {
			count++
		}
	}
	return count
}

// estimateKeyed is estimate for a request that only the owner of its key can serve.
func (broker *Broker) estimateKeyed(waiter *Waiter, now time.Time) (wait, serviceTime float64, ok bool) {
	request, ownership := waiter.request, waiter.owner
	upstream := broker.upstreams[ownership.Upstream]
	switch {
	case upstream == nil, !ownership.Held && !ownership.Pending:
		return 0, 0, false
	case now.Before(upstream.unreachableUntil[request.VM]), slices.Contains(request.Exclude, upstream.ID), broker.isPartitioned(request.Zone, upstream, now):
		return 0, 0, false
	}
	if upstream.Evacuated {
		return broker.estimateEvacuated(upstream, now)
	}
	ahead := broker.countAhead(upstream.ID, request.Rank)
	limited, ok := broker.warmupWait(upstream, ahead, now)
	if limited > 0 || !ok {
		broker.warmup.limited++
	}
	if !ok {
		return 0, 0, false
	}
	serviceTime = upstream.serviceTimeAt(now)
	if end, busy := broker.busyEnd(request, ownership, now); busy {
		return max(end.Sub(now).Seconds()+float64(ahead)*serviceTime/float64(upstream.slotLimit), limited.Seconds()), serviceTime, true
	}
	if free := upstream.freeSlots(); free > ahead {
		return limited.Seconds(), serviceTime, true
	}
	return max(float64(ahead+1)*serviceTime/float64(upstream.slotLimit), limited.Seconds()), serviceTime, true
}

// jitter bounds d and returns a random time within 25% of it, so that refused callers
// do not all retry at once.
func (broker *Broker) jitter(d time.Duration) time.Duration {
	if d < crashSuspectRetryAfter {
		d = min(max(d, minRetryAfter), maxRetryAfter)
	}
	return time.Duration(float64(d) * (0.75 + 0.5*broker.Random()))
}

// durationOfSeconds converts seconds to a duration, without overflow for large values.
func durationOfSeconds(seconds float64) time.Duration {
	if seconds > math.MaxInt32 {
		return time.Duration(math.MaxInt64)
	}
	return time.Duration(seconds * float64(time.Second))
}
