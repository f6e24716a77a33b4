package broker

import (
	"context"
	"time"
)

// minServiceTimeShare is the share of the mean service time that must be left
// until the deadline when a request gets its slot. With less, the request would
// most likely time out and waste the slot.
const minServiceTimeShare = 0.6

// Acquire submits the request and waits for the decision. It refuses the request
// when too little time is left to serve it, or when ctx ends.
func (broker *Broker) Acquire(ctx context.Context, request Request) Decision {
	waiter := broker.Submit(request)
	select {
	case decision := <-waiter.Decision:
		return decision
	default:
	}
	timer := broker.Clock.NewTimer(broker.maxQueueTime(request))
	defer timer.Stop()
	select {
	case decision := <-waiter.Decision:
		return decision
	case <-timer.C():
	case <-ctx.Done():
	}
	broker.Cancel(waiter)
	broker.mutex.Lock()
	defer broker.mutex.Unlock()
	now := broker.Clock.Now()
	return Decision{Refusal: TooLate, Waited: now.Sub(waiter.arrivedAt), QueueLength: waiter.queueLength, RetryAfter: broker.retryAfter(waiter, forecast{}, now)}
}

// maxQueueTime returns how long the request may wait for a slot.
func (broker *Broker) maxQueueTime(request Request) time.Duration {
	broker.mutex.Lock()
	defer broker.mutex.Unlock()
	return max(request.Timeout-durationOfSeconds(minServiceTimeShare*broker.meanServiceTime()), 0)
}

// QueueLength returns the number of waiting requests.
func (broker *Broker) QueueLength() int {
	broker.mutex.Lock()
	defer broker.mutex.Unlock()
	return broker.waitingCount
}
