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
	// loadNoise, divided by the square root of the number of slots, is added to
	// overloadThreshold at the owner of a key. The load of few slots, measured over 2 s,
	// varies by chance.
	loadNoise = 0.4
	// lateTimeoutShare is the share of the time to its deadline within which a request
	// that will miss its target must be expected to end, or it is refused.
	lateTimeoutShare = 0.8
	// maxGapFillers bounds the requests that wait for gaps in a queue. With 16 instead of
	// 4, twice as many were refused after they had waited.
	maxGapFillers = 4
	// maxTrimmed bounds the requests that one new request displaces.
	maxTrimmed = 2
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
	if request.Retry && broker.RetryBudget != nil && broker.RetryBudget.UsedUp(broker.retryShare(request, now)) {
		return Decision{Refusal: RetryBudgetExhausted, RetryAfter: RefusedRetryAfter(request.Target, broker.Random()), QueueLength: waiter.queueLength}, true
	}
	utilization, threshold := broker.utilization(request, waiter.owner, now), broker.overloadThreshold(waiter)
	waiter.overloaded = utilization > threshold
	forecast, ok := broker.estimate(waiter, now)
	if !ok {
		return refuse(Unavailable, min(time.Second, request.Timeout/4)) // callers wait for up to a third
	}
	if request.StopsIn > 0 && forecast.wait()+forecast.serviceTime > request.StopsIn.Seconds() {
		// Another VM can wait for longer.
		return Decision{Refusal: TooLate, Rule: RuleVMStops, RetryAfter: RefusedRetryAfter(request.Target, broker.Random()), QueueLength: waiter.queueLength}, true
	}
	if waiter.overloaded && forecast.neededShare > threshold {
		return broker.admitOverloaded(waiter, forecast, now)
	}
	wait := forecast.wait()
	if wait == 0 || wait+forecast.serviceTime <= request.Target.Seconds() {
		return Decision{}, false
	}
	// Requests that can meet their target go first, so that a late one also waits for those
	// that arrive meanwhile: under overload by less urgent classes, for those of its own
	// class and of more urgent ones.
	before := utilization
	if waiter.overloaded {
		before = forecast.neededShare
	}
	if wait/max(1-before, 0.01)+forecast.serviceTime > lateTimeoutShare*request.Timeout.Seconds() {
		return broker.refuseByRule(waiter, RuleMissesDeadline, forecast, now), true
	}
	return Decision{}, false
}

// admitOverloaded is admit while more load is offered than the upstreams can serve.
func (broker *Broker) admitOverloaded(waiter *Waiter, forecast forecast, now time.Time) (Decision, bool) {
	target := waiter.request.Target.Seconds()
	if forecast.wait() == 0 || forecast.latency() <= target {
		broker.trim(waiter, forecast, now)
		return Decision{}, false
	}
	if waiter.request.isLarge() && forecast.wait()+forecast.serviceTime <= target {
		return Decision{}, false
	}
	if forecast.urgentShare > starvedShare && waiter.class.takeReserved() {
		waiter.urgency, forecast.urgentShare, forecast.returnedShare = reservedUrgency, 0, 0
		forecast.ahead = broker.position(waiter)
		if forecast.latency() <= target {
			return Decision{}, false
		}
		waiter.urgency = waiter.request.urgency()
	}
	if waiter.overdue && broker.fillsGaps(waiter) {
		waiter.late = true
		return Decision{}, false
	}
	return broker.refuseByRule(waiter, RuleMissesTarget, forecast, now), true
}

// trim refuses the last requests of the queue if they miss their target because a new
// one goes first. They have waited least, and their callers can repeat them in time.
func (broker *Broker) trim(newest *Waiter, forecast forecast, now time.Time) {
	queue := broker.queues[newest.owner.Upstream]
	if queue == nil {
		return
	}
	inTime := queue.inTime()
	forecast.urgentShare, forecast.returnedShare = 0, 0
	for trimmed := 0; trimmed < maxTrimmed && inTime > 0; trimmed++ {
		inTime--
		last := queue.waiting[inTime]
		forecast.ahead = inTime + 1
		if last.request.isLarge() || compareWaiters(last, newest) < 0 || !now.Add(durationOfSeconds(forecast.latency())).After(last.due()) {
			return
		}
		broker.dequeue(last)
		last.Decision <- broker.refuseByRule(last, RuleDisplaced, forecast, now)
	}
}

