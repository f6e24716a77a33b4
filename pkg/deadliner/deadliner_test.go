package deadliner_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/deadliner"
)

const (
	target   = 1200 * time.Millisecond
	deadline = 3 * time.Second
)

// simulation sends attempts of one class, 20 in each second.
type simulation struct {
	clock     *clocker.Fake
	deadliner *deadliner.Deadliner
	random    *rand.Rand
}

func newSimulation() *simulation {
	clock := clocker.NewFake(time.Unix(1_000_000, 0))
	return &simulation{clock: clock, deadliner: deadliner.New(clock), random: rand.New(rand.NewPCG(1, 1))}
}

// run sends attempts with lognormal service times around the median, a tail of 2 in 100,
// and the given share of deaf connections. It returns how many were cut off of the deaf ones
// and of the others.
func (simulation *simulation) run(count int, median time.Duration, deafShare float64) (deafCut, deaf, servedCut, others int) {
	for range count {
		simulation.clock.Advance(50 * time.Millisecond)
		elapsed := time.Duration(float64(median) * math.Exp(0.4*simulation.random.NormFloat64()))
		if simulation.random.Float64() < 0.02 {
			elapsed *= 5
		}
		bound := simulation.deadliner.Bound(target, deadline)
		cut := bound.Timeout > 0 && elapsed > bound.Timeout
		switch {
		case simulation.random.Float64() < deafShare:
			deaf++
			if bound.Timeout > 0 {
				deafCut++
			}
		case cut:
			servedCut++
			others++
		default:
			others++
			simulation.deadliner.RecordServed(bound, elapsed)
		}
	}
	return deafCut, deaf, servedCut, others
}

// Guards against deaf connections that are held until the deadline, and against cutting
// off more than 2 in 100 attempts that would have been served, with a margin for chance.
func TestDeafConnectionsAreCutOff(t *testing.T) {
	simulation := newSimulation()
	simulation.run(200, 200*time.Millisecond, 0)
	for _, deafShare := range []float64{0, 0.05, 0.4} {
		deafCut, deaf, servedCut, others := simulation.run(4000, 200*time.Millisecond, deafShare)
		assert.Assert(t, float64(deafCut) >= 0.9*float64(deaf), "%d of %d deaf attempts", deafCut, deaf)
		assert.Assert(t, float64(servedCut) <= 0.03*float64(others), "%d of %d served attempts", servedCut, others)
	}
}

// Guards against a slow-down that stays unnoticed because all slow responses are cut off,
// so that each request is sent again without need.
func TestSlowUpstreamsAreNotCutOffForLong(t *testing.T) {
	simulation := newSimulation()
	simulation.run(400, 200*time.Millisecond, 0)
	simulation.run(600, 1500*time.Millisecond, 0) // 30 s to notice
	_, _, servedCut, others := simulation.run(2000, 1500*time.Millisecond, 0)
	assert.Assert(t, float64(servedCut) <= 0.03*float64(others), "%d of %d served attempts", servedCut, others)
}

// Guards against a bound without measurements, without time for another attempt, and while
// the retry budget allows no other attempt.
func TestNoBound(t *testing.T) {
	simulation := newSimulation()
	assert.Equal(t, simulation.deadliner.Bound(target, deadline), deadliner.Bound{})
	for range 100 {
		simulation.deadliner.RecordServed(deadliner.Bound{}, 200*time.Millisecond)
	}
	simulation.clock.Advance(2 * time.Second)
	assert.Equal(t, simulation.deadliner.Bound(target, deadline).Timeout, 800*time.Millisecond)
	assert.Equal(t, simulation.deadliner.Bound(0, deadline).Timeout, 2600*time.Millisecond)
	assert.Equal(t, simulation.deadliner.Bound(0, 399*time.Millisecond), deadliner.Bound{})
	simulation.deadliner.RecordBudgetExhausted()
	assert.Equal(t, simulation.deadliner.Bound(target, deadline), deadliner.Bound{})
	simulation.clock.Advance(time.Second)
	assert.Assert(t, simulation.deadliner.Bound(target, deadline).Timeout > 0)
	simulation.clock.Advance(2 * time.Minute)
	assert.Equal(t, simulation.deadliner.Bound(target, deadline), deadliner.Bound{})
}
