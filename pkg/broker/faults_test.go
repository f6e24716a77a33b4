package broker_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/pkg/broker"
)

// A zone that is cut off must not take the requests of the others: after a few
// failures they stay in their zone, or are refused at once, until a request that
// tries the way again succeeds.
func TestCutZone(t *testing.T) {
	clock := fake()
	list := upstreams(4, 2)
	list[2].Zone, list[3].Zone = "b", "b"
	owned := owners{1: {Upstream: "u2", Held: true}}
	served := &broker.Broker{Service: "s", Clock: clock, Owners: owned}
	served.SetUpstreams(list)
	keyed := ask(0)
	keyed.Key = 1
	for range 3 {
		decision, _ := decided(served.Submit(keyed))
		clock.Advance(300 * time.Millisecond)
		served.Release(broker.Result{Ticket: decision.Ticket, Outcome: broker.Unreachable})
	}
	tries, refused := 0, 0
	for range 20 {
		decision, ok := decided(served.Submit(keyed))
		assert.Assert(t, ok, "a request for a key behind the cut waits")
		if decision.Ticket > 0 {
			tries++
			served.Release(broker.Result{Ticket: decision.Ticket, Outcome: broker.Unreachable})
		} else {
			refused++
		}
		clock.Advance(100 * time.Millisecond)
	}
	assert.Assert(t, tries <= 9 && refused >= 11, "%d tries, %d refused", tries, refused)

	inZone := keyed
	inZone.Zone, inZone.VM = "b", "other"
	decision, _ := decided(served.Submit(inZone))
	assert.Assert(t, decision.Ticket > 0, "VMs of the zone itself go on")
	served.Release(broker.Result{Ticket: decision.Ticket, Outcome: broker.Served, Elapsed: 100 * time.Millisecond})

	clock.Advance(time.Second)
	decision, _ = decided(served.Submit(keyed))
	served.Release(broker.Result{Ticket: decision.Ticket, Outcome: broker.Served, Elapsed: 100 * time.Millisecond})
	for range 3 {
		decision, _ = decided(served.Submit(keyed))
		assert.Assert(t, decision.Ticket > 0, "the way is open again")
		served.Release(broker.Result{Ticket: decision.Ticket, Outcome: broker.Served, Elapsed: 100 * time.Millisecond})
	}
}

// Upstreams that have become slow, or lose answers, are no sign of a cut: on
// lochside trouble-2, two fifths of the upstreams turn slow and requests run into
// their time limit.
func TestSlowUpstreamsAreNoCut(t *testing.T) {
	clock := fake()
	list := upstreams(1, 8)
	list[0].Zone = "b"
	served := newBroker(clock, list)
	for _, outcome := range []broker.Outcome{broker.TimedOut, broker.Interrupted} {
		for range 2 {
			decision, _ := decided(served.Submit(ask(0)))
			assert.Assert(t, decision.Ticket > 0)
			served.Release(broker.Result{Ticket: decision.Ticket, Outcome: outcome, Elapsed: time.Second})
		}
	}
	decision, _ := decided(served.Submit(ask(0)))
	assert.Assert(t, decision.Ticket > 0)
}

// A request that crashes each upstream that runs it must not take down more than
// two, whoever sends it; other requests that were running there go on.
func TestCrashingRequest(t *testing.T) {
	clock := fake()
	list := upstreams(4, 2)
	served := newBroker(clock, list)
	crash, other := ask(0), ask(0)
	crash.Fingerprint, other.Fingerprint = 7, 8
	lost := 0
	for round := range 6 {
		first, _ := decided(served.Submit(crash))
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
		beside, _ := decided(served.Submit(other))
		for _, decision := range []broker.Decision{first, beside} {
			served.Release(broker.Result{Ticket: decision.Ticket, Outcome: broker.Interrupted})
		}
		clock.Advance(500 * time.Millisecond)
		for i := range list { // it starts again
			if list[i].ID == first.Upstream.ID {
				list[i].StartedAt = int64(round + 2)
			}
		}
		served.SetUpstreams(list)
		other.Exclude = nil
		again, _ := decided(served.Submit(other))
		assert.Assert(t, again.Ticket > 0, "an innocent request is refused")
		served.Release(broker.Result{Ticket: again.Ticket, Outcome: broker.Served, Elapsed: 50 * time.Millisecond})
		clock.Advance(time.Second)
	}
	assert.Equal(t, lost, 2)
}

// Upstreams that lose answers, but live, cast no suspicion on requests.
func TestLostAnswersAreNoCrash(t *testing.T) {
	clock := fake()
	served := newBroker(clock, upstreams(2, 2))
	request := ask(0)
	request.Fingerprint = 7
	for range 20 {
		decision, _ := decided(served.Submit(request))
		assert.Assert(t, decision.Ticket > 0, "refused: %s", decision.Refusal)
		served.Release(broker.Result{Ticket: decision.Ticket, Outcome: broker.Interrupted})
		clock.Advance(1200 * time.Millisecond)
	}
}
