package queuer

import "time"

// estimateWeight is the weight of a new service time in the moving average.
const estimateWeight = 0.05

// estimate is a moving average of service times in seconds.
type estimate struct {
	mean  float64
	known bool
}

func (estimate *estimate) add(seconds float64) {
	if seconds < 0 {
		return
	}
	if !estimate.known {
		estimate.mean, estimate.known = seconds, true
		return
	}
	estimate.mean += estimateWeight * (seconds - estimate.mean)
}

// admit returns a refusal when the item's expected wait passes its deadline or
// the target of its rank.
func (queue *Queue[T]) admit(item Item[T], now time.Time) *Refusal {
	rank := item.Rank
	wait := queue.expectedWait(rank)
	if queue.lines[rank].length+len(queue.expired) >= maxLength {
		return &Refusal{Rank: rank, Reason: QueueFull, RetryAfter: wait / 2}
	}
	if queue.lines[rank].length == 0 {
		// An item at the head of its line is always admitted, so that an
		// estimate which has become too high is corrected by new runs.
		return nil
	}
	if target := queue.policies[rank].Target; target > 0 && wait > target {
		return &Refusal{Rank: rank, Reason: WaitOverTarget, RetryAfter: wait - target}
	}
	if !item.Deadline.IsZero() {
		left := item.Deadline.Sub(now) - seconds(queue.service[rank].mean)
		if wait > left {
			return &Refusal{Rank: rank, Reason: WaitOverDeadline, RetryAfter: wait - max(left, 0)}
		}
	}
	return nil
}

// expectedWait is the time until an item that joins the rank's line now can
// start: the slot time that waits ahead of it, over the rate at which the rank
// receives slot time.
func (queue *Queue[T]) expectedWait(rank Rank) time.Duration {
	ahead := float64(queue.lines[rank].length) * queue.service[rank].mean
	if ahead <= 0 {
		return 0
	}
	for urgent := Rank(0); urgent < rank; urgent++ {
		ahead += float64(queue.lines[urgent].length) * queue.service[urgent].mean
	}
	rate := queue.rate(rank)
	if rate <= 0 {
		return time.Hour
	}
	return seconds(ahead / rate)
}

// rate is the number of slots that the rank can expect to use: those that the
// other ranks do not take, and at least its minimum share.
func (queue *Queue[T]) rate(rank Rank) float64 {
	slots := float64(queue.slots)
	free := slots
	for other := Rank(0); other < RankCount; other++ {
		if other == rank {
			continue
		}
		taken := queue.usage.share(other)
		if other > rank {
			taken = min(taken, max(float64(queue.inFlight[other]), queue.policies[other].MinimumShare*slots))
		}
		free -= taken
	}
	if rank == Upload && queue.slots >= 2 {
		free = min(free, slots-1)
	}
	return max(free, queue.policies[rank].MinimumShare*slots)
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
