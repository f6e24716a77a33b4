package broker

import (
	"slices"
	"time"
)

// failureCost scales the penalty for failures: an upstream that fails all requests
// costs 1 + failureCost times its service time.
const failureCost = 8

// dispatchAll looks up the owners of all waiting requests again and assigns free
// slots in all queues.
func (broker *Broker) dispatchAll(now time.Time) {
	broker.expireTickets(now)
	broker.refreshOwners()
	for _, queue := range broker.queues {
		broker.dispatch(queue, now)
	}
}

// dispatch assigns free slots until no request of the queue can get one.
func (broker *Broker) dispatch(queue *queue, now time.Time) {
	if queue == nil {
		return
	}
	broker.checkLate(queue, now)
	broker.refuseEvacuated(queue, now)
	broker.refuseLimited(queue, now)
	for len(queue.waiting) > 0 {
		waiter, chosen := broker.selectNext(queue, now)
		if chosen == nil {
			return
		}
		if broker.keyed(waiter.request) && !broker.confirmOwner(waiter) {
			continue
		}
		broker.takeNext(waiter)
		broker.assign(waiter, chosen, now)
	}
}

// confirmOwner looks up the owner of the request's key again, because it may have
// changed since the last refreshOwners. It reports whether the owner is the same and
// holds the key. If the owner has changed, the request moves to the new owner's queue.
func (broker *Broker) confirmOwner(waiter *Waiter) bool {
	owner := broker.Owners.Owner(waiter.request.Key)
	if owner.Upstream != waiter.owner.Upstream {
		broker.dequeue(waiter)
		waiter.owner = owner
		waiter.round = broker.nextRound(waiter)
		broker.enqueue(waiter) // the other queue is dispatched with the next change
		return false
	}
	waiter.owner = owner
	return owner.Held
}

// selectNext returns the request of the queue that gets a slot next, and the upstream.
// It returns nil when no request can get a slot.
func (broker *Broker) selectNext(queue *queue, now time.Time) (best *Waiter, chosen *upstreamState) {
	available := broker.availableUpstreams(queue, now)
	if len(available) == 0 {
		return nil, nil
	}
	var local *Waiter // the first request that can get a slot in its own zone
	var localUpstream *upstreamState
	for _, waiter := range queue.waiting {
		if best != nil && !prefersLocal(waiter, best, now) {
			break // no request after this one is preferred either
		}
		if waiter.late && waiter.overloaded && !leavesSlot(available) {
			continue // it waits for a gap
		}
		upstream := broker.selectUpstream(waiter, available, now)
		if upstream == nil {
			continue
		}
		if best == nil {
			best, chosen = waiter, upstream
		}
		if upstream.Zone == waiter.request.Zone {
			local, localUpstream = waiter, upstream
			break
		}
	}
	if local != nil && local != best && chosen.Zone != best.request.Zone && prefersLocal(local, best, now) {
		return local, localUpstream
	}
	return best, chosen
}

// leavesSlot reports whether the upstreams have another free slot beside the next one, for
// a request in time that arrives later. An upstream with one slot has none to leave.
func leavesSlot(available []*upstreamState) bool {
	return len(available) > 1 || available[0].freeSlots() > 1 || available[0].slotLimit == 1
}

// expectedServiceTime returns the mean service time of the upstreams that serve the
// queue.
func (broker *Broker) expectedServiceTime(queue *queue, now time.Time) time.Duration {
	if owner := broker.upstreams[queue.owner]; owner != nil {
		return durationOfSeconds(owner.serviceTimeAt(now))
	}
	return durationOfSeconds(broker.meanServiceTime())
}

// availableUpstreams returns the upstreams that can get a request of the queue now.
// The slice is valid until the next call.
func (broker *Broker) availableUpstreams(queue *queue, now time.Time) []*upstreamState {
	broker.candidates = broker.candidates[:0]
	if queue.owner != noOwner {
		owner := broker.upstreams[queue.owner]
		if owner != nil && !owner.Evacuated && owner.assignable(len(queue.waiting)) > 0 && !now.Before(owner.pausedUntil) && broker.warmupFree(owner, 1, now) > 0 {
			broker.candidates = append(broker.candidates, owner)
		}
		return broker.candidates
	}
	for _, upstream := range broker.upstreams {
		if !upstream.Draining && !upstream.Evacuated && upstream.freeSlots() > 0 && !now.Before(upstream.pausedUntil) && broker.warmupFree(upstream, 1, now) > 0 {
			broker.candidates = append(broker.candidates, upstream)
		}
	}
	return broker.candidates
}

