package broker_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/pkg/broker"
)

// Requests of other zones do not wait for a partitioned zone. After a few failures
// they are refused at once, until a request that probes the path succeeds.
func TestPartitionedZone(t *testing.T) {
	clock := newFakeClock()
	list := upstreams(4, 2)
	list[2].Zone, list[3].Zone = "b", "b"
	owners := fixedOwners{1: {Upstream: "u2", Held: true}}
	testBroker := &broker.Broker{Service: "s", Clock: clock, Owners: owners}
	testBroker.SetUpstreams(list)
	keyed := newRequest(0)
	keyed.Key = 1
	for range 3 {
		decision, _ := pollDecision(testBroker.Submit(keyed))
		clock.Advance(300 * time.Millisecond)
		testBroker.Release(broker.Result{Ticket: decision.Ticket, Outcome: broker.Unreachable})
	}
	probes, refused := 0, 0
	for range 20 {
		decision, ok := pollDecision(testBroker.Submit(keyed))
		assert.Assert(t, ok, "a request for a key in the partitioned zone waits")
		if decision.Ticket > 0 {
			probes++
			testBroker.Release(broker.Result{Ticket: decision.Ticket, Outcome: broker.Unreachable})
		} else {
			refused++
		}
		clock.Advance(100 * time.Millisecond)
	}
	assert.Assert(t, probes <= 9 && refused >= 11, "%d probes, %d refused", probes, refused)

	inZone := keyed
	inZone.Zone, inZone.VM = "b", "other"
	decision, _ := pollDecision(testBroker.Submit(inZone))
	assert.Assert(t, decision.Ticket > 0, "a request from the partitioned zone itself was refused")
	testBroker.Release(broker.Result{Ticket: decision.Ticket, Outcome: broker.Served, Elapsed: 100 * time.Millisecond})

	clock.Advance(time.Second)
	decision, _ = pollDecision(testBroker.Submit(keyed))
	testBroker.Release(broker.Result{Ticket: decision.Ticket, Outcome: broker.Served, Elapsed: 100 * time.Millisecond})
	for range 3 {
		decision, _ = pollDecision(testBroker.Submit(keyed))
		assert.Assert(t, decision.Ticket > 0, "a request was refused after the partition has healed")
		testBroker.Release(broker.Result{Ticket: decision.Ticket, Outcome: broker.Served, Elapsed: 100 * time.Millisecond})
	}
}

// Guards against taking slow upstreams, or ones that lose responses, for a partition.
// On lochside trouble-2, two fifths of the upstreams become slow and requests reach
// their deadline.
func TestSlowUpstreamsAreNoPartition(t *testing.T) {
	clock := newFakeClock()
	list := upstreams(1, 8)
	list[0].Zone = "b"
	testBroker := newBroker(clock, list)
	for _, outcome := range []broker.Outcome{broker.TimedOut, broker.Interrupted} {
		for range 2 {
			decision, _ := pollDecision(testBroker.Submit(newRequest(0)))
			assert.Assert(t, decision.Ticket > 0)
			testBroker.Release(broker.Result{Ticket: decision.Ticket, Outcome: outcome, Elapsed: time.Second})
		}
	}
	decision, _ := pollDecision(testBroker.Submit(newRequest(0)))
	assert.Assert(t, decision.Ticket > 0)
}

// A request that crashes each upstream that runs it does not take down more than two
// of them, whoever sends it. Other requests that ran on these upstreams are still
// served.
func TestCrashingRequest(t *testing.T) {
	clock := newFakeClock()
	list := upstreams(4, 2)
	testBroker := newBroker(clock, list)
	crashing, other := newRequest(0), newRequest(0)
	crashing.Fingerprint, other.Fingerprint = 7, 8
	lost := 0
	for round := range 6 {
		first, _ := pollDecision(testBroker.Submit(crashing))
		if first.Ticket == 0 {
			assert.Equal(t, first.Refusal, broker.CrashSuspect)
			continue
		}
		lost++
		other.Exclude = nil
		for _, upstream := range list {
			if upstream.ID != first.Upstream.ID {
				other.Exclude = append(other.Exclude, upstream.ID)
			}
		}
		concurrent, _ := pollDecision(testBroker.Submit(other))
		for _, decision := range []broker.Decision{first, concurrent} {
			testBroker.Release(broker.Result{Ticket: decision.Ticket, Outcome: broker.Interrupted})
		}
		clock.Advance(500 * time.Millisecond)
		for i := range list { // the upstream restarts
			if list[i].ID == first.Upstream.ID {
				list[i].StartedAt = int64(round + 2)
			}
		}
		testBroker.SetUpstreams(list)
		other.Exclude = nil
		again, _ := pollDecision(testBroker.Submit(other))
		assert.Assert(t, again.Ticket > 0, "a request that crashes no upstream was refused")
		testBroker.Release(broker.Result{Ticket: again.Ticket, Outcome: broker.Served, Elapsed: 50 * time.Millisecond})
		clock.Advance(time.Second)
	}
	assert.Equal(t, lost, 2)
}

// A request is not suspected of crashes when upstreams lose its responses but stay up.
func TestLostResponsesAreNoCrash(t *testing.T) {
	clock := newFakeClock()
	testBroker := newBroker(clock, upstreams(2, 2))
	request := newRequest(0)
	request.Fingerprint = 7
	for range 20 {
		decision, _ := pollDecision(testBroker.Submit(request))
		assert.Assert(t, decision.Ticket > 0, "refused: %s", decision.Refusal)
		testBroker.Release(broker.Result{Ticket: decision.Ticket, Outcome: broker.Interrupted})
		clock.Advance(1200 * time.Millisecond)
	}
}
