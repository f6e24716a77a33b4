package queuer

import (
	"fmt"
	"time"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// maxLength bounds the memory of a rank that has neither target nor deadlines.
const maxLength = 16384

// Policy is what an operator sets for a rank.
type Policy struct {
	// Target is the longest useful wait. 0 means no target.
	Target time.Duration
	// MinimumShare is the fraction of slot time, from 0 to 1, that the rank
	// receives while it has waiting work.
	MinimumShare float64
}

// Item is one request.
type Item[T any] struct {
	Value T
	Rank  Rank
	// Deadline is when the caller stops waiting. The zero time means never.
	Deadline time.Time
}

// Reason says why admission refused an item.
type Reason string

// The reasons of a refusal.
const (
	// DeadlinePassed means that the deadline had passed before the offer.
	DeadlinePassed Reason = "deadlinePassed"
	// WaitOverDeadline means that the item would not end before its deadline.
	WaitOverDeadline Reason = "waitOverDeadline"
	// WaitOverTarget means that the item would wait longer than its rank's
	// target.
	WaitOverTarget Reason = "waitOverTarget"
	// QueueFull means that the rank's line has reached its largest length.
	QueueFull Reason = "queueFull"
)

// Refusal is the error of an item that was not admitted.
type Refusal struct {
	Rank   Rank
	Reason Reason
	// RetryAfter is the estimated time until an item of the rank may be
	// admitted again.
	RetryAfter time.Duration
}

func (refusal *Refusal) Error() string {
	return fmt.Sprintf("%s refused: %s; retry after %v", refusal.Rank, refusal.Reason, refusal.RetryAfter)
}

// Queue holds the waiting items of one upstream and counts its slots. It is not
// safe for concurrent use.
type Queue[T any] struct {
	clock     clocker.Clock
	policies  [RankCount]Policy
	slots     int
	lines     [RankCount]line[T]
	deadlines deadlines[T]
	expired   []T
	inFlight  [RankCount]int
	service   [RankCount]estimate
	shares    shares
	rules     rules
	crowded   time.Time // when an upload was last refused
}

// New returns an empty queue for an upstream with the given number of slots.
func New[T any](clock clocker.Clock, policies [RankCount]Policy, slots int) *Queue[T] {
	return &Queue[T]{
		clock: clock, policies: policies, slots: max(slots, 0),
		shares: shares{last: clock.Now()}, rules: defaultRules,
	}
}

// Offer queues the item, or returns a *Refusal.
func (queue *Queue[T]) Offer(item Item[T]) error {
	if item.Rank < 0 || item.Rank >= RankCount {
		return fmt.Errorf("rank %d does not exist", int(item.Rank))
	}
	now := queue.tick()
	queue.expire(now)
	if !item.Deadline.IsZero() && !item.Deadline.After(now) {
		return &Refusal{Rank: item.Rank, Reason: DeadlinePassed}
	}
	if refusal := queue.admit(item, now); refusal != nil {
		if item.Rank == Upload {
			queue.crowded = now
		}
		return refusal
	}
	queue.push(item, now)
	return nil
}

// Next removes the item that runs next and counts its slot as taken. It returns
// false when no slot may be used now. Items whose deadline has passed are never
// returned; Expired lists them.
func (queue *Queue[T]) Next() (Item[T], bool) {
	now := queue.tick()
	queue.expire(now)
	rank, ok := queue.choose(now)
	if !ok {
		return Item[T]{}, false
	}
	first := queue.lines[rank].first
	queue.take(first)
	return first.item, true
}

// Done frees the slot of an item that Next returned and whose run took service.
func (queue *Queue[T]) Done(rank Rank, service time.Duration) {
	queue.tick()
	if rank < 0 || rank >= RankCount || queue.inFlight[rank] == 0 {
		return
	}
	queue.inFlight[rank]--
	queue.service[rank].add(service.Seconds())
}

// Remove drops and returns the waiting values for which the function returns
// true. It visits all waiting values.
func (queue *Queue[T]) Remove(matches func(T) bool) []T {
	var removed []T
	for rank := range queue.lines {
		for waiting := queue.lines[rank].first; waiting != nil; {
			next := waiting.next
			if matches(waiting.item.Value) {
				queue.drop(waiting)
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

// Expired removes and returns the values whose deadline passed while they
// waited.
func (queue *Queue[T]) Expired() []T {
	queue.expire(queue.tick())
	expired := queue.expired
	queue.expired = nil
	return expired
}

// Lengths returns the number of waiting items by rank.
func (queue *Queue[T]) Lengths() [RankCount]int {
	var lengths [RankCount]int
	for rank := range queue.lines {
		lengths[rank] = queue.lines[rank].length
	}
	return lengths
}

// SetSlots changes the number of slots. Items in flight keep theirs.
func (queue *Queue[T]) SetSlots(slots int) {
	queue.tick()
	queue.slots = max(slots, 0)
}

func (queue *Queue[T]) expire(now time.Time) {
	for len(queue.deadlines) > 0 && !queue.deadlines[0].item.Deadline.After(now) {
		late := queue.deadlines[0]
		queue.drop(late)
		queue.expired = append(queue.expired, late.item.Value)
	}
}

func (queue *Queue[T]) push(item Item[T], now time.Time) {
	added := &node[T]{item: item, arrived: now, index: notInHeap}
	queue.lines[item.Rank].push(added)
	queue.deadlines.add(added)
}

func (queue *Queue[T]) take(taken *node[T]) {
	queue.drop(taken)
	queue.inFlight[taken.item.Rank]++
}

func (queue *Queue[T]) drop(dropped *node[T]) {
	queue.lines[dropped.item.Rank].remove(dropped)
	queue.deadlines.remove(dropped)
}
