package courier

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/cuminstream/cuminstream/internal/fronter"
)

const (
	// stopCheckInterval is how often a stop looks for waiting requests that have become
	// too late to be sent.
	stopCheckInterval = 20 * time.Millisecond
	// answerMargin is the time that the response of an upstream takes to the caller, at most.
	answerMargin = 100 * time.Millisecond
)

// errStopping is the cause of the end of a wait for a slot that is too late during a stop.
var errStopping = errors.New("the VM stops before the request could end")

// stopSchedule holds the time at which a stop of this VM closes all connections, and the
// requests that wait for their body or for a slot.
type stopSchedule struct {
	mutex   sync.Mutex
	endsAt  time.Time // zero until a stop begins
	waiting map[*exchange]func()
}

// begin starts a stop that closes all connections at the given time.
func (schedule *stopSchedule) begin(endsAt time.Time) {
	schedule.mutex.Lock()
	defer schedule.mutex.Unlock()
	schedule.endsAt = endsAt
}

// end returns the time until which responses reach their callers. ok is false if no stop
// has begun.
func (schedule *stopSchedule) end() (endsAt time.Time, ok bool) {
	schedule.mutex.Lock()
	defer schedule.mutex.Unlock()
	return schedule.endsAt.Add(-answerMargin), !schedule.endsAt.IsZero()
}

// add records that a request begins to wait. endWait may be called more than once.
func (schedule *stopSchedule) add(waiter *exchange, endWait func()) {
	schedule.mutex.Lock()
	defer schedule.mutex.Unlock()
	if schedule.waiting == nil {
		schedule.waiting = map[*exchange]func(){}
	}
	schedule.waiting[waiter] = endWait
}

// remove records that a request does not wait any more.
func (schedule *stopSchedule) remove(waiter *exchange) {
	schedule.mutex.Lock()
	defer schedule.mutex.Unlock()
	delete(schedule.waiting, waiter)
}

// waits returns the waiting requests with the functions that end their waits.
func (schedule *stopSchedule) waits() map[*exchange]func() {
	schedule.mutex.Lock()
	defer schedule.mutex.Unlock()
	return maps.Clone(schedule.waiting)
}

// Stop tells the forwarder that all connections of callers are closed at endsAt. Until ctx
// is done, it refuses the waiting requests that could not end before that. Their callers can
// still send them to another VM, which they could not know after a closed connection.
func (forwarder *Forwarder) Stop(ctx context.Context, endsAt time.Time) error {
	forwarder.stop.begin(endsAt)
	ticker := forwarder.Clock.NewTicker(stopCheckInterval)
	defer ticker.Stop()
	for {
		for exchange, endWait := range forwarder.stop.waits() {
			if exchange.endsAfterStop() {
				endWait()
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C():
		}
	}
}

// timeToStop returns the time in which a response must come because this VM stops; 0 if no
// stop bounds the request.
func (exchange *exchange) timeToStop() time.Duration {
	endsAt, stopping := exchange.stop.end()
	if !stopping || !exchange.deadline.After(endsAt) {
		return 0
	}
	return max(endsAt.Sub(exchange.Clock.Now()), time.Nanosecond)
}

// endsAfterStop reports whether the stop would cut the request if an upstream got it now.
func (exchange *exchange) endsAfterStop() bool {
	left := exchange.timeToStop()
	return left > 0 && exchange.longestRun() > left
}

// longestRun returns the time that the longest recent run of the route took. If there was
// none, it assumes half of the target of the route, which also covers waits.
func (exchange *exchange) longestRun() time.Duration {
	longest := exchange.runTimes.largest(exchange.route.Name, exchange.Clock.Now())
	if longest == 0 {
		return exchange.route.TargetLatency / 2
	}
	return time.Duration(longest)
}

// acquireSlot acquires a slot at an upstream. The wait ends when the request has become too
// late for a stop.
func (exchange *exchange) acquireSlot(ctx context.Context) (slot Slot, stopped bool) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	exchange.stop.add(exchange, func() { cancel(errStopping) })
	defer exchange.stop.remove(exchange)
	slot = exchange.Allocator.Acquire(ctx, exchange.service.Name, exchange.slotRequest())
	return slot, slot.Refusal != "" && errors.Is(context.Cause(ctx), errStopping)
}

// answerStopping returns the answer to a request that a stop leaves no time for. Another VM
// may serve it at once.
func (exchange *exchange) answerStopping() *fronter.Response {
	if exchange.mayHaveRun {
		return exchange.answerOutcomeUnknown(http.StatusBadGateway, errStopping.Error())
	}
	return exchange.answerNotRun(http.StatusServiceUnavailable, errStopping.Error(), exchange.refusedRetryAfter())
}
