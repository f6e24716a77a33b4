package broker

import "slices"

// noOwner is the owner of the queue of requests that any upstream can serve. It
// also holds requests whose key has no owner.
const noOwner = ""

// queue holds the requests that wait for the same upstreams: for the owner of
// their keys, or for any upstream of a service without keys. An arriving request
// or a freed slot concerns one queue only, so that the cost of a decision does
// not grow with the requests that wait for other upstreams.
type queue struct {
	owner   string
	waiting []*Waiter // in order of arrival
}

// keyed reports whether only the owner of a key can serve the request.
func (broker *Broker) keyed(request Request) bool {
	return request.Key != NoKey && broker.Owners != nil
}

// enqueue adds the request to the queue of its owner.
func (broker *Broker) enqueue(waiter *Waiter) {
	joined := broker.queues[waiter.owner.Upstream]
	if joined == nil {
		joined = &queue{owner: waiter.owner.Upstream}
		broker.queues[joined.owner] = joined
	}
	joined.waiting = append(joined.waiting, waiter)
	waiter.queue = joined
	broker.waitingCount++
}

// dequeue removes the request from its queue.
func (broker *Broker) dequeue(waiter *Waiter) {
	left := waiter.queue
	if index := slices.Index(left.waiting, waiter); index >= 0 {
		left.waiting = slices.Delete(left.waiting, index, index+1)
	}
	waiter.queue = nil
	broker.waitingCount--
}

// refreshOwners looks up the owners of the keys of all waiting requests and
// moves requests whose key has changed its owner to the new owner's queue.
func (broker *Broker) refreshOwners() {
	if broker.Owners == nil {
		return
	}
	var moved []*Waiter
	for owner, queue := range broker.queues {
		kept := queue.waiting[:0]
		for _, waiter := range queue.waiting {
			if broker.keyed(waiter.request) {
				waiter.owner = broker.Owners.Owner(waiter.request.Key)
			}
			if waiter.owner.Upstream == owner {
				kept = append(kept, waiter)
			} else {
				moved = append(moved, waiter)
			}
		}
		clear(queue.waiting[len(kept):])
		queue.waiting = kept
		if len(kept) == 0 {
			delete(broker.queues, owner)
		}
	}
	slices.SortFunc(moved, func(a, b *Waiter) int { return a.arrivedAt.Compare(b.arrivedAt) })
	for _, waiter := range moved {
		broker.waitingCount--
		broker.enqueue(waiter)
	}
}
