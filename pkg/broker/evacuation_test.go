package broker_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/pkg/broker"
)

// evacuate returns the list with the zone evacuated or not.
func evacuate(list []broker.Upstream, zone string, evacuated bool) []broker.Upstream {
	var changed []broker.Upstream
	for _, upstream := range list {
		if upstream.Zone == zone {
			upstream.Evacuated = evacuated
		}
		changed = append(changed, upstream)
	}
	return changed
}

// Load: requests without keys, whose own zone is evacuated while some wait there. From then
// on all of them run in the other zone. When it is evacuated too, those that wait and those
// that arrive are refused at once, and upstreams that return are cold.
func TestNothingIsSentToEvacuatedZones(t *testing.T) {
	clock := newFakeClock()
	list := upstreams(4, 1)
	list[2].Zone, list[3].Zone = "b", "b"
	bounded := newBoundedBroker(clock, list, nil)
	var tickets []uint64
	for range 4 {
		decision, _ := pollDecision(bounded.Submit(newRequest(1)))
		tickets = append(tickets, decision.Ticket)
	}
	waiting := []*broker.Waiter{bounded.Submit(newRequest(1)), bounded.Submit(newRequest(1))}
	bounded.SetUpstreams(evacuate(list, "a", true))
	for _, ticket := range tickets {
		clock.Advance(20 * time.Millisecond)
		bounded.Release(broker.Result{Ticket: ticket, Outcome: broker.Served, Elapsed: 50 * time.Millisecond})
	}
	for _, waiter := range waiting {
		decision, ok := pollDecision(waiter)
		assert.Assert(t, ok && decision.Ticket > 0 && decision.Upstream.Zone == "b", "%+v", decision)
	}
	last := bounded.Submit(newRequest(1))
	bounded.SetUpstreams(evacuate(evacuate(list, "a", true), "b", true))
	decision, ok := pollDecision(last)
	assert.Assert(t, ok && decision.Refusal == broker.Evacuated, "a request waits although all zones are evacuated")
	decision, ok = pollDecision(bounded.Submit(newRequest(1)))
	assert.Assert(t, ok && decision.Refusal == broker.Evacuated && decision.RetryAfter > 0)
	bounded.SetUpstreams(list)
	assert.Equal(t, len(bounded.WarmupStats().Cold), 4)
	decision, ok = pollDecision(bounded.Submit(newRequest(1)))
	assert.Assert(t, ok && decision.Ticket > 0, "returned upstreams get nothing")
}

// Load: requests for a key whose owner's zone is evacuated. They wait for the move, and get
// the new owner. If the key does not move, waiting and arriving requests are refused.
func TestRequestsForKeysOfEvacuatedZoneWaitForTheMove(t *testing.T) {
	for _, moves := range []bool{true, false} {
		clock := newFakeClock()
		list := upstreams(2, 2)
		list[1].Zone = "b"
		owners := fixedOwners{1: {Upstream: "u0", Held: true}}
		bounded := newBoundedBroker(clock, list, owners)
		request := newRequest(1)
		request.Key = 1
		bounded.SetUpstreams(evacuate(list, "a", true))
		waiter := bounded.Submit(request)
		decision, ok := pollDecision(waiter)
		assert.Assert(t, !ok, "%+v", decision)
		clock.Advance(300 * time.Millisecond)
		if moves {
			owners[1] = broker.Ownership{Upstream: "u1", Held: true}
			bounded.Redispatch()
			decision, ok = pollDecision(waiter)
			assert.Assert(t, ok && decision.Upstream.ID == "u1" && decision.Ticket > 0, "%+v", decision)
			continue
		}
		clock.Advance(time.Second)
		bounded.Redispatch()
		decision, ok = pollDecision(waiter)
		assert.Assert(t, ok && decision.Refusal == broker.Evacuated, "%+v", decision)
		decision, ok = pollDecision(bounded.Submit(request))
		assert.Assert(t, ok && decision.Refusal == broker.Evacuated, "%+v", decision)
	}
}
