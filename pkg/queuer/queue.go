package queuer

import (
	"fmt"
	"math"
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
	DeadlinePassed   Reason = "deadlinePassed"
	WaitOverDeadline Reason = "waitOverDeadline"
	WaitOverTarget   Reason = "waitOverTarget"
	QueueFull        Reason = "queueFull"
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
	clock    clocker.Clock
	policies [RankCount]Policy
	slots    int
	lines    [RankCount]line[T]
	due      deadlines[T]
	expired  []T
	inFlight [RankCount]int
	usage    usage
	service  [RankCount]estimate
}

// New returns an empty queue for an upstream with the given number of slots.
func New[T any](clock clocker.Clock, policies [RankCount]Policy, slots int) *Queue[T] {
	queue := &Queue[T]{clock: clock, policies: policies, slots: max(slots, 0)}
	queue.usage.last = clock.Now()
	return queue
}

// Offer queues the item, or returns a *Refusal.
func (queue *Queue[T]) Offer(item Item[T]) error {
	if item.Rank < 0 || item.Rank >= RankCount {
		return fmt.Errorf("rank %d does not exist", int(item.Rank))
	}
	now := queue.tick()
	if !item.Deadline.IsZero() && !item.Deadline.After(now) {
		return &Refusal{Rank: item.Rank, Reason: DeadlinePassed}
	}
	if refusal := queue.admit(item, now); refusal != nil {
		return refusal
	}
	added := &node[T]{item: item, index: notInHeap}
	queue.lines[item.Rank].push(added)
	queue.due.add(added)
	return nil
}

// Next removes the item that runs next and counts its slot as taken. It returns
// false when no slot may be used now. Items whose deadline has passed are never
// returned; Expired lists them.
func (queue *Queue[T]) Next() (Item[T], bool) {
	queue.expire(queue.tick())
	rank, ok := queue.choose()
	if !ok {
		return Item[T]{}, false
	}
	first := queue.lines[rank].first
	queue.drop(first)
	queue.inFlight[rank]++
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

// tick brings the slot time up to date and returns the current time.
func (queue *Queue[T]) tick() time.Time {
	now := queue.clock.Now()
	queue.usage.advance(now, queue.inFlight)
	return now
}

func (queue *Queue[T]) expire(now time.Time) {
	for len(queue.due) > 0 && !queue.due[0].item.Deadline.After(now) {
		late := queue.due[0]
		queue.drop(late)
		queue.expired = append(queue.expired, late.item.Value)
	}
}

func (queue *Queue[T]) drop(dropped *node[T]) {
	queue.lines[dropped.item.Rank].remove(dropped)
	queue.due.remove(dropped)
}

// choose returns the rank whose first item runs next. A rank below its minimum
// share goes first, the one that lacks the largest part of it before others;
// then the most urgent rank.
func (queue *Queue[T]) choose() (Rank, bool) {
	best, lack, found := Rank(0), 0.0, false
	for rank := Rank(0); rank < RankCount; rank++ {
		if queue.lines[rank].length == 0 || !queue.mayStart(rank) {
			continue
		}
		missing := queue.missing(rank)
		if !found || missing > lack {
			best, lack, found = rank, missing, true
		}
	}
	return best, found
}

// missing returns the part of the rank's minimum share that it lacks, from 0
// to 1.
func (queue *Queue[T]) missing(rank Rank) float64 {
	share := queue.policies[rank].MinimumShare
	if share <= 0 || queue.slots == 0 {
		return 0
	}
	return max(0, 1-queue.usage.share(rank)/float64(queue.slots)/share)
}

// mayStart reports whether a slot is free for the rank. Where there are two or
// more slots, one is withheld from uploads: an upload that has begun is not
// stopped, so that uploads in all slots would delay lookups by seconds.
func (queue *Queue[T]) mayStart(rank Rank) bool {
	taken := 0
	for _, count := range queue.inFlight {
		taken += count
	}
	if taken >= queue.slots {
		return false
	}
	return rank != Upload || queue.slots < 2 || queue.inFlight[Upload] < queue.slots-1
}

// usageWindow is the time constant of the decayed slot time that minimum shares
// are compared with.
const usageWindow = 10 * time.Second

// usage is the decayed number of slots that each rank has taken.
type usage struct {
	last  time.Time
	taken [RankCount]float64
}

func (usage *usage) advance(now time.Time, inFlight [RankCount]int) {
	elapsed := now.Sub(usage.last)
	if elapsed <= 0 {
		return
	}
	usage.last = now
	keep := math.Exp(-elapsed.Seconds() / usageWindow.Seconds())
	for rank := range usage.taken {
		usage.taken[rank] = usage.taken[rank]*keep + float64(inFlight[rank])*(1-keep)
	}
}

func (usage *usage) share(rank Rank) float64 { return usage.taken[rank] }
