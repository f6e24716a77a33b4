package queuer

import "time"

// longestWait is the estimate for a rank that receives no slot time.
const longestWait = time.Hour

const (
	// shortestRetry keeps refused callers from repeating at once.
	shortestRetry = 10 * time.Millisecond
	// longestRetry leaves most of the 10 s within which service is back to
	// normal after a flood.
	longestRetry = 3 * time.Second
)

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

// age replaces the unknown mean by the age of the first runs while none of them
// has ended.
func (estimate *estimate) age(running, elapsed float64) {
	if !estimate.known && running > 0 {
		estimate.mean += elapsed
	}
}

// admit returns a refusal when the item's expected wait passes its deadline or
// the target of its rank.
func (queue *Queue[T]) admit(item Item[T], now time.Time) *Refusal {
	rank, policy := item.Rank, queue.policies[item.Rank]
	wait := queue.expectedWait(rank, now)
	if queue.lines[rank].length+len(queue.expired) >= maxLength {
		return refuse(rank, QueueFull, wait/2)
	}
	if policy.Target > 0 && wait > policy.Target {
		return refuse(rank, WaitOverTarget, wait-policy.Target)
	}
	if item.Deadline.IsZero() {
		return nil
	}
	left := item.Deadline.Sub(now)
	if queue.lines[rank].length > 0 {
		// The first of a line is admitted without regard to its service time,
		// so that new runs correct an estimate that has become too high.
		left -= seconds(queue.service[rank].mean)
	}
	if wait > left {
		return refuse(rank, WaitOverDeadline, wait-max(left, 0))
	}
	return nil
}

func refuse(rank Rank, reason Reason, retry time.Duration) *Refusal {
	return &Refusal{Rank: rank, Reason: reason, RetryAfter: min(max(retry, shortestRetry), longestRetry)}
}

// expectedWait is the time until an item that joins the rank's line now can
// start. The rank is served either after the urgent ranks, from the slots that
// they leave, or through its minimum share, whichever is sooner.
func (queue *Queue[T]) expectedWait(rank Rank, now time.Time) time.Duration {
	ahead := queue.waiting(rank)
	wait := longestWait.Seconds()
	if due := queue.due(rank); due > 0 {
		wait = max((ahead-queue.credit(rank))/due, ahead/float64(queue.slots), 0)
	}
	if rank == Upload && queue.paced(now) {
		return seconds(wait)
	}
	if ahead <= 0 {
		return 0
	}
	for urgent := Rank(0); urgent < rank; urgent++ {
		ahead += queue.waiting(urgent)
	}
	if rate := queue.rate(rank); rate > 0 {
		wait = min(wait, ahead/rate)
	}
	return seconds(wait)
}

// waiting is the slot time in seconds that the rank's waiting items need.
func (queue *Queue[T]) waiting(rank Rank) float64 {
	return float64(queue.lines[rank].length) * queue.service[rank].mean
}

// rate is the number of slots that the other ranks leave to the rank.
func (queue *Queue[T]) rate(rank Rank) float64 {
	free := float64(queue.slots)
	for other := Rank(0); other < RankCount; other++ {
		switch {
		case other == rank:
		case other < rank:
			free -= queue.shares.demand[other]
		case queue.service[other].mean > queue.policies[rank].Target.Seconds():
			// The rank cannot wait for the end of these runs.
			free -= float64(queue.inFlight[other])
		default:
			free -= min(queue.shares.demand[other], queue.due(other))
		}
	}
	if rank == Upload {
		free = min(free, float64(queue.uploadSlots()))
	}
	return free
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
