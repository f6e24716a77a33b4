package broker_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/pkg/broker"
)

// competingClasses offers factor times what 12 upstreams can serve: an urgent class, two
// of the middle rank, and one that reaches the service as overflow.
func competingClasses(factor float64) []callers {
	factor *= 48 / 71.6 // slots, and slots that these rates need
	classes := []callers{
		evenCallers(0, 60*factor, 120*time.Millisecond, 500*time.Millisecond, 4*time.Second, 12),
		evenCallers(1, 200*factor, 150*time.Millisecond, 800*time.Millisecond, 4*time.Second, 12),
		evenCallers(1, 100*factor, 200*time.Millisecond, 800*time.Millisecond, 6*time.Second, 12),
		evenCallers(2, 80*factor, 180*time.Millisecond, 2500*time.Millisecond, 8*time.Second, 12),
	}
	classes[3].request.Overflow = true
	return classes
}

// Guards against queues that fill with requests that then end late or are refused after
// they waited, and against less urgent classes that are served better than urgent ones. The
// bounds on late answers and on refusals after a wait are half of what the code before
// admission by classes gave at 1.5 times the capacity: 0.26 and 0.29 of the requests.
func TestCompetingClasses(t *testing.T) {
	for _, keyed := range []bool{true, false} {
		classes := competingClasses(1.5)
		for i := range classes {
			if !keyed {
				classes[i].key = func(*rand.Rand) int { return broker.NoKey }
			}
		}
		results := playUniform(t, 12, 20*time.Second, nil, classes...)
		work, total := 0.0, tally{}
		for class, result := range results {
			work += float64(result.inTime) * classes[class].mean.Seconds()
			total.offered, total.late, total.refusedLate = total.offered+result.offered, total.late+result.late, total.refusedLate+result.refusedLate
			if class > 0 {
				served, before := result.share(result.inTime+result.late), results[class-1]
				assert.Assert(t, before.share(before.inTime+before.late) >= served-0.05, "class %d is served better than a more urgent one", class)
			}
		}
		assert.Assert(t, work >= 0.9*48*20, "%.0f s of service time went to answers in time", work)
		assert.Assert(t, total.share(total.late) <= 0.13)
		assert.Assert(t, total.share(total.refusedLate) <= 0.145)
	}
}

// Guards against refusals by the rules for overload when the load is below the capacity.
func TestLoadBelowCapacityIsServed(t *testing.T) {
	for class, result := range playUniform(t, 12, 20*time.Second, nil, competingClasses(0.67)...) {
		assert.Assert(t, result.share(result.inTime+result.late) >= 0.995, "class %d", class)
	}
}

// Guards against callers of a hot key who displace those of other keys of its owner. The
// other keys need half of its slots.
func TestHotKeyLeavesOthersTheirShare(t *testing.T) {
	hot := evenCallers(1, 40, 165*time.Millisecond, 800*time.Millisecond, 4*time.Second, 1)
	hot.key = func(*rand.Rand) int { return 0 }
	others := evenCallers(1, 12, 165*time.Millisecond, 800*time.Millisecond, 4*time.Second, 1)
	others.key = func(random *rand.Rand) int { return 1 + random.IntN(40) }
	results := playUniform(t, 1, time.Minute, nil, hot, others)
	assert.Assert(t, results[1].share(results[1].inTime) >= 0.9)
	assert.Assert(t, results[0].inTime >= 600, "the hot key gets the other slots: %d requests in time", results[0].inTime)
}

// Guards against refusing short urgent requests because the mean service time, that of the
// long ones beside them, would not meet their target.
func TestShortRequestsBesideLongOnes(t *testing.T) {
	short := evenCallers(0, 40, 90*time.Millisecond, 400*time.Millisecond, 2*time.Second, 12)
	long := evenCallers(1, 220, 300*time.Millisecond, 1200*time.Millisecond, 4*time.Second, 12)
	results := playUniform(t, 12, time.Minute, nil, short, long)
	assert.Assert(t, results[0].share(results[0].inTime) >= 0.95)
}

// Guards against starving a class while more urgent ones need all slots.
func TestMinimumShareOfAClass(t *testing.T) {
	urgent := evenCallers(0, 600, 165*time.Millisecond, 800*time.Millisecond, 4*time.Second, 12)
	least := evenCallers(2, 60, 165*time.Millisecond, 2500*time.Millisecond, 8*time.Second, 12)
	results := playUniform(t, 12, 20*time.Second, nil, urgent, least)
	assert.Assert(t, results[1].share(results[1].inTime) >= 0.05)
}

// Guards against an order in which overflow of other services goes before the service's own
// requests, or in which a request that an upstream refused loses its turn.
func TestOrderOfClasses(t *testing.T) {
	clock := newFakeClock()
	testBroker := newBroker(clock, upstreams(1, 1))
	running, _ := pollDecision(testBroker.Submit(newRequest(1)))
	overflow, returned, refused := newRequest(1), newRequest(1), newRequest(1)
	overflow.Overflow, returned.Returned, refused.Retry = true, true, true
	returned.Target = newRequest(1).Target + time.Minute
	waiters := map[string]*broker.Waiter{"overflow": testBroker.Submit(overflow), "own": testBroker.Submit(newRequest(1)), "returned": testBroker.Submit(returned), "refused": testBroker.Submit(refused)}
	for _, next := range []string{"refused", "returned", "own", "overflow"} {
		testBroker.Release(broker.Result{Ticket: running.Ticket, Outcome: broker.Served, Elapsed: 50 * time.Millisecond})
		var ok bool
		running, ok = pollDecision(waiters[next])
		assert.Assert(t, ok && running.Ticket > 0, "%s was not next", next)
	}
}

// Guards against refusing uploads whose body has arrived as early as small requests. On
// lochside-gw-grown, callers sent refused bodies again and filled the links of VMs, so that
// all classes were late.
func TestUploadsAreRefusedLess(t *testing.T) {
	answered := func(bodyBytes int64) float64 {
		classes := competingClasses(1.2)
		for i := range classes {
			classes[i].key = func(*rand.Rand) int { return broker.NoKey }
		}
		classes[3].request.BodyBytes = bodyBytes
		uploads := playUniform(t, 12, 20*time.Second, nil, classes...)[3]
		return uploads.share(uploads.inTime + uploads.late)
	}
	small, large := answered(0), answered(60<<10)
	assert.Assert(t, large >= 1.25*small, "answered: %.3f of small requests, %.3f of uploads", small, large)
}
