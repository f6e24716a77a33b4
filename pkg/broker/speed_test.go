package broker_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/pkg/broker"
)

// Load: requests without keys, while the machine of the fastest upstream is three times
// slower for a moment. Requests go to others until that has passed, and then return.
func TestSlowMachineIsAvoidedForAMoment(t *testing.T) {
	clock := newFakeClock()
	testBroker := newBroker(clock, upstreams(2, 4))
	for range 30 {
		testBroker.RecordResult("u0", "vm", "a", broker.Result{Outcome: broker.Served, Elapsed: 100 * time.Millisecond, Slowness: 1})
		testBroker.RecordResult("u1", "vm", "a", broker.Result{Outcome: broker.Served, Elapsed: 150 * time.Millisecond, Slowness: 1})
	}
	chosen := func() string {
		decision, _ := pollDecision(testBroker.Submit(newRequest(1)))
		testBroker.Release(broker.Result{Ticket: decision.Ticket, Outcome: broker.Abandoned})
		return decision.Upstream.ID
	}
	clock.Advance(time.Second)
	assert.Equal(t, chosen(), "u0")
	testBroker.RecordResult("u0", "vm", "a", broker.Result{Outcome: broker.Served, Elapsed: 200 * time.Millisecond, Slowness: 3})
	assert.Equal(t, chosen(), "u1")
	clock.Advance(200 * time.Millisecond)
	assert.Equal(t, chosen(), "u1")
	clock.Advance(250 * time.Millisecond)
	assert.Equal(t, chosen(), "u0")
}

// Load: 20 upstreams, each with ten requests per second whose service times vary and which
// are three times slower in a fifth of all intervals of 400 ms. The capacities by which keys
// are assigned must stay where they are, and tell fast upstreams from slow ones.
func TestNoiseDoesNotChangeCapacities(t *testing.T) {
	const count = 20
	clock := newFakeClock()
	testBroker := newBroker(clock, upstreams(count, 4))
	random := rand.New(rand.NewPCG(1, 2))
	capacities := func() map[string]float64 {
		found := map[string]float64{}
		stats, _, _ := testBroker.Stats()
		for _, upstream := range stats {
			found[upstream.Upstream.ID] = upstream.Capacity
		}
		return found
	}
	factors := []float64{0.6, 1, 1.4}
	// slow are the slow intervals of 400 ms of each upstream.
	var slow [count][1000]bool
	for i := range slow {
		for j := range slow[i] {
			slow[i][j] = random.Float64() < 0.2
		}
	}
	const interval = 0.4
	// serve returns how long a request takes that begins at the time, and the slowness at
	// its end.
	serve := func(upstream int, begin, work float64) (elapsed, slowness float64) {
		for now := begin; ; {
			index := int(now / interval)
			slowness = 1
			if slow[upstream][index] {
				slowness = 3
			}
			left := float64(index+1)*interval - now
			if work*slowness <= left {
				return now + work*slowness - begin, slowness
			}
			work -= left / slowness
			now += left + 1e-9
		}
	}
	now := 0.0
	run := func(seconds int) {
		for range seconds * 10 {
			clock.Advance(100 * time.Millisecond)
			now += 0.1
			for i, upstream := range upstreams(count, 4) {
				elapsed, slowness := serve(i, now, 0.17*factors[i%3]*math.Exp(0.5*random.NormFloat64()))
				testBroker.RecordResult(upstream.ID, "vm", "a", broker.Result{Outcome: broker.Served, Elapsed: time.Duration(elapsed * float64(time.Second)), Slowness: slowness})
			}
		}
	}
	run(30)
	before := capacities()
	changes := 0
	for range 60 {
		run(1)
		after := capacities()
		for id, capacity := range after {
			if math.Abs(capacity/before[id]-1) > 0.05 {
				changes++
			}
		}
		before = after
	}
	t.Logf("%d changes", changes)
	assert.Assert(t, changes <= 6, "%d changes of 20 capacities in 60 s", changes)
	quick, late := before["u0"], before["u2"]
	assert.Assert(t, quick/late > 1.6 && quick/late < 3.2, "capacities %.1f and %.1f", quick, late)
}

// Guards against a cold upstream that is measured as a slow one: once it is warm, its
// capacity must be that of before, and the slowness of cold upstreams is measured.
func TestColdUpstreamIsNotMeasuredAsSlow(t *testing.T) {
	clock := newFakeClock()
	list := upstreams(2, 4)
	testBroker := newBroker(clock, list)
	report := func(id string, count int, elapsed time.Duration) {
		for range count {
			testBroker.RecordResult(id, "vm", "a", broker.Result{Outcome: broker.Served, Elapsed: elapsed})
		}
	}
	capacity := func() float64 {
		for range 20 { // offers load
			testBroker.Cancel(testBroker.Submit(newRequest(1)))
		}
		stats, _, _ := testBroker.Stats()
		for _, upstream := range stats {
			if upstream.Upstream.ID == "u0" {
				return upstream.Capacity
			}
		}
		return 0
	}
	report("u0", 60, 100*time.Millisecond)
	report("u1", 60, 100*time.Millisecond)
	warm := capacity()
	for round := range 8 {
		list[0].Warmup, list[0].CheckIn = 3*time.Second, int64(round+1)
		testBroker.SetUpstreams(list)
		assert.Assert(t, capacity() < 0.7*warm, "capacity %.1f while cold, %.1f before", capacity(), warm)
		report("u0", 30, 300*time.Millisecond)
		clock.Advance(4 * time.Second)
		report("u0", 30, 100*time.Millisecond)
	}
	assert.Assert(t, capacity() > 0.75*warm && capacity() < 1.25*warm, "capacity %.1f, %.1f before", capacity(), warm)
	list[0].CheckIn++
	testBroker.SetUpstreams(list)
	assert.Assert(t, capacity() < 0.45*warm, "capacity %.1f while cold with a measured slowness of 3, %.1f warm", capacity(), warm)
}

// Guards against a first partition that depends on the order in which upstreams register:
// without load, an upstream that has just appeared has the capacity of the others.
func TestFirstPartitionCountsColdUpstreamsAsWarm(t *testing.T) {
	clock := newFakeClock()
	bounded := newBoundedBroker(clock, upstreams(3, 4), nil)
	bounded.SetUpstreams(upstreams(4, 4))
	stats, _, _ := bounded.Stats()
	assert.Equal(t, len(bounded.WarmupStats().Cold), 1)
	for _, upstream := range stats {
		assert.Equal(t, upstream.Capacity, stats[0].Capacity)
	}
}
