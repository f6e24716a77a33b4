package broker

import (
	"context"
	"time"
)

// giveUpShare is the part of the expected work for which time must be left when
// a request gets its slot; with less, the slot would only be wasted.
const giveUpShare = 0.6

// Acquire asks and waits for the decision. It refuses the request when too little
// time is left for it to be served, or when ctx ends.
func (broker *Broker) Acquire(ctx context.Context, ask Request) Decision {
	waiter := broker.Submit(ask)
	select {
	case decision := <-waiter.Decision:
		return decision
	default:
	}
	timer := broker.Clock.NewTimer(broker.patience(ask))
	defer timer.Stop()
	select {
	case decision := <-waiter.Decision:
		return decision
	case <-timer.C():
	case <-ctx.Done():
	}
	broker.Cancel(waiter)
	return Decision{Refusal: TooLate, Waited: broker.Clock.Now().Sub(waiter.arrived), QueueLength: waiter.queue, RetryAfter: minRetryAfter}
}

// patience returns how long the request may wait for its slot.
func (broker *Broker) patience(ask Request) time.Duration {
	broker.mutex.Lock()
	defer broker.mutex.Unlock()
	return max(ask.Timeout-duration(giveUpShare*broker.meanWork()), 0)
}

// QueueLength returns the number of requests that wait.
func (broker *Broker) QueueLength() int {
	broker.mutex.Lock()
	defer broker.mutex.Unlock()
	return broker.count
}
