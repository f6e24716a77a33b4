package queuer

import "time"

// maxExpectedWait is the expected wait of a rank that receives no slot time.
const maxExpectedWait = time.Hour

const (
	// minRetryAfter prevents refused callers from retrying immediately.
	minRetryAfter = 10 * time.Millisecond
	// maxRetryAfter is well below the 10 s within which service must be back to normal
	// after an overload, so that refused callers return in that time.
	maxRetryAfter = 3 * time.Second
)

// ewmaWeight is the weight of a new service time in the exponentially weighted moving
// average.
const ewmaWeight = 0.05

// movingAverage is an exponentially weighted moving average of service times in seconds.
// Until known is true, no run has completed and mean is a lower bound.
type movingAverage struct {
	mean  float64
	known bool
}

func (average *movingAverage) add(seconds float64) {
	if seconds < 0 {
		return
	}
	if !average.known {
		average.mean, average.known = seconds, true
		return
	}
	average.mean += ewmaWeight * (seconds - average.mean)
}

// addRunningTime adds elapsed seconds to the mean while items are running and none has
// completed yet: the service time is at least the time for which the first ones have run.
func (average *movingAverage) addRunningTime(running, elapsed float64) {
	if !average.known && running > 0 {
		average.mean += elapsed
	}
}

// admit returns a refusal if the queue of the item's rank is full or the item's expected
// wait exceeds the rank's target or the item's deadline. It returns nil otherwise.
func (queue *Queue[T]) admit(item Item[T], now time.Time) *Refusal {
	rank, policy := item.Rank, queue.policies[item.Rank]
	wait := queue.expectedWait(rank, now)
	if queue.fifos[rank].length+len(queue.expired) >= maxLength {
		return newRefusal(rank, QueueFull, wait/2)
	}
	if policy.Target > 0 && wait > policy.Target {
		return newRefusal(rank, WaitOverTarget, wait-policy.Target)
	}
	if item.Deadline.IsZero() {
		return nil
	}
	remaining := item.Deadline.Sub(now)
	if queue.fifos[rank].length > 0 {
		// The service time is ignored for an item whose rank has no waiting items, so that
		// its run can correct an estimate that has become too high.
		remaining -= toDuration(queue.serviceTimes[rank].mean)
	}
	if wait > remaining {
		return newRefusal(rank, WaitOverDeadline, wait-max(remaining, 0))
	}
	return nil
}

func newRefusal(rank Rank, reason Reason, retry time.Duration) *Refusal {
	return &Refusal{Rank: rank, Reason: reason, RetryAfter: min(max(retry, minRetryAfter), maxRetryAfter)}
}

// expectedWait estimates when an item of the rank could start if it were queued now. The
// rank is served after the more urgent ranks, in the slots that the other ranks leave
// free, or through its minimum share, whichever is sooner. Uploads that are limited to
// their minimum share are served through it only.
func (queue *Queue[T]) expectedWait(rank Rank, now time.Time) time.Duration {
	workAhead := queue.backlog(rank)
	wait := maxExpectedWait.Seconds()
	if minimum := queue.minimumSlots(rank); minimum > 0 {
		wait = max((workAhead-queue.netCredit(rank))/minimum, workAhead/float64(queue.slots), 0)
	}
	if rank == Upload && queue.uploadsCapped(now) {
		return toDuration(wait)
	}
	if workAhead <= 0 {
		return 0
	}
	for urgent := Rank(0); urgent < rank; urgent++ {
		workAhead += queue.backlog(urgent)
	}
	if available := queue.availableSlots(rank); available > 0 {
		wait = min(wait, workAhead/available)
	}
	return toDuration(wait)
}

// backlog returns the slot time in seconds that the waiting items of the rank need.
func (queue *Queue[T]) backlog(rank Rank) float64 {
	return float64(queue.fifos[rank].length) * queue.serviceTimes[rank].mean
}

// availableSlots estimates the number of slots that the other ranks leave to the rank.
func (queue *Queue[T]) availableSlots(rank Rank) float64 {
	available := float64(queue.slots)
	for other := Rank(0); other < RankCount; other++ {
		switch {
		case other == rank:
		case other < rank:
			available -= queue.accounting.averageSlots[other]
		case queue.serviceTimes[other].mean > queue.policies[rank].Target.Seconds():
			// These runs take longer than the rank's target, so the rank cannot wait for
			// their slots.
			available -= float64(queue.inFlight[other])
		default:
			available -= min(queue.accounting.averageSlots[other], queue.minimumSlots(other))
		}
	}
	if rank == Upload {
		available = min(available, float64(queue.maxUploads()))
	}
	return available
}

func toDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
