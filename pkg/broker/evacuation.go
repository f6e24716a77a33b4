package broker

import "time"

const (
	// evacuationMoveWait is how long requests for keys of an upstream whose zone is
	// evacuated wait for another owner. Keys move within about half a second; if they do
	// not, because the upstream cannot be reached, they move seconds later.
	evacuationMoveWait = 1200 * time.Millisecond
	// evacuationRetryAfter is the retry hint to callers when all upstreams that could
	// serve them are in evacuated zones.
	evacuationRetryAfter = time.Second
	// expectedMoveTime is the time after which keys of an evacuated zone have another owner.
	expectedMoveTime = 400 * time.Millisecond
)

// anyRemaining reports whether the service has an upstream that takes requests and is not
// in an evacuated zone.
func (broker *Broker) anyRemaining() bool {
	for _, upstream := range broker.upstreams {
		if !upstream.Evacuated && !upstream.Draining {
			return true
		}
	}
	return false
}

// estimateEvacuated is estimateKeyed for a key whose owner is in an evacuated zone. Its
// requests wait until the key has another owner.
func (broker *Broker) estimateEvacuated(owner *upstreamState, now time.Time) (expected forecast, ok bool) {
	left := owner.evacuatedAt.Add(evacuationMoveWait).Sub(now)
	expected = forecast{delay: min(left, expectedMoveTime).Seconds(), serviceTime: broker.meanServiceTime(), spread: broker.spread}
	return expected, left > 0 && broker.anyRemaining()
}

// refuseEvacuated refuses the waiting requests that only upstreams in evacuated zones can
// serve, once their keys should have moved.
func (broker *Broker) refuseEvacuated(queue *queue, now time.Time) {
	if len(queue.waiting) == 0 {
		return
	}
	if owner := broker.upstreams[queue.owner]; owner != nil {
		if _, ok := broker.estimateEvacuated(owner, now); !owner.Evacuated || ok {
			return
		}
	} else if broker.evacuated == 0 || broker.anyRemaining() {
		return
	}
	for _, waiter := range queue.waiting {
		waiter.queue = nil
		broker.waitingCount--
		waiter.Decision <- Decision{Refusal: Evacuated, RetryAfter: broker.jitter(evacuationRetryAfter), Waited: now.Sub(waiter.arrivedAt), QueueLength: waiter.queueLength}
	}
	clear(queue.waiting)
	queue.waiting = queue.waiting[:0]
}