// fillsGaps reports whether an overdue request of an overloaded class may wait for slots
// that no request in time needs. It was refused before, and might be refused for good.
func (broker *Broker) fillsGaps(waiter *Waiter) bool {
	if !waiter.request.Returned {
		return false
	}
	queue := broker.queues[waiter.owner.Upstream]
	return queue == nil || len(queue.waiting)-queue.inTime() < maxGapFillers
}

// refuseByRule returns the refusal of a request that would wait too long.
func (broker *Broker) refuseByRule(waiter *Waiter, rule AdmissionRule, expected forecast, now time.Time) Decision {
	if end, busy := broker.busyEnd(waiter.request, waiter.owner, now); busy {
		return broker.busyRefusal(waiter, end, now)
	}
	// Before the delay has passed, a repeat would be refused again.
	retryAfter := max(broker.retryAfter(waiter, expected, now), durationOfSeconds(expected.delay))
	return Decision{
		Refusal: Overloaded, Rule: rule, RetryAfter: retryAfter,
		Waited: now.Sub(waiter.arrivedAt), QueueLength: waiter.queueLength,
	}
}

// checkLate finds the waiting requests that would most likely miss their target even if
// they got a slot now. Those of an overloaded class are refused: their slots serve others
// in time, and their callers can retry after the burst. Otherwise all others go first, or,
// while less urgent classes are overloaded, the others of the class.
func (broker *Broker) checkLate(queue *queue, now time.Time) {
	if len(queue.waiting) == 0 || now.Sub(queue.lateChecked) < lateCheckInterval {
		return
	}
	queue.lateChecked = now
	first := queue.waiting[0]
	threshold := broker.overloadThreshold(first)
	overloaded := broker.utilization(first.request, first.owner, now) > threshold
	serviceTime := broker.expectedServiceTime(queue, now).Seconds()
	expected := forecast{serviceTime: serviceTime, interval: serviceTime / max(broker.slotsOf(first, now), 1), free: 1, spread: broker.spread, threshold: threshold}
	var late []*Waiter
	for index, waiter := range queue.waiting {
		if index == 0 || waiter.urgency != queue.waiting[index-1].urgency {
			expected.serviceTime, expected.neededShare = serviceTime*broker.ratio(waiter.urgency), 0
			if overloaded {
				expected.neededShare = broker.neededShare(waiter, now)
			}
		}
		if waiter.late && (!overloaded || waiter.request.Returned) {
			continue
		}
		if now.Add(durationOfSeconds(expected.latency())).After(waiter.due()) {
			late = append(late, waiter)
		}
	}
	for _, waiter := range late {
		broker.dequeue(waiter)
		if overloaded && broker.neededShare(waiter, now) > threshold && !broker.fillsGaps(waiter) && !waiter.request.isLarge() {
			waiter.Decision <- broker.refuseByRule(waiter, RuleLate, expected, now)
			continue
		}
		waiter.late, waiter.overdue, waiter.overloaded = !overloaded || waiter.request.isLarge() || broker.fillsGaps(waiter), true, overloaded
		broker.enqueue(waiter)
	}
}

