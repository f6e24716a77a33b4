package broker_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/pkg/broker"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// coldBound is the bound of a service whose cold upstreams tolerate 7.2 requests per
// second, with an overage of 1.5 and a slack of 8.
var coldBound = broker.WarmupBound{Duration: 3 * time.Second, PerSecond: 7.2*1.5 + 8}

// arrivals records when requests reach upstreams, and finds the most in one second.
type arrivals map[string][]time.Time

func (arrivals arrivals) most(upstream string) int {
	most := 0
	for _, from := range arrivals[upstream] {
		count := 0
		for _, at := range arrivals[upstream] {
			if !at.Before(from) && at.Before(from.Add(time.Second)) {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// newBoundedBroker returns a broker that serves all VMs and for which every upstream is
// warm.
func newBoundedBroker(clock *clocker.Fake, list []broker.Upstream, owners broker.Owners) *broker.Broker {
	bounded := &broker.Broker{Service: "s", Clock: clock, Owners: owners, Random: func() float64 { return 0.5 }}
	bounded.SetWarmupBound(coldBound)
	bounded.SetLocalMode("vm0", nil)
	bounded.SetUpstreams(list)
	clock.Advance(5 * time.Second)
	return bounded
}

// Load: 400 requests per second for 2 s without keys, for four upstreams with four slots
// each, of which one has just restarted. It must get no more than the bound in any second,
// also when requests are up to 80 ms on their way, and must use most of it: the others are
// full. Requests beyond that wait or are refused.
func TestColdUpstreamGetsAtMostItsBound(t *testing.T) {
	clock := newFakeClock()
	list := upstreams(4, 4)
	bounded := newBoundedBroker(clock, list, nil)
	list[0].StartedAt, list[0].Warmup, list[0].CheckIn = clock.Now().UnixMilli(), 3*time.Second, 1
	bounded.SetUpstreams(list)
	random := rand.New(rand.NewPCG(1, 1))
	received := arrivals{}
	var waiting []*broker.Waiter
	running := map[uint64]time.Time{}
	for range 800 {
		waiting = append(waiting, bounded.Submit(newRequest(1)))
		for ticket, end := range running {
			if !clock.Now().Before(end) {
				delete(running, ticket)
				bounded.Release(broker.Result{Ticket: ticket, Outcome: broker.Served, Elapsed: 100 * time.Millisecond})
			}
		}
		waiting = slices.DeleteFunc(waiting, func(waiter *broker.Waiter) bool {
			decision, ok := pollDecision(waiter)
			if ok && decision.Ticket > 0 {
				running[decision.Ticket] = clock.Now().Add(100 * time.Millisecond)
				received[decision.Upstream.ID] = append(received[decision.Upstream.ID], clock.Now().Add(time.Duration(random.Int64N(int64(80*time.Millisecond)))))
			}
			return ok
		})
		clock.Advance(2500 * time.Microsecond)
	}
	most := received.most("u0")
	assert.Assert(t, most <= int(coldBound.PerSecond), "%d requests in one second", most)
	assert.Assert(t, len(received["u0"]) >= 25, "the cold upstream got only %d requests", len(received["u0"]))
	assert.Assert(t, len(received["u1"]) >= 70, "a warm upstream got only %d requests", len(received["u1"]))
}

// Load: no broker, and 73 VMs that each have 40 requests per second for an upstream that
// has just started. All of them together must keep to the bound, and use some of it.
func TestVMsWithoutBrokerShareTheBound(t *testing.T) {
	clock := newFakeClock()
	var vms []string
	for i := range 73 {
		vms = append(vms, fmt.Sprint("vm", i))
	}
	list := upstreams(1, 100)
	var brokers []*broker.Broker
	for _, vm := range vms {
		local := newBoundedBroker(clock, nil, nil)
		local.SetUpstreams(list)
		local.SetLocalMode(vm, members(len(vms), 1))
		local.SetWarmupVMs(vms)
		brokers = append(brokers, local)
	}
	clock.Advance(5 * time.Second)
	list[0].StartedAt = clock.Now().UnixMilli()
	for _, local := range brokers {
		local.SetUpstreams(list)
	}
	received := arrivals{}
	for range 80 {
		for _, local := range brokers {
			waiter := local.Submit(newRequest(1))
			if decision, ok := pollDecision(waiter); !ok {
				local.Cancel(waiter)
			} else if decision.Ticket > 0 {
				received["u0"] = append(received["u0"], clock.Now())
				local.Release(broker.Result{Ticket: decision.Ticket, Outcome: broker.Served, Elapsed: 100 * time.Millisecond})
			}
		}
		clock.Advance(25 * time.Millisecond)
	}
	most := received.most("u0")
	assert.Assert(t, most <= int(coldBound.PerSecond), "%d requests in one second", most)
	assert.Assert(t, most >= 3, "all VMs together sent only %d requests in a second", most)
}

// Load: an overloaded cold upstream, when the broker changes. Both brokers and a VM in
// local mode send in the same second; the sum must keep to the bound.
func TestNewBrokerCountsWhatItDoesNotKnow(t *testing.T) {
	clock := newFakeClock()
	vms := []string{"vm0", "vm1", "vm2"}
	list := upstreams(1, 100)
	former, next := newBoundedBroker(clock, list, nil), newBoundedBroker(clock, list, nil)
	alone := newBoundedBroker(clock, list, nil)
	next.SetLocalMode("vm1", members(3, 1))
	alone.SetLocalMode("vm2", members(3, 1))
	list[0].Warmup, list[0].CheckIn = 3*time.Second, 7
	received := arrivals{}
	sendAll := func(from *broker.Broker) {
		for range 40 {
			waiter := from.Submit(newRequest(1))
			if decision, ok := pollDecision(waiter); !ok {
				from.Cancel(waiter)
			} else if decision.Ticket > 0 {
				received["u0"] = append(received["u0"], clock.Now())
			}
		}
	}
	for _, each := range []*broker.Broker{former, next, alone} {
		each.SetWarmupVMs(vms)
		each.SetUpstreams(list)
	}
	sendAll(former)
	sendAll(alone)
	clock.Advance(300 * time.Millisecond)
	next.SetLocalMode("vm1", nil)
	for range 10 {
		sendAll(next)
		sendAll(alone)
		clock.Advance(150 * time.Millisecond)
	}
	most := received.most("u0")
	assert.Assert(t, most <= int(coldBound.PerSecond), "%d requests in one second", most)
	assert.Assert(t, len(received["u0"]) >= 25, "only %d requests in 1.8 s", len(received["u0"]))
}

// Load: 40 requests at once for the keys of a cold upstream. Callers whose request fits
// into a later second in time wait for it; the others are refused at once, and their
// Retry-After is not shorter than the wait.
func TestExcessForKeysOfColdUpstreamIsRefusedAtOnce(t *testing.T) {
	clock := newFakeClock()
	list := upstreams(1, 100)
	bounded := newBoundedBroker(clock, list, fixedOwners{1: {Upstream: "u0", Held: true}})
	list[0].Warmup, list[0].CheckIn = 3*time.Second, 1
	bounded.SetUpstreams(list)
	request := newRequest(1)
	request.Key, request.Target, request.Timeout = 1, 1500*time.Millisecond, 1800*time.Millisecond
	assigned, refused := 0, 0
	var waiting []*broker.Waiter
	for range 40 {
		waiter := bounded.Submit(request)
		decision, ok := pollDecision(waiter)
		switch {
		case !ok:
			waiting = append(waiting, waiter)
		case decision.Ticket > 0:
			assigned++
			bounded.Release(broker.Result{Ticket: decision.Ticket, Outcome: broker.Served, Elapsed: 100 * time.Millisecond})
		default:
			refused++
			assert.Equal(t, decision.Refusal, broker.WarmingUp)
			assert.Assert(t, decision.RetryAfter >= time.Second, "Retry-After is %v", decision.RetryAfter)
		}
	}
	assert.Equal(t, assigned, 14)
	assert.Equal(t, len(waiting), 14)
	assert.Equal(t, refused, 12)
	clock.Advance(1250 * time.Millisecond)
	bounded.Redispatch()
	for _, waiter := range waiting {
		decision, ok := pollDecision(waiter)
		assert.Assert(t, ok && decision.Ticket > 0, "a request that waited for the next second got no slot")
	}
	assert.Assert(t, bounded.WarmupStats().Limited >= 26)
}

// Guards against warm-up times that end too early or never: an entry that repeats its time
// with a new check-in starts a new cold time; the same entry read again does not.
func TestColdTimeFollowsEntries(t *testing.T) {
	clock := newFakeClock()
	list := upstreams(2, 2)
	bounded := newBoundedBroker(clock, list, nil)
	cold := func() int { return len(bounded.WarmupStats().Cold) }
	assert.Equal(t, cold(), 0)
	list[0].Warmup, list[0].CheckIn = 3*time.Second, 4
	bounded.SetUpstreams(list)
	assert.Equal(t, cold(), 1)
	clock.Advance(2 * time.Second)
	bounded.SetUpstreams(list) // an unrelated change
	clock.Advance(1100 * time.Millisecond)
	assert.Equal(t, cold(), 0)
	list[0].CheckIn = 5
	bounded.SetUpstreams(list)
	assert.Equal(t, cold(), 1)
	list[0].Warmup, list[0].CheckIn = 0, 0
	bounded.SetUpstreams(list)
	assert.Equal(t, cold(), 0)
	list[1].StartedAt = clock.Now().UnixMilli() // its entry is late: it states no time
	bounded.SetUpstreams(list)
	clock.Advance(2900 * time.Millisecond)
	assert.Equal(t, cold(), 1)
	clock.Advance(200 * time.Millisecond)
	assert.Equal(t, cold(), 0)
	decision, _ := pollDecision(bounded.Submit(newRequest(1)))
	bounded.Release(broker.Result{Ticket: decision.Ticket, Outcome: broker.Served, Elapsed: 100 * time.Millisecond, Warmup: time.Second})
	assert.Equal(t, cold(), 1)
}

// Load: few requests without keys, while all upstreams have free slots and one has just
// returned. It must get some work from its first second on, but not from callers whose
// request it would serve late.
func TestColdUpstreamGetsWorkUnderLightLoad(t *testing.T) {
	clock := newFakeClock()
	list := upstreams(4, 4)
	bounded := newBoundedBroker(clock, list[:3], nil)
	for range 20 {
		bounded.RecordResult("u0", "vm", "a", broker.Result{Outcome: broker.Served, Elapsed: 100 * time.Millisecond})
	}
	bounded.SetUpstreams(list)
	for _, target := range []time.Duration{300 * time.Millisecond, time.Second} {
		counts := map[string]int{}
		for range 20 {
			request := newRequest(1)
			request.Target = target
			decision, _ := pollDecision(bounded.Submit(request))
			counts[decision.Upstream.ID]++
			bounded.Release(broker.Result{Ticket: decision.Ticket, Outcome: broker.Abandoned})
			clock.Advance(50 * time.Millisecond)
		}
		want := 0
		if target == time.Second {
			want = 1
		}
		assert.Equal(t, counts["u3"], want, "target %v: %v", target, counts)
	}
}

// Load: 20 requests per second for 4 s for the keys of a cold upstream, twice its bound.
// Those that could only be served after their objective are refused, not served late.
func TestExcessForColdUpstreamIsNotServedLate(t *testing.T) {
	clock := newFakeClock()
	list := upstreams(1, 4)
	bounded := newBoundedBroker(clock, list, fixedOwners{1: {Upstream: "u0", Held: true}})
	bounded.SetWarmupBound(broker.WarmupBound{Duration: 5 * time.Second, PerSecond: 13})
	list[0].Warmup, list[0].CheckIn = 5*time.Second, 1
	bounded.SetUpstreams(list)
	request := newRequest(1)
	request.Key, request.Target, request.Timeout = 1, 800*time.Millisecond, 4*time.Second
	type waiting struct {
		waiter  *broker.Waiter
		arrived time.Time
	}
	var queue []waiting
	running := map[uint64]time.Time{}
	served, late := 0, 0
	for step := range 160 {
		if step%2 == 0 {
			queue = append(queue, waiting{bounded.Submit(request), clock.Now()})
		}
		for ticket, end := range running {
			if !clock.Now().Before(end) {
				delete(running, ticket)
				bounded.Release(broker.Result{Ticket: ticket, Outcome: broker.Served, Elapsed: 200 * time.Millisecond})
			}
		}
		bounded.Redispatch()
		queue = slices.DeleteFunc(queue, func(entry waiting) bool {
			decision, ok := pollDecision(entry.waiter)
			if ok && decision.Ticket > 0 {
				running[decision.Ticket] = clock.Now().Add(200 * time.Millisecond)
				served++
				if clock.Now().Sub(entry.arrived) > 600*time.Millisecond {
					late++
				}
			}
			return ok
		})
		clock.Advance(25 * time.Millisecond)
	}
	assert.Assert(t, served >= 24, "%d requests served", served)
	assert.Assert(t, late <= served/10, "%d of %d requests served late", late, served)
}
