package broker

import "slices"

// unowned names the line of requests that no owner of keys must serve, and of
// those whose key has no owner.
const unowned = ""

// line is the requests that wait for the same upstreams: for the owner of their
// keys, or for any upstream of a service without keys. A request that comes, or a
// slot that becomes free, concerns one line only: the cost of a decision does not
// grow with the requests that wait for other upstreams.
type line struct {
	owner   string
	waiting []*Waiter // in the order of arrival
}

// keyed reports whether only the owner of a key can serve the request.
func (broker *Broker) keyed(ask Request) bool { return ask.Key != NoKey && broker.Owners != nil }

// join adds the request to its line.
func (broker *Broker) join(waiter *Waiter) {
	joined := broker.lines[waiter.owner.Upstream]
	if joined == nil {
		joined = &line{owner: waiter.owner.Upstream}
		broker.lines[joined.owner] = joined
	}
	joined.waiting = append(joined.waiting, waiter)
	waiter.line = joined
	broker.count++
}

// leave takes the request from its line.
func (broker *Broker) leave(waiter *Waiter) {
	left := waiter.line
	if index := slices.Index(left.waiting, waiter); index >= 0 {
		left.waiting = slices.Delete(left.waiting, index, index+1)
	}
	waiter.line = nil
	broker.count--
}

// look finds the owners of the keys of all waiting requests, and moves requests
// whose key has another owner to that one's line.
func (broker *Broker) look() {
	if broker.Owners == nil {
		return
	}
	var moved []*Waiter
	for owner, line := range broker.lines {
		kept := line.waiting[:0]
		for _, waiter := range line.waiting {
			if broker.keyed(waiter.ask) {
				waiter.owner = broker.Owners.Owner(waiter.ask.Key)
			}
			if waiter.owner.Upstream == owner {
				kept = append(kept, waiter)
			} else {
				moved = append(moved, waiter)
			}
		}
		clear(line.waiting[len(kept):])
		line.waiting = kept
		if len(kept) == 0 {
			delete(broker.lines, owner)
		}
	}
	slices.SortFunc(moved, func(a, b *Waiter) int { return a.arrived.Compare(b.arrived) })
	for _, waiter := range moved {
		broker.count--
		broker.join(waiter)
	}
}
