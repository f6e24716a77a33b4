package broker_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/pkg/broker"
)

// Guards against requests of a VM that stops before they can end: under a backlog of three
// service times, one that the VM can wait for no longer than two is refused at once, and the
// others are not.
func TestRequestOfAStoppingVMIsRefusedAtOnce(t *testing.T) {
	clock := newFakeClock()
	testBroker := newBroker(clock, upstreams(1, 1))
	request := newRequest(0)
	request.Target, request.Timeout = 30*time.Second, 30*time.Second
	for range 60 { // the broker learns that a run takes a second
		waiter := testBroker.Submit(request)
		decision, ok := pollDecision(waiter)
		assert.Assert(t, ok && decision.Refusal == "")
		clock.Advance(time.Second)
		testBroker.Release(broker.Result{Ticket: decision.Ticket, Outcome: broker.Served, Elapsed: time.Second})
	}
	for range 3 {
		testBroker.Submit(request)
	}
	for stopsIn, refused := range map[time.Duration]bool{0: false, 2 * time.Second: true, 10 * time.Second: false} {
		request.StopsIn = stopsIn
		waiter := testBroker.Submit(request)
		decision, ok := pollDecision(waiter)
		assert.Equal(t, ok, refused, "stops in %v", stopsIn)
		if refused {
			assert.Equal(t, decision.Refusal, broker.TooLate)
			assert.Equal(t, decision.Rule, broker.RuleVMStops)
			assert.Assert(t, decision.RetryAfter <= 200*time.Millisecond, "another VM can take it: %v", decision.RetryAfter)
			continue
		}
		testBroker.Cancel(waiter)
	}
}
