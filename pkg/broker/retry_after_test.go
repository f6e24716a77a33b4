package broker_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/pkg/broker"
)

// Guards against refused callers who come back as one wave, who cannot wait for so long
// (they wait for at most a third of the time left), or whose repeat comes too late to meet
// its target although that is possible.
func TestRetryAfterOfRefusedRequests(t *testing.T) {
	testBroker := &broker.Broker{Service: "s", Clock: newFakeClock(), Owners: fixedOwners{1: {Upstream: "u0", Held: true}}}
	testBroker.SetUpstreams(upstreams(1, 4))
	request := newRequest(1)
	request.Key, request.Target, request.Timeout = 1, 800*time.Millisecond, 4*time.Second
	var times []time.Duration
	for range 400 {
		if decision, ok := pollDecision(testBroker.Submit(request)); ok && decision.Refusal == broker.Overloaded {
			assert.Assert(t, decision.Rule != "")
			times = append(times, decision.RetryAfter)
		}
	}
	assert.Assert(t, len(times) > 300)
	slices.Sort(times)
	least, most := times[0], times[len(times)-1]
	assert.Assert(t, most <= request.Timeout/3 && most+150*time.Millisecond < request.Target, "%v", most)
	for i := range times {
		// 50 ms hold at most half of the callers.
		assert.Assert(t, i < len(times)/2 || times[i]-times[i-len(times)/2] >= min(50*time.Millisecond, (most-least)/3))
	}
}

// Guards against refusing requests again that can still be served: a request that was
// refused before goes before new ones of its class. Overload lasts for a second, every five
// seconds. At least half of those that are refused again if they are taken for new ones
// must be served.
func TestRepeatsAfterShortOverload(t *testing.T) {
	const count = 12
	results := map[bool]tally{}
	for _, recognized := range []bool{false, true} {
		burst := evenCallers(1, 120, 165*time.Millisecond, 800*time.Millisecond, 4*time.Second, count)
		burst.burst, burst.unrecognized = 4, !recognized
		results[recognized] = playUniform(t, count, 20*time.Second, nil, burst)[0]
	}
	before, after := results[false], results[true]
	assert.Assert(t, after.share(after.inTime) >= before.share(before.inTime)-0.005)
	assert.Assert(t, after.refusedAgain <= before.refusedAgain/2)
}
