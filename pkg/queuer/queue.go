package queuer

import (
	"fmt"
	"time"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// maxLength is the maximum number of waiting items of a rank. It bounds the memory of a
// rank whose items are limited by neither a target nor deadlines.
const maxLength = 16384

// Policy holds the settings of a rank, which an operator configures.
type Policy struct {
	// Target is the longest acceptable wait. 0 means that there is none.
	Target time.Duration
	// MinimumShare is the fraction of all slot time, from 0 to 1, that the rank receives
	// at least while it has waiting items.
	MinimumShare float64
}

// Item is a request that waits in a queue.
type Item[T any] struct {
	Value T
	Rank  Rank
	// Deadline is the time at which the caller stops waiting. The zero time means never.
	Deadline time.Time
}

// Reason is the reason for which admission refused an item.
type Reason string

// The reasons for a refusal.
const (
	// DeadlinePassed means that the item was offered after its deadline.
	DeadlinePassed Reason = "deadlinePassed"
	// WaitOverDeadline means that the item was not expected to complete before its
	// deadline.
	WaitOverDeadline Reason = "waitOverDeadline"
	// WaitOverTarget means that the item was expected to wait longer than the target of
	// its rank.
	WaitOverTarget Reason = "waitOverTarget"
	// QueueFull means that the queue of the rank has reached its maximum length.
	QueueFull Reason = "queueFull"
)

// Refusal is the error that Offer returns for an item that it does not admit.
type Refusal struct {
	Rank   Rank
	Reason Reason
	// RetryAfter is the estimated time until an item of the rank may be admitted. It is 0
	// for an item whose deadline has passed.
	RetryAfter time.Duration
}

func (refusal *Refusal) Error() string {
	return fmt.Sprintf("%s refused: %s; retry after %v", refusal.Rank, refusal.Reason, refusal.RetryAfter)
}

// Queue holds the requests that wait for one upstream and counts the upstream's slots in
// use. It is not safe for concurrent use.
type Queue[T any] struct {
	clock           clocker.Clock
	policies        [RankCount]Policy
	slots           int
	fifos           [RankCount]fifo[T]
	deadlines       deadlineHeap[T]
	expired         []T
	inFlight        [RankCount]int
	serviceTimes    [RankCount]movingAverage
	accounting      slotAccounting
	parameters      parameters
	uploadRefusedAt time.Time // when an upload was last refused
}

// New returns an empty queue for an upstream with the given number of slots.
func New[T any](clock clocker.Clock, policies [RankCount]Policy, slots int) *Queue[T] {
	return &Queue[T]{
		clock: clock, policies: policies, slots: max(slots, 0),
		accounting: slotAccounting{updatedAt: clock.Now()}, parameters: defaultParameters,
	}
}

// Offer adds the item to the queue, or returns a *Refusal if it is not admitted. Any other
// error means that the rank does not exist.
func (queue *Queue[T]) Offer(item Item[T]) error {
	if item.Rank < 0 || item.Rank >= RankCount {
		return fmt.Errorf("rank %d does not exist", int(item.Rank))
	}
	now := queue.updateAccounting()
	queue.collectExpired(now)
	if !item.Deadline.IsZero() && !item.Deadline.After(now) {
		return &Refusal{Rank: item.Rank, Reason: DeadlinePassed}
	}
	if refusal := queue.admit(item, now); refusal != nil {
		if item.Rank == Upload {
			queue.uploadRefusedAt = now
		}
		return refusal
	}
	queue.enqueue(item, now)
	return nil
}

// Next removes and returns the item that runs next and counts its slot as in use. It
// returns false if no item may start now. It never returns an item whose deadline has
// passed; Expired returns those.
func (queue *Queue[T]) Next() (Item[T], bool) {
	now := queue.updateAccounting()
	queue.collectExpired(now)
	rank, ok := queue.selectRank(now)
	if !ok {
		return Item[T]{}, false
	}
	first := queue.fifos[rank].first
	queue.dispatch(first)
	return first.item, true
}

// Done frees the slot of an item of the given rank that Next returned and that ran for the
// given service time.
func (queue *Queue[T]) Done(rank Rank, service time.Duration) {
	queue.updateAccounting()
	if rank < 0 || rank >= RankCount || queue.inFlight[rank] == 0 {
		return
	}
	queue.inFlight[rank]--
	queue.serviceTimes[rank].add(service.Seconds())
}

// Remove removes and returns the values for which matches returns true, including expired
// ones that Expired has not returned yet. It calls matches for every value.
func (queue *Queue[T]) Remove(matches func(T) bool) []T {
	var removed []T
	for rank := range queue.fifos {
		for waiting := queue.fifos[rank].first; waiting != nil; {
			next := waiting.next
			if matches(waiting.item.Value) {
				queue.unlink(waiting)
				removed = append(removed, waiting.item.Value)
			}
			waiting = next
		}
	}
	kept := queue.expired[:0]
	for _, value := range queue.expired {
		if matches(value) {
			removed = append(removed, value)
		} else {
			kept = append(kept, value)
		}
	}
	clear(queue.expired[len(kept):])
	queue.expired = kept
	return removed
}

// Expired removes and returns the values whose deadline passed while they waited.
func (queue *Queue[T]) Expired() []T {
	queue.collectExpired(queue.updateAccounting())
	expired := queue.expired
	queue.expired = nil
	return expired
}

// Lengths returns the number of waiting items by rank.
func (queue *Queue[T]) Lengths() [RankCount]int {
	var lengths [RankCount]int
	for rank := range queue.fifos {
		lengths[rank] = queue.fifos[rank].length
	}
	return lengths
}

// SetSlots changes the number of slots. Items in flight keep their slots, also those above
// the new number.
func (queue *Queue[T]) SetSlots(slots int) {
	queue.updateAccounting()
	queue.slots = max(slots, 0)
}

// collectExpired moves the items whose deadline has passed to queue.expired.
func (queue *Queue[T]) collectExpired(now time.Time) {
	for len(queue.deadlines) > 0 && !queue.deadlines[0].item.Deadline.After(now) {
		overdue := queue.deadlines[0]
		queue.unlink(overdue)
		queue.expired = append(queue.expired, overdue.item.Value)
	}
}

func (queue *Queue[T]) enqueue(item Item[T], now time.Time) {
	added := &node[T]{item: item, arrived: now, heapIndex: notInHeap}
	queue.fifos[item.Rank].push(added)
	queue.deadlines.add(added)
}

// dispatch removes a waiting item and counts its slot as in use.
func (queue *Queue[T]) dispatch(dispatched *node[T]) {
	queue.unlink(dispatched)
	queue.inFlight[dispatched.item.Rank]++
}

// unlink removes a waiting item from the queue of its rank and from the deadline heap.
func (queue *Queue[T]) unlink(removed *node[T]) {
	queue.fifos[removed.item.Rank].remove(removed)
	queue.deadlines.remove(removed)
}
