package broker_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/pkg/broker"
)

// countingOwners spreads keys over upstreams and counts the lookups.
type countingOwners struct {
	upstreams int
	lookups   int
	overrides map[int]string // of keys that are not spread
}

func (owners *countingOwners) Owner(key int) broker.Ownership {
	owners.lookups++
	if owner, ok := owners.overrides[key]; ok {
		return broker.Ownership{Upstream: owner, Held: true}
	}
	return broker.Ownership{Upstream: fmt.Sprint("u", key%owners.upstreams), Held: true}
}

// keyedRequest returns a request for the key that can wait for an hour.
func keyedRequest(key int) broker.Request {
	request := newRequest(1)
	request.Key, request.Target, request.Timeout = key, time.Hour, time.Hour
	return request
}

// Guards against decisions whose cost grows with the requests that wait for other
// upstreams. On lochside-gw-grown, a burst of 1.7 times 1,305 requests per second left
// hundreds of requests in the broker's queue, and each decision looked up the owners
// of all their keys. The broker's VM fell behind, smaller VMs took over as broker, and
// for ten seconds half of the requests were late.
func TestDecisionsIgnoreOtherQueues(t *testing.T) {
	const count = 100
	owners := &countingOwners{upstreams: count}
	testBroker := &broker.Broker{Service: "s", Clock: newFakeClock(), Owners: owners}
	testBroker.SetUpstreams(upstreams(count, 2))
	for key := range 600 {
		testBroker.Submit(keyedRequest(key % (count - 1)))
	}
	owners.lookups = 0
	decision, ok := pollDecision(testBroker.Submit(keyedRequest(count - 1)))
	assert.Assert(t, ok && decision.Ticket > 0, "the upstream with free slots gets the request")
	testBroker.Release(broker.Result{Ticket: decision.Ticket, Outcome: broker.Served, Elapsed: time.Millisecond})
	assert.Assert(t, owners.lookups <= 3, "%d lookups for one request while others wait", owners.lookups)
}

// A waiting request follows its key to another upstream.
func TestWaitingRequestFollowsItsKey(t *testing.T) {
	owners := &countingOwners{upstreams: 2}
	testBroker := &broker.Broker{Service: "s", Clock: newFakeClock(), Owners: owners}
	testBroker.SetUpstreams(upstreams(3, 1))
	first, _ := pollDecision(testBroker.Submit(keyedRequest(0)))
	waiting := testBroker.Submit(keyedRequest(0))
	_, ok := pollDecision(waiting)
	assert.Assert(t, !ok)
	owners.overrides = map[int]string{0: "u2"}
	testBroker.Redispatch()
	second, ok := pollDecision(waiting)
	assert.Assert(t, ok && second.Upstream.ID == "u2", "%v", second)
	assert.Equal(t, testBroker.QueueLength(), 0)

	// A slot of u2 becomes free just after the key has moved from u2 to u0, before
	// Redispatch was called.
	late := testBroker.Submit(keyedRequest(0))
	owners.overrides = map[int]string{0: "u0"}
	testBroker.Release(broker.Result{Ticket: second.Ticket, Outcome: broker.Served, Elapsed: time.Millisecond})
	_, ok = pollDecision(late)
	assert.Assert(t, !ok, "the former owner got a request for a key that has moved")
	testBroker.Release(broker.Result{Ticket: first.Ticket, Outcome: broker.Served, Elapsed: time.Millisecond})
	moved, ok := pollDecision(late)
	assert.Assert(t, ok && moved.Upstream.ID == "u0", "%v", moved)
	assert.Equal(t, testBroker.QueueLength(), 0)
}