// selectUpstream returns the available upstream that the request should run on, or nil
// when it should wait.
func (broker *Broker) selectUpstream(waiter *Waiter, available []*upstreamState, now time.Time) *upstreamState {
	request := waiter.request
	if broker.keyed(request) {
		if !waiter.owner.Held || !broker.eligible(available[0], request, now) {
			return nil
		}
		return available[0]
	}
	best := broker.cheapest(waiter, available, now, func(upstream *upstreamState) bool { return upstream.Zone == request.Zone })
	if best != nil && meetsTarget(best, waiter, now) {
		return best
	}
	if !broker.mayCrossZones(waiter, now) {
		return nil
	}
	return broker.cheapest(waiter, available, now, func(*upstreamState) bool { return true })
}

// cheapest returns the upstream with the lowest cost among those that are eligible for
// the request and pass the filter.
func (broker *Broker) cheapest(waiter *Waiter, available []*upstreamState, now time.Time, filter func(upstream *upstreamState) bool) *upstreamState {
	request := waiter.request
	var best *upstreamState
	bestCost := 0.0
	for _, upstream := range available {
		if !filter(upstream) || !broker.eligible(upstream, request, now) {
			continue
		}
		cost := upstream.cost(now) * broker.localMode.costFactor(upstream.ID)
		if broker.needsFirstRequest(upstream, now) && meetsTarget(upstream, waiter, now) {
			cost = 0
		}
		if upstream.Zone != request.Zone {
			cost += crossZoneCost
		}
		if best == nil || cost < bestCost || (cost == bestCost && upstream.ID < best.ID) {
			best, bestCost = upstream, cost
		}
	}
	return best
}

// eligible reports whether the request may be sent to the upstream now.
func (broker *Broker) eligible(upstream *upstreamState, request Request, now time.Time) bool {
	return upstream.usable(request.VM, now) && !slices.Contains(request.Exclude, upstream.ID) && !broker.isPartitioned(request.Zone, upstream, now)
}

// cost returns the expected service time in seconds, increased for failures and for
// slots in use.
func (upstream *upstreamState) cost(now time.Time) float64 {
	cost := upstream.serviceTimeAt(now) * (1 + failureCost*upstream.failureRate)
	// Concurrent requests slow some upstreams down.
	cost *= 1 + 0.1*float64(upstream.inUse())/float64(upstream.Slots)
	return cost
}

// assign gives the request a slot of the upstream, unless it is a retry beyond the
// retry budget.
func (broker *Broker) assign(waiter *Waiter, upstream *upstreamState, now time.Time) {
	decision := Decision{Upstream: upstream.Upstream, Waited: now.Sub(waiter.arrivedAt), QueueLength: waiter.queueLength}
	if waiter.request.Retry && broker.RetryBudget != nil && !broker.RetryBudget.AllowRetry() {
		decision.Refusal, decision.RetryAfter = RetryBudgetExhausted, RefusedRetryAfter(waiter.request.Target-decision.Waited, broker.Random())
		waiter.Decision <- decision
		return
	}
	broker.lastTicket++
	decision.Ticket = broker.lastTicket
	upstream.assigned++
	broker.recordSent(upstream, now)
	broker.recordProbe(waiter.request.Zone, upstream, now)
	broker.tickets[decision.Ticket] = &ticket{
		upstream: upstream, vm: waiter.request.VM, zone: waiter.request.Zone, fingerprint: waiter.request.Fingerprint, class: waiter.class, returned: waiter.request.Returned,
		expiresAt: waiter.arrivedAt.Add(waiter.request.Timeout + ticketGrace),
	}
	waiter.Decision <- decision
}
