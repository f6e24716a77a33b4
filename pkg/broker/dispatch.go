package broker

import (
	"slices"
	"time"
)

// failureCost multiplies the expected time of an upstream that fails all requests.
const failureCost = 8

// dispatchAll looks the owners of all waiting requests up again and assigns free
// slots.
func (broker *Broker) dispatchAll(now time.Time) {
	broker.sweep(now)
	broker.look()
	for _, line := range broker.lines {
		broker.dispatch(line, now)
	}
}

// dispatch assigns free slots until no request of the line can get one.
func (broker *Broker) dispatch(line *line, now time.Time) {
	if line == nil {
		return
	}
	broker.shed(line, now)
	for len(line.waiting) > 0 {
		waiter, chosen := broker.next(line, now)
		if chosen == nil {
			return
		}
		if broker.keyed(waiter.ask) && !broker.confirm(waiter) {
			continue
		}
		broker.leave(waiter)
		broker.assign(waiter, chosen, now)
	}
}

// confirm looks the owner of the request's key up again, which may have changed
// since the last look at all requests. It reports whether the owner is the same.
func (broker *Broker) confirm(waiter *Waiter) bool {
	owner := broker.Owners.Owner(waiter.ask.Key)
	if owner.Upstream != waiter.owner.Upstream {
		broker.leave(waiter)
		waiter.owner = owner
		broker.join(waiter) // the other line gets its turn with the next change
		return false
	}
	waiter.owner = owner
	return owner.Held
}

// next returns the request of the line that gets the next slot, and where.
func (broker *Broker) next(line *line, now time.Time) (best *Waiter, chosen *upstream) {
	free := broker.open(line, now)
	if len(free) == 0 {
		return nil, nil
	}
	ready := now.Add(broker.expectedWork(line))
	var local *Waiter // the best request for which its own zone has a slot
	var near *upstream
	for _, waiter := range line.waiting {
		first, firstLocal := best == nil || before(waiter, best, ready), local == nil || before(waiter, local, ready)
		if !first && !firstLocal {
			continue
		}
		upstream := broker.choose(waiter, free, now)
		if upstream == nil {
			continue
		}
		if first {
			best, chosen = waiter, upstream
		}
		if firstLocal && upstream.Zone == waiter.ask.Zone {
			local, near = waiter, upstream
		}
	}
	if local != nil && local != best && chosen.Zone != best.ask.Zone && staysHere(local, best, now) {
		return local, near
	}
	return best, chosen
}

// expectedWork returns the mean time of one request of the line.
func (broker *Broker) expectedWork(line *line) time.Duration {
	if owner := broker.upstreams[line.owner]; owner != nil {
		return duration(owner.expected())
	}
	return duration(broker.meanWork())
}

// open returns the upstreams that have a slot for requests of the line.
func (broker *Broker) open(line *line, now time.Time) []*upstream {
	broker.scratch = broker.scratch[:0]
	if line.owner != unowned {
		owner := broker.upstreams[line.owner]
		if owner != nil && owner.room(len(line.waiting)) > 0 && !now.Before(owner.pausedUntil) {
			broker.scratch = append(broker.scratch, owner)
		}
		return broker.scratch
	}
	for _, upstream := range broker.upstreams {
		if !upstream.Draining && upstream.free() > 0 && !now.Before(upstream.pausedUntil) {
			broker.scratch = append(broker.scratch, upstream)
		}
	}
	return broker.scratch
}

// before reports whether a runs before b, when a request that gets a slot now is
// answered at the time ready. Requests that can still be answered in their target
// latency come first, by rank and then by the time at which that ends; the others
// follow by rank and arrival.
func before(a, b *Waiter, ready time.Time) bool {
	dueA, dueB := a.arrived.Add(a.ask.Target), b.arrived.Add(b.ask.Target)
	lateA, lateB := dueA.Before(ready), dueB.Before(ready)
	switch {
	case lateA != lateB:
		return lateB
	case a.ask.Rank != b.ask.Rank:
		return a.ask.Rank < b.ask.Rank
	case lateA:
		return a.arrived.Before(b.arrived)
	default:
		return dueA.Before(dueB)
	}
}

// choose returns the upstream among those with a slot that serves the request
// best.
func (broker *Broker) choose(waiter *Waiter, free []*upstream, now time.Time) *upstream {
	ask := waiter.ask
	if broker.keyed(ask) {
		if !waiter.owner.Held || !broker.allowed(free[0], ask, now) {
			return nil
		}
		return free[0]
	}
	best := broker.cheapest(ask, free, now, func(upstream *upstream) bool { return upstream.Zone == ask.Zone })
	if best != nil && inTime(best, waiter, now) {
		return best
	}
	if !broker.mayCross(waiter, now) {
		return nil
	}
	return broker.cheapest(ask, free, now, func(*upstream) bool { return true })
}

// cheapest returns the upstream with the least cost among those that are usable for
// the request and pass the filter.
func (broker *Broker) cheapest(ask Request, list []*upstream, now time.Time, filter func(upstream *upstream) bool) *upstream {
	var best *upstream
	bestCost := 0.0
	for _, upstream := range list {
		if !filter(upstream) || !broker.allowed(upstream, ask, now) {
			continue
		}
		cost := upstream.cost() * broker.alone.preference(upstream.ID)
		if upstream.Zone != ask.Zone {
			cost += crossing
		}
		if best == nil || cost < bestCost || (cost == bestCost && upstream.ID < best.ID) {
			best, bestCost = upstream, cost
		}
	}
	return best
}

func (broker *Broker) allowed(upstream *upstream, ask Request, now time.Time) bool {
	return upstream.usable(ask.VM, now) && !slices.Contains(ask.Exclude, upstream.ID) && !broker.isCut(ask.Zone, upstream, now)
}

// cost is the expected time in seconds that a request takes at the upstream, with
// the price of failures.
func (upstream *upstream) cost() float64 {
	cost := upstream.expected() * (1 + failureCost*upstream.failures)
	// A second request beside the first slows some upstreams down.
	cost *= 1 + 0.1*float64(upstream.inUse())/float64(upstream.Slots)
	return cost
}

func (broker *Broker) assign(waiter *Waiter, upstream *upstream, now time.Time) {
	decision := Decision{Upstream: upstream.Upstream, Waited: now.Sub(waiter.arrived), QueueLength: waiter.queue}
	if waiter.ask.Retry && broker.RetryBudget != nil && !broker.RetryBudget.AllowRetry() {
		// A new request of the caller is no repeat.
		decision.Refusal, decision.RetryAfter = RetryBudgetExhausted, broker.spread(minRetryAfter)
		waiter.Decision <- decision
		return
	}
	broker.last++
	decision.Ticket = broker.last
	upstream.tickets++
	broker.tryRoute(waiter.ask.Zone, upstream, now)
	broker.tickets[decision.Ticket] = &ticket{
		upstream: upstream, vm: waiter.ask.VM, zone: waiter.ask.Zone, fingerprint: waiter.ask.Fingerprint,
		expires: waiter.arrived.Add(waiter.ask.Timeout + ticketGrace),
	}
	waiter.Decision <- decision
}
