package broker_test

import (
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/pkg/broker"
)

// Guards against pausing all upstreams of a service that refuse half of the requests at
// random with free slots: the pauses took away capacity that callers needed. Half of the
// offers of a request and its two repeats are accepted even without further attempts; the
// refusals last for half of the time.
func TestRandomRefusalsOfAllUpstreams(t *testing.T) {
	const count = 30
	halfRefused := func(_ string, elapsed time.Duration, random *rand.Rand) bool {
		return elapsed > 5*time.Second && elapsed < 15*time.Second && random.Float64() < 0.5
	}
	refused := map[bool]int{}
	for _, recognized := range []bool{false, true} {
		requests := evenCallers(1, 360, 165*time.Millisecond, 800*time.Millisecond, 4*time.Second, count)
		requests.unrecognized = !recognized
		result := playUniform(t, count, 20*time.Second, halfRefused, requests)[0]
		assert.Assert(t, result.share(result.inTime) >= 1-0.5*0.5*0.5/2)
		refused[recognized] = result.refusedAgain
	}
	assert.Assert(t, refused[true] <= refused[false]*3/4, "repeats must get the retry budget")
}

// Guards against sending on to one upstream that refuses everything, whether the others
// refuse nothing or some requests at random: others take its place.
func TestRefusalsOfOneUpstream(t *testing.T) {
	const count = 10
	for _, others := range []float64{0, 0.2} {
		var attempts atomic.Int64
		refuses := func(upstream string, _ time.Duration, random *rand.Rand) bool {
			if upstream == "u0" {
				attempts.Add(1)
			}
			return upstream == "u0" || random.Float64() < others
		}
		unkeyed := evenCallers(1, 100, 165*time.Millisecond, 800*time.Millisecond, 4*time.Second, count)
		unkeyed.key = func(*rand.Rand) int { return broker.NoKey }
		result := playUniform(t, count, 20*time.Second, refuses, unkeyed)[0]
		// One attempt after each longest pause; 10 for the shorter pauses at first, a run that
		// chance explains, and requests that are under way together.
		assert.Assert(t, attempts.Load() <= int64(20*time.Second/(320*time.Millisecond)+10), "%d attempts at the upstream that refuses everything", attempts.Load())
		assert.Assert(t, result.share(result.inTime) >= 0.97)
	}
}

// Guards against sending on to an upstream that the broker counts as full because others
// refuse requests at random.
func TestFullUpstreamIsPausedAmongRandomRefusals(t *testing.T) {
	for _, full := range []bool{false, true} {
		clock := newFakeClock()
		testBroker := newBroker(clock, upstreams(3, 2))
		for range 40 {
			for _, outcome := range []broker.Outcome{broker.Shed, broker.Served} {
				testBroker.RecordResult("u1", "vm", "a", broker.Result{Outcome: outcome, Elapsed: 50 * time.Millisecond})
			}
		}
		request := newRequest(0)
		request.Exclude = []string{"u1", "u2"}
		if full {
			testBroker.SetForeignInFlight("other", map[string]int{"u0": 3})
		}
		testBroker.RecordResult("u0", "vm", "a", broker.Result{Outcome: broker.Shed})
		testBroker.SetForeignInFlight("other", nil)
		decision, _ := pollDecision(testBroker.Submit(request))
		assert.Equal(t, decision.Ticket > 0, !full)
	}
}

// Guards against refusing requests for a second because all upstreams are paused for a
// moment: they can wait for the end of the pause.
func TestRequestWaitsWhileAllUpstreamsArePaused(t *testing.T) {
	clock := newFakeClock()
	testBroker := newBroker(clock, upstreams(2, 1))
	for _, id := range []string{"u0", "u1", "u1", "u1"} {
		testBroker.RecordResult(id, "vm", "a", broker.Result{Outcome: broker.Shed})
	}
	waiter := testBroker.Submit(newRequest(0))
	decision, ok := pollDecision(waiter)
	assert.Assert(t, !ok, "%v", decision)
	clock.Advance(50 * time.Millisecond)
	testBroker.Redispatch()
	decision, ok = pollDecision(waiter)
	assert.Assert(t, ok && decision.Ticket > 0)
}
