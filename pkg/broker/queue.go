package broker

import (
	"cmp"
	"slices"
	"time"
)

// noOwner is the owner of the queue of requests that any upstream can serve. It
// also holds requests whose key has no owner.
const noOwner = ""

// lateCheckInterval is the least time between two searches of a queue for requests that
// can no longer meet their target, so that the cost of a decision does not grow with the
// queue.
const lateCheckInterval = 20 * time.Millisecond

// queue holds the requests that wait for the same upstreams: for the owner of
// their keys, or for any upstream of a service without keys. An arriving request
// or a freed slot concerns one queue only, so that the cost of a decision does
// not grow with the requests that wait for other upstreams.
type queue struct {
	owner       string
	waiting     []*Waiter // in the order of compareWaiters
	rounds      map[int]*keyRounds
	lateChecked time.Time
}

// keyRounds divides the slots of an overloaded owner among the keys of one urgency: the
// first waiting requests of all keys get slots before the second ones.
type keyRounds struct {
	current int         // round of the last request that got a slot
	last    map[int]int // round of the newest request, by key
}

// maxIdleKeys is the number of keys beyond the waiting requests that keyRounds keep before
// they remove those that have no request in a later round.
const maxIdleKeys = 64

// keyed reports whether only the owner of a key can serve the request.
func (broker *Broker) keyed(request Request) bool {
	return request.Key != NoKey && broker.Owners != nil
}

// compareWaiters orders waiting requests. Those that can still meet their target come
// first: by urgency, attempts after the first before others, by round, returned ones before
// new ones, and by the time at which they are due. The others follow by urgency and arrival.
func compareWaiters(a, b *Waiter) int {
	switch {
	case a.late != b.late:
		if b.late {
			return -1
		}
		return 1
	case a.urgency != b.urgency:
		return cmp.Compare(a.urgency, b.urgency)
	case a.overdue != b.overdue:
		if b.overdue {
			return -1
		}
		return 1
	case a.overdue:
		return cmp.Compare(a.sequence, b.sequence)
	case a.request.Retry != b.request.Retry:
		if a.request.Retry {
			return -1 // it had its turn before an upstream refused it
		}
		return 1
	case a.round != b.round:
		return cmp.Compare(a.round, b.round)
	case a.request.Returned != b.request.Returned:
		if a.request.Returned {
			return -1
		}
		return 1
	}
	return cmp.Or(a.due().Compare(b.due()), cmp.Compare(a.sequence, b.sequence))
}

// due returns when the request misses its target.
func (waiter *Waiter) due() time.Time { return waiter.arrivedAt.Add(waiter.request.Target) }

// position returns the number of requests in the owner's queue that go before the request.
func (broker *Broker) position(waiter *Waiter) int {
	queue := broker.queues[waiter.owner.Upstream]
	if queue == nil {
		return 0
	}
	index, _ := slices.BinarySearchFunc(queue.waiting, waiter, compareWaiters)
	return index
}

// inTime returns the number of requests before those that come after all others because
// they cannot meet their target.
func (queue *queue) inTime() int {
	index, _ := slices.BinarySearchFunc(queue.waiting, true, func(waiter *Waiter, _ bool) int {
		if waiter.late {
			return 1
		}
		return -1
	})
	return index
}

// nextRound returns the round of a request that joins the owner's queue. Keys share the
// slots of overloaded owners only.
func (broker *Broker) nextRound(waiter *Waiter) int {
	queue := broker.queues[waiter.owner.Upstream]
	if queue == nil || !broker.keyed(waiter.request) || queue.rounds[waiter.urgency] == nil {
		return 0
	}
	rounds := queue.rounds[waiter.urgency]
	last, ok := rounds.last[waiter.request.Key]
	if !waiter.overloaded || !ok || last < rounds.current || len(rounds.last) == 1 {
		return rounds.current
	}
	return last + 1
}

// inFirstRound reports whether the request goes before new ones of its class, whatever
// their keys are.
func (broker *Broker) inFirstRound(waiter *Waiter) bool {
	queue := broker.queues[waiter.owner.Upstream]
	return queue == nil || queue.rounds[waiter.urgency] == nil || waiter.round <= queue.rounds[waiter.urgency].current
}

// enqueue adds the request to the queue of its owner.
func (broker *Broker) enqueue(waiter *Waiter) {
	joined := broker.queues[waiter.owner.Upstream]
	if joined == nil {
		joined = &queue{owner: waiter.owner.Upstream, rounds: map[int]*keyRounds{}}
		broker.queues[joined.owner] = joined
	}
	if waiter.overloaded && broker.keyed(waiter.request) {
		joined.recordRound(waiter)
	}
	joined.insert(waiter)
	broker.waitingCount++
}

func (queue *queue) insert(waiter *Waiter) {
	index, _ := slices.BinarySearchFunc(queue.waiting, waiter, compareWaiters)
	queue.waiting = slices.Insert(queue.waiting, index, waiter)
	waiter.queue = queue
}

func (queue *queue) recordRound(waiter *Waiter) {
	rounds := queue.rounds[waiter.urgency]
	if rounds == nil {
		rounds = &keyRounds{last: map[int]int{}}
		queue.rounds[waiter.urgency] = rounds
	}
	if len(rounds.last) > len(queue.waiting)+maxIdleKeys {
		for key, last := range rounds.last {
			if last <= rounds.current {
				delete(rounds.last, key)
			}
		}
	}
	rounds.last[waiter.request.Key] = max(rounds.last[waiter.request.Key], waiter.round)
}

// dequeue removes the request from its queue.
func (broker *Broker) dequeue(waiter *Waiter) {
	left := waiter.queue
	index, ok := slices.BinarySearchFunc(left.waiting, waiter, compareWaiters)
	if !ok || left.waiting[index] != waiter {
		index = slices.Index(left.waiting, waiter)
	}
	left.waiting = slices.Delete(left.waiting, index, index+1)
	waiter.queue = nil
	broker.waitingCount--
	if rounds := left.rounds[waiter.urgency]; rounds != nil && rounds.last[waiter.request.Key] == waiter.round && waiter.round > rounds.current {
		rounds.last[waiter.request.Key]-- // it gets no slot in its round
	}
}

// takeNext removes a request that gets a slot.
func (broker *Broker) takeNext(waiter *Waiter) {
	if rounds := waiter.queue.rounds[waiter.urgency]; rounds != nil && !waiter.late {
		rounds.current = max(rounds.current, waiter.round)
	}
	broker.dequeue(waiter)
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
	for _, waiter := range moved {
		broker.waitingCount--
		waiter.overloaded = false
		waiter.round = broker.nextRound(waiter)
		broker.enqueue(waiter)
	}
}
