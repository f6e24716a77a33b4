package broker

import (
	"slices"
	"time"
)

// busyEnd returns when an upstream that can serve the request takes requests from its VM
// again. busy is false if one takes them now, or if none would take them later either.
func (broker *Broker) busyEnd(request Request, owner Ownership, now time.Time) (end time.Time, busy bool) {
	if broker.keyed(request) {
		upstream := broker.upstreams[owner.Upstream]
		if upstream == nil {
			return end, false
		}
		end = upstream.busyUntil[request.VM]
		return end, now.Before(end)
	}
	for _, upstream := range broker.upstreams {
		if upstream.Draining || upstream.Evacuated || slices.Contains(request.Exclude, upstream.ID) || broker.isPartitioned(request.Zone, upstream, now) {
			continue
		}
		until := upstream.busyUntil[request.VM]
		if !now.Before(until) {
			return time.Time{}, false
		}
		if end.IsZero() || until.Before(end) {
			end = until
		}
	}
	return end, !end.IsZero()
}

// busyRefusal refuses a request that only busy upstreams can serve. RetryAfter does not
// end before one of them takes requests from the VM again.
func (broker *Broker) busyRefusal(waiter *Waiter, end, now time.Time) Decision {
	left := end.Sub(now)
	return Decision{
		Refusal: Unavailable, RetryAfter: left + time.Duration(broker.Random()*float64(min(left/4, maxRetryAfter))),
		Waited: now.Sub(waiter.arrivedAt), QueueLength: waiter.queueLength,
	}
}

// refuseBusy refuses the waiting requests of a VM that cannot be served in their time,
// because the upstreams that can serve them want no requests from the VM until then.
func (broker *Broker) refuseBusy(vm string, now time.Time) {
	for _, queue := range broker.queues {
		for _, waiter := range slices.Clone(queue.waiting) {
			if waiter.request.VM != vm {
				continue
			}
			end, busy := broker.busyEnd(waiter.request, waiter.owner, now)
			if !busy || end.Add(broker.expectedServiceTime(queue, now)).Before(waiter.arrivedAt.Add(waiter.request.Timeout)) {
				continue
			}
			broker.dequeue(waiter)
			waiter.Decision <- broker.busyRefusal(waiter, end, now)
		}
	}
}
