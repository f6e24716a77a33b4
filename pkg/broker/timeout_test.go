package broker_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/pkg/broker"
)

// Guards against taking the time after which a request was given up for a service time,
// or the time-out for a failure. A full upstream that never responds to the requests
// beyond its queue would look slow, or healthy again, by the time-outs of its callers.
func TestTimeoutIsNoMeasurement(t *testing.T) {
	testBroker := newBroker(newFakeClock(), upstreams(1, 4))
	run := func(outcome broker.Outcome, elapsed time.Duration) {
		decision, _ := pollDecision(testBroker.Submit(newRequest(0)))
		assert.Assert(t, decision.Ticket > 0, "refused after %s: %s", outcome, decision.Refusal)
		testBroker.Release(broker.Result{Ticket: decision.Ticket, Outcome: outcome, Elapsed: elapsed})
	}
	run(broker.Served, 100*time.Millisecond)
	before, _, _ := testBroker.Stats()
	for range 20 {
		run(broker.TimedOut, 3*time.Second)
	}
	after, _, _ := testBroker.Stats()
	assert.DeepEqual(t, before, after)
}

// Guards against a full upstream that counts as lost or unreachable because it resets new
// connections.
func TestResetConnectionsAreNoLoss(t *testing.T) {
	clock := newFakeClock()
	list := upstreams(1, 4)
	list[0].Zone = "b"
	testBroker := newBroker(clock, list)
	suspect := newRequest(0)
	suspect.Fingerprint = 7
	for range 20 {
		for _, outcome := range []broker.Outcome{broker.Interrupted, broker.Reset, broker.Served} {
			decision, _ := pollDecision(testBroker.Submit(suspect))
			assert.Assert(t, decision.Ticket > 0, "refused before %s: %s", outcome, decision.Refusal)
			testBroker.Release(broker.Result{Ticket: decision.Ticket, Outcome: outcome, Elapsed: 10 * time.Millisecond})
			clock.Advance(10 * time.Millisecond)
		}
	}
}
