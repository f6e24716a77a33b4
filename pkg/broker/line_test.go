package broker_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/pkg/broker"
)

// countingOwners spreads keys over upstreams and counts the look-ups.
type countingOwners struct {
	upstreams int
	lookups   int
	owner     map[int]string // exceptions
}

func (owners *countingOwners) Owner(key int) broker.Ownership {
	owners.lookups++
	if owner, ok := owners.owner[key]; ok {
		return broker.Ownership{Upstream: owner, Held: true}
	}
	return broker.Ownership{Upstream: fmt.Sprint("u", key%owners.upstreams), Held: true}
}

func patient(key int) broker.Request {
	made := ask(1)
	made.Key, made.Target, made.Timeout = key, time.Hour, time.Hour
	return made
}

// On lochside-gw-grown, a burst of 1.7 times 1,305 requests a second left hundreds
// of requests in the broker's queue. Each decision looked at all of them and found
// the owners of their keys anew; the broker's VM fell behind, other VMs replaced it
// by small ones, and for ten seconds half of the requests were late. A request
// must cost no more when others wait for other upstreams.
func TestDecisionsDoNotLookAtOtherLines(t *testing.T) {
	const count = 100
	owned := &countingOwners{upstreams: count}
	served := &broker.Broker{Service: "s", Clock: fake(), Owners: owned}
	served.SetUpstreams(upstreams(count, 2))
	for key := range 600 {
		served.Submit(patient(key % (count - 1)))
	}
	owned.lookups = 0
	decision, ok := decided(served.Submit(patient(count - 1)))
	assert.Assert(t, ok && decision.Ticket > 0, "the upstream with free slots gets the request")
	served.Release(broker.Result{Ticket: decision.Ticket, Outcome: broker.Served, Elapsed: time.Millisecond})
	assert.Assert(t, owned.lookups <= 3, "%d look-ups for one request while others wait", owned.lookups)
}

// A request whose key moves to another upstream while it waits follows it.
func TestWaitingRequestFollowsItsKey(t *testing.T) {
	owned := &countingOwners{upstreams: 2}
	served := &broker.Broker{Service: "s", Clock: fake(), Owners: owned}
	served.SetUpstreams(upstreams(3, 1))
	first, _ := decided(served.Submit(patient(0)))
	waiting := served.Submit(patient(0))
	_, ok := decided(waiting)
	assert.Assert(t, !ok)
	owned.owner = map[int]string{0: "u2"}
	served.Redispatch()
	second, ok := decided(waiting)
	assert.Assert(t, ok && second.Upstream.ID == "u2", "%v", second)
	assert.Equal(t, served.QueueLength(), 0)

	// The slot of the past owner becomes free just when a key has moved there, and
	// before the broker was told.
	late := served.Submit(patient(0))
	owned.owner = map[int]string{0: "u0"}
	served.Release(broker.Result{Ticket: second.Ticket, Outcome: broker.Served, Elapsed: time.Millisecond})
	_, ok = decided(late)
	assert.Assert(t, !ok, "the former owner does not get a request for a key that has moved")
	served.Release(broker.Result{Ticket: first.Ticket, Outcome: broker.Served, Elapsed: time.Millisecond})
	moved, ok := decided(late)
	assert.Assert(t, ok && moved.Upstream.ID == "u0", "%v", moved)
	assert.Equal(t, served.QueueLength(), 0)
}
