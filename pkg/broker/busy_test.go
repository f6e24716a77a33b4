package broker_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/pkg/broker"
)

// reportBusy lets the upstream of a request's slot say that it wants nothing from the VM.
func reportBusy(t *testing.T, testBroker *broker.Broker, request broker.Request, d time.Duration) string {
	decision, ok := pollDecision(testBroker.Submit(request))
	assert.Assert(t, ok && decision.Ticket > 0)
	testBroker.Release(broker.Result{Ticket: decision.Ticket, Outcome: broker.Shed, Notice: broker.Notice{BusyFor: d}})
	return decision.Upstream.ID
}

// A request for a key whose owner is busy for longer than the caller waits must be refused
// at once, with the time at which the owner takes requests again. Other VMs are served.
func TestBusyOwnerRefusesItsVMOnly(t *testing.T) {
	clock := newFakeClock()
	testBroker := &broker.Broker{Service: "s", Clock: clock, Owners: fixedOwners{1: {Upstream: "u0", Held: true}}}
	testBroker.SetUpstreams(upstreams(2, 2))
	keyed := newRequest(0)
	keyed.Key = 1
	reportBusy(t, testBroker, keyed, 30*time.Second)
	clock.Advance(time.Second) // the pause after a refusal is over
	decision, ok := pollDecision(testBroker.Submit(keyed))
	assert.Assert(t, ok && decision.Refusal == broker.Unavailable, "%+v", decision)
	assert.Assert(t, decision.RetryAfter >= 29*time.Second && decision.RetryAfter <= 32*time.Second, "%v", decision.RetryAfter)
	other := keyed
	other.VM = "other"
	decision, ok = pollDecision(testBroker.Submit(other))
	assert.Assert(t, ok && decision.Ticket > 0)
	clock.Advance(29 * time.Second)
	decision, ok = pollDecision(testBroker.Submit(keyed))
	assert.Assert(t, ok && decision.Ticket > 0, "its time is over")
}

// A request whose caller waits longer than the owner is busy must wait for it.
func TestRequestWaitsForBusyOwner(t *testing.T) {
	clock := newFakeClock()
	testBroker := &broker.Broker{Service: "s", Clock: clock, Owners: fixedOwners{1: {Upstream: "u0", Held: true}}}
	testBroker.SetUpstreams(upstreams(1, 2))
	keyed := newRequest(0)
	keyed.Key, keyed.Target, keyed.Timeout = 1, time.Second, 2*time.Second
	reportBusy(t, testBroker, keyed, 300*time.Millisecond)
	waiter := testBroker.Submit(keyed)
	_, ok := pollDecision(waiter)
	assert.Assert(t, !ok)
	clock.Advance(350 * time.Millisecond)
	testBroker.Redispatch()
	decision, ok := pollDecision(waiter)
	assert.Assert(t, ok && decision.Ticket > 0)
}

// Waiting requests that cannot be served in their time must be refused when their owner
// says that it is busy.
func TestBusyOwnerRefusesWaitingRequests(t *testing.T) {
	clock := newFakeClock()
	testBroker := &broker.Broker{Service: "s", Clock: clock, Owners: fixedOwners{1: {Upstream: "u0", Held: true}}}
	testBroker.SetUpstreams(upstreams(1, 1))
	keyed := newRequest(0)
	keyed.Key = 1
	running, _ := pollDecision(testBroker.Submit(keyed))
	waiter := testBroker.Submit(keyed)
	_, ok := pollDecision(waiter)
	assert.Assert(t, !ok)
	testBroker.Release(broker.Result{Ticket: running.Ticket, Outcome: broker.Shed, Notice: broker.Notice{BusyFor: 5 * time.Second}})
	decision, ok := pollDecision(waiter)
	assert.Assert(t, ok && decision.Refusal == broker.Unavailable)
}

// Requests without a key go to other upstreams. If all are busy, they are refused with the
// earliest time at which one takes them: a faulty upstream that is always busy does not
// keep requests from the others.
func TestBusyUpstreamsWithoutKeys(t *testing.T) {
	clock := newFakeClock()
	testBroker := newBroker(clock, upstreams(2, 2))
	first := reportBusy(t, testBroker, newRequest(0), 300*time.Second)
	for range 20 {
		decision, ok := pollDecision(testBroker.Submit(newRequest(0)))
		assert.Assert(t, ok && decision.Upstream.ID != first)
		testBroker.Release(broker.Result{Ticket: decision.Ticket, Outcome: broker.Served, Elapsed: 50 * time.Millisecond})
	}
	assert.Assert(t, reportBusy(t, testBroker, newRequest(0), 10*time.Second) != first)
	decision, ok := pollDecision(testBroker.Submit(newRequest(0)))
	assert.Assert(t, ok && decision.Refusal == broker.Unavailable)
	assert.Assert(t, decision.RetryAfter >= 10*time.Second && decision.RetryAfter <= 13*time.Second, "%v", decision.RetryAfter)
}
