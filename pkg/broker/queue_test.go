package broker_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

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

// Guards against a waiting request that is lost, decided twice, or left in a queue after
// its decision, whatever changes its place in the order.
func TestEachRequestIsDecidedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := newFakeClock()
		owners := &countingOwners{upstreams: 2, overrides: map[int]string{}}
		testBroker := &broker.Broker{Service: "s", Clock: clock, Owners: owners}
		testBroker.SetUpstreams(upstreams(2, 2))
		var waiting []*broker.Waiter
		var running []uint64
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1, 2, 3:
				request := keyedRequest(rapid.IntRange(0, 4).Draw(t, "key"))
				request.Rank, request.Target = rapid.IntRange(0, 1).Draw(t, "rank"), time.Duration(rapid.IntRange(-100, 1000).Draw(t, "target"))*time.Millisecond
				request.Returned, request.Overflow, request.Retry = rapid.Bool().Draw(t, "returned"), rapid.Bool().Draw(t, "overflow"), rapid.Bool().Draw(t, "retry")
				request.Timeout = 4 * time.Second
				waiting = append(waiting, testBroker.Submit(request))
			case 4:
				if len(running) > 0 {
					outcome := rapid.SampledFrom([]broker.Outcome{broker.Served, broker.Shed, broker.Interrupted}).Draw(t, "outcome")
					testBroker.Release(broker.Result{Ticket: running[0], Outcome: outcome, Elapsed: 200 * time.Millisecond})
					running = running[1:]
				}
			case 5:
				if len(waiting) > 0 {
					last := len(waiting) - 1
					testBroker.Cancel(waiting[last])
					waiting = waiting[:last]
				}
			case 6:
				clock.Advance(time.Duration(rapid.IntRange(1, 300).Draw(t, "wait")) * time.Millisecond)
			case 7:
				owners.overrides[rapid.IntRange(0, 4).Draw(t, "moved")] = rapid.SampledFrom([]string{"u0", "u1"}).Draw(t, "owner")
				if rapid.Bool().Draw(t, "redispatch") {
					testBroker.Redispatch()
				}
			}
			undecided := waiting[:0]
			for _, waiter := range waiting {
				if decision, ok := pollDecision(waiter); !ok {
					undecided = append(undecided, waiter)
				} else if decision.Ticket > 0 {
					running = append(running, decision.Ticket)
				}
			}
			waiting = undecided
			assert.Equal(t, testBroker.QueueLength(), len(waiting))
		}
	})
}
