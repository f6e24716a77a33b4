package broker

import (
	"math"
	"slices"
	"time"
)

const (
	// saturation is the offered work, as a share of what the upstreams can do,
	// above which requests that would be answered late are refused: their slots
	// serve others in time.
	saturation = 0.9
	// lateShare is the share of a request's time limit in which it is expected to
	// be answered when it will be late anyway.
	lateShare = 0.8
	// minRetryAfter and maxRetryAfter bound the time after which refused callers
	// are told to return.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// admit refuses a request that cannot be served in time. It answers the load of
// bursts, which offer more work than all upstreams can do: a queue that only
// holds what can be answered in time keeps the goodput at the capacity.
func (broker *Broker) admit(waiter *Waiter, now time.Time) (Decision, bool) {
	ask := waiter.ask
	refuse := func(reason RefusalReason, retryAfter time.Duration) (Decision, bool) {
		return Decision{Refusal: reason, RetryAfter: broker.spread(retryAfter), QueueLength: waiter.queue}, true
	}
	if ask.Fingerprint != 0 && broker.suspects.Losses(ask.Fingerprint) >= maxLosses {
		return refuse(CrashSuspect, suspectRetryAfter)
	}
	wait, work, ok := broker.estimate(waiter, now)
	if !ok {
		return refuse(Unavailable, time.Second)
	}
	finish := wait + work
	left := ask.Timeout.Seconds()
	switch {
	case finish <= ask.Target.Seconds() || wait == 0:
		return Decision{}, false
	}
	// Requests in time go first, so that a late one also waits for those that
	// will arrive meanwhile.
	use := broker.use(ask, waiter.owner, now)
	if late := wait / max(1-use, 0.01); use > saturation || late+work > lateShare*left {
		return refuse(Overloaded, duration(wait))
	}
	return Decision{}, false
}

// shed refuses requests of the line that would most likely be late if they got a
// slot now, while more work is offered than can be done: their slots serve others
// in time, and they can come back after the burst.
func (broker *Broker) shed(line *line, now time.Time) {
	if len(line.waiting) == 0 || broker.use(line.waiting[0].ask, line.waiting[0].owner, now) <= saturation {
		return
	}
	ready := now.Add(broker.expectedWork(line))
	kept := line.waiting[:0]
	for _, waiter := range line.waiting {
		if !ready.After(waiter.arrived.Add(waiter.ask.Target)) {
			kept = append(kept, waiter)
			continue
		}
		waited := now.Sub(waiter.arrived)
		waiter.line = nil
		broker.count--
		waiter.Decision <- Decision{Refusal: Overloaded, RetryAfter: broker.spread(waited), Waited: waited, QueueLength: waiter.queue}
	}
	clear(line.waiting[len(kept):])
	line.waiting = kept
}

// owner returns the owner of the request's key.
func (broker *Broker) owner(ask Request) Ownership {
	if !broker.keyed(ask) {
		return Ownership{}
	}
	return broker.Owners.Owner(ask.Key)
}

// use returns the offered work as a share of what the upstreams that can serve
// the request do.
func (broker *Broker) use(ask Request, owner Ownership, now time.Time) float64 {
	if broker.keyed(ask) {
		upstream := broker.upstreams[owner.Upstream]
		if upstream == nil {
			return 1
		}
		return upstream.offered.perSecond(now) / float64(upstream.Slots)
	}
	return broker.offered.perSecond(now) / max(broker.capacity(now), 1)
}

// estimate returns the expected seconds in the queue and at the upstream. ok is
// false when no upstream can serve the request.
func (broker *Broker) estimate(waiter *Waiter, now time.Time) (wait, work float64, ok bool) {
	ask := waiter.ask
	if broker.keyed(ask) {
		return broker.estimateKey(waiter, now)
	}
	slots, free, rate := 0, 0, 0.0
	for _, upstream := range broker.upstreams {
		if upstream.Draining || !broker.allowed(upstream, ask, now) {
			continue
		}
		slots += upstream.limit
		free += max(upstream.free(), 0)
		rate += float64(upstream.limit) / upstream.expected()
	}
	if slots == 0 {
		return 0, 0, false
	}
	work = float64(slots) / rate
	ahead := broker.ahead(unowned, ask.Rank)
	if free > ahead {
		return 0, work, true
	}
	return float64(ahead-free+1) / rate, work, true
}

// ahead counts the requests in the owner's line that go before those of the rank.
func (broker *Broker) ahead(owner string, rank int) int {
	line, count := broker.lines[owner], 0
	if line == nil {
		return 0
	}
	for _, waiter := range line.waiting {
		if waiter.ask.Rank <= rank {
			count++
		}
	}
	return count
}

func (broker *Broker) estimateKey(waiter *Waiter, now time.Time) (wait, work float64, ok bool) {
	ask, ownership := waiter.ask, waiter.owner
	upstream := broker.upstreams[ownership.Upstream]
	switch {
	case upstream == nil, !ownership.Held && !ownership.Pending:
		return 0, 0, false
	case now.Before(upstream.unreachable[ask.VM]), slices.Contains(ask.Exclude, upstream.ID), broker.isCut(ask.Zone, upstream, now):
		return 0, 0, false
	}
	ahead := broker.ahead(upstream.ID, ask.Rank)
	work = upstream.expected()
	if free := upstream.free(); free > ahead {
		return 0, work, true
	}
	return float64(ahead+1) * work / float64(upstream.limit), work, true
}

// capacity returns the slot-seconds per second that the upstreams offer.
func (broker *Broker) capacity(now time.Time) float64 {
	slots := 0
	for _, upstream := range broker.upstreams {
		if !upstream.Draining && !now.Before(upstream.pausedUntil) {
			slots += upstream.Slots
		}
	}
	return float64(slots)
}

// spread returns a time around d, so that refused callers do not return together.
func (broker *Broker) spread(d time.Duration) time.Duration {
	if d < suspectRetryAfter {
		d = min(max(d, minRetryAfter), maxRetryAfter)
	}
	return time.Duration(float64(d) * (0.75 + 0.5*broker.Random()))
}

func duration(seconds float64) time.Duration {
	if seconds > math.MaxInt32 {
		return time.Duration(math.MaxInt64)
	}
	return time.Duration(seconds * float64(time.Second))
}