// overloadThreshold returns the utilization of the slots that the request competes for above
// which they count as overloaded.
func (broker *Broker) overloadThreshold(waiter *Waiter) float64 {
	if owner := broker.upstreams[waiter.owner.Upstream]; owner != nil {
		return overloadThreshold + loadNoise/math.Sqrt(float64(max(owner.slotLimit, 1)))
	}
	return overloadThreshold
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

// estimate returns the expected course of the request. ok is false when no upstream can
// serve it.
func (broker *Broker) estimate(waiter *Waiter, now time.Time) (expected forecast, ok bool) {
	request := waiter.request
	if broker.keyed(request) {
		return broker.estimateKeyed(waiter, now)
	}
	usable, paused, pauseLeft := pool{}, pool{}, maxShedPause
	for _, upstream := range broker.upstreams {
		left := upstream.pausedUntil.Sub(now)
		switch {
		case upstream.Draining:
		case broker.eligible(upstream, request, now):
			usable.add(broker, upstream, now)
		case left > 0 && left <= maxShedPause && broker.eligible(upstream, request, upstream.pausedUntil):
			paused.add(broker, upstream, now)
			pauseLeft = min(pauseLeft, left)
		}
	}
	expected = forecast{spread: broker.spread}
	switch {
	case usable.rate > 0:
	case paused.rate > 0:
		usable, expected.delay = paused, pauseLeft.Seconds()
	default:
		end, busy := broker.busyEnd(request, waiter.owner, now)
		expected.delay, expected.serviceTime = end.Sub(now).Seconds(), broker.meanServiceTime()
		return expected, busy
	}
	expected.serviceTime, expected.interval, expected.free = float64(usable.slots)/usable.rate, 1/usable.rate, usable.free
	broker.completeForecast(waiter, &expected, float64(usable.slots), now)
	return expected, true
}

// pool sums up the upstreams that can serve a request without a key.
type pool struct {
	slots, free int
	rate        float64 // requests per second that end if all slots are in use
}

func (pool *pool) add(broker *Broker, upstream *upstreamState, now time.Time) {
	pool.slots += upstream.slotLimit
	pool.free += broker.warmupFree(upstream, max(upstream.freeSlots(), 0), now)
	pool.rate += broker.requestRate(upstream, now)
}

// completeForecast sets what depends on the waiting requests and on other classes.
func (broker *Broker) completeForecast(waiter *Waiter, expected *forecast, slots float64, now time.Time) {
	expected.serviceTime *= broker.ratio(waiter.urgency)
	expected.threshold = broker.overloadThreshold(waiter)
	waiter.overdue = now.Add(durationOfSeconds(expected.serviceTime)).After(waiter.due())
	waiter.late = waiter.overdue && !waiter.overloaded
	waiter.round = broker.nextRound(waiter)
	if waiter.request.Returned && !waiter.overdue && broker.inFirstRound(waiter) {
		waiter.class.returned.add(now, expected.serviceTime)
	}
	expected.ahead = broker.position(waiter)
	loads := broker.classLoads(waiter)
	urgent, returned := loads.goesBefore(waiter, now)
	expected.urgentShare, expected.returnedShare, expected.neededShare = urgent/slots, returned/slots, loads.needed(waiter.urgency, now)/slots
}

// estimateKeyed is estimate for a request that only the owner of its key can serve.
func (broker *Broker) estimateKeyed(waiter *Waiter, now time.Time) (expected forecast, ok bool) {
	request, ownership := waiter.request, waiter.owner
	upstream := broker.upstreams[ownership.Upstream]
	switch {
	case upstream == nil, !ownership.Held && !ownership.Pending, upstream.slotLimit == 0:
		return expected, false
	case now.Before(upstream.unreachableUntil[request.VM]), slices.Contains(request.Exclude, upstream.ID), broker.isPartitioned(request.Zone, upstream, now):
		return expected, false
	}
	if upstream.Evacuated {
		return broker.estimateEvacuated(upstream, now)
	}
	slots, serviceTime := float64(upstream.slotLimit), upstream.serviceTimeAt(now)
	expected = forecast{serviceTime: serviceTime, interval: serviceTime / slots, free: upstream.freeSlots(), spread: broker.spread}
	if end, busy := broker.busyEnd(request, ownership, now); busy {
		expected.delay = end.Sub(now).Seconds()
	}
	broker.completeForecast(waiter, &expected, slots, now)
	limited, ok := broker.warmupWait(upstream, expected.ahead, now)
	if limited > 0 || !ok {
		broker.warmup.limited++
	}
	expected.delay = max(expected.delay, limited.Seconds()-expected.steps()*expected.interval)
	return expected, ok
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
