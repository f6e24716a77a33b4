package queuer

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// The simulation is a discrete-event simulation of one upstream with Poisson arrivals. It
// advances a fake clock, so that an hour of load takes well under a second.

var (
	meanServiceTimes  = [RankCount]time.Duration{3 * time.Millisecond, 10 * time.Millisecond, 2 * time.Second}
	deadlineAfter     = [RankCount]time.Duration{100 * time.Millisecond, time.Second, time.Minute}
	simulatedPolicies = [RankCount]Policy{
		{Target: 50 * time.Millisecond, MinimumShare: 0.3},
		{Target: 500 * time.Millisecond, MinimumShare: 0.1},
		{Target: 10 * time.Second, MinimumShare: 0.1},
	}
	// normalLoad is the slot time that each rank demands, as a fraction of all slot time.
	normalLoad = [RankCount]float64{0.2, 0.08, 0.07}
)

const (
	// floodLoad is the load of a flooded rank, ten times the capacity of all slots.
	floodLoad    = 10
	pollInterval = 100 * time.Millisecond
)

// scheduler is the simulated queue or a variant of it.
type scheduler interface {
	Offer(item Item[*job]) error
	Next() (Item[*job], bool)
	Done(rank Rank, service time.Duration)
	Expired() []*job
}

type job struct {
	phase     int
	rank      Rank
	arrivedAt time.Time
	startedAt time.Time
	endsAt    time.Time
	service   time.Duration
}

type phase struct {
	duration time.Duration
	load     [RankCount]float64
}

// result holds the outcomes of the jobs of one rank that arrived in one phase, and the slot
// time that the rank used in the phase.
type result struct {
	offered, onTime, refused, started int
	latency                           *hdrhistogram.Histogram
	slotTime                          time.Duration
	lastFailure                       time.Duration // arrival of the last job that failed or was late, since the start of the phase
}

func (result *result) goodput() float64 {
	return float64(result.onTime) / float64(max(result.offered, 1))
}

func (result *result) p99() time.Duration {
	return time.Duration(result.latency.ValueAtQuantile(99)) * time.Microsecond
}

// simulation runs phases of load against a scheduler.
type simulation struct {
	clock   *clocker.Fake
	queue   scheduler
	random  *rand.Rand
	slots   int
	phases  []phase
	starts  []time.Time
	results [][RankCount]result
	running completionHeap
}

// simulate runs the phases with the given seed and returns the results by phase and rank.
// After the last phase, it runs without load until all deadlines have passed.
func simulate(seed uint64, slots int, phases []phase, build func(clock clocker.Clock, slots int) scheduler) [][RankCount]result {
	clock := clocker.NewFake(time.Unix(0, 0))
	simulation := &simulation{clock: clock, queue: build(clock, slots), random: rand.New(rand.NewPCG(seed, seed)), slots: slots, phases: phases}
	for range phases {
		var results [RankCount]result
		for rank := range results {
			results[rank].latency = hdrhistogram.New(1, 120_000_000, 3)
		}
		simulation.results = append(simulation.results, results)
	}
	for phaseIndex := range phases {
		simulation.runPhase(phaseIndex)
	}
	simulation.phases = append(simulation.phases, phase{duration: 70 * time.Second}) // longer than the longest deadline
	simulation.results = append(simulation.results, simulation.results[0])
	simulation.runPhase(len(phases))
	return simulation.results[:len(phases)]
}

func (simulation *simulation) runPhase(phaseIndex int) {
	start := simulation.clock.Now()
	simulation.starts = append(simulation.starts, start)
	end := start.Add(simulation.phases[phaseIndex].duration)
	var arrivals [RankCount]time.Time
	for rank := range arrivals {
		arrivals[rank] = simulation.nextArrival(start, phaseIndex, rank)
	}
	nextPoll := start
	for {
		at, rank := nextPoll, -1
		for candidate, arrival := range arrivals {
			if arrival.Before(at) {
				at, rank = arrival, candidate
			}
		}
		if len(simulation.running) > 0 && simulation.running[0].endsAt.Before(at) {
			at, rank = simulation.running[0].endsAt, -1
		}
		if at.After(end) {
			simulation.advanceTo(end)
			return
		}
		if rank >= 0 {
			simulation.clock.Advance(at.Sub(simulation.clock.Now()))
			arrivals[rank] = simulation.nextArrival(at, phaseIndex, rank)
			if !simulation.offerJob(phaseIndex, Rank(rank), at) {
				continue
			}
		}
		if !nextPoll.After(at) {
			nextPoll = nextPoll.Add(pollInterval)
			simulation.expire()
		}
		simulation.advanceTo(at)
	}
}

func (simulation *simulation) nextArrival(from time.Time, phaseIndex, rank int) time.Time {
	rate := simulation.phases[phaseIndex].load[rank] * float64(simulation.slots) / meanServiceTimes[rank].Seconds()
	if rate <= 0 {
		return from.Add(1000 * time.Hour)
	}
	return from.Add(toDuration(simulation.random.ExpFloat64() / rate))
}

// offerJob offers a new job of the rank and reports whether it was admitted.
func (simulation *simulation) offerJob(phaseIndex int, rank Rank, at time.Time) bool {
	service := toDuration(meanServiceTimes[rank].Seconds() * (0.5 + simulation.random.Float64()))
	arrived := &job{phase: phaseIndex, rank: rank, arrivedAt: at, service: service}
	result := &simulation.results[phaseIndex][rank]
	result.offered++
	if simulation.queue.Offer(Item[*job]{Value: arrived, Rank: rank, Deadline: at.Add(deadlineAfter[rank])}) != nil {
		result.refused++
		simulation.recordFailure(arrived)
		return false
	}
	return true
}

// recordFailure records a job that was refused, expired or completed after its deadline.
func (simulation *simulation) recordFailure(failed *job) {
	simulation.results[failed.phase][failed.rank].lastFailure = max(simulation.results[failed.phase][failed.rank].lastFailure, failed.arrivedAt.Sub(simulation.starts[failed.phase]))
}

// advanceTo advances the clock, completes the jobs that are due and starts those that may
// start.
func (simulation *simulation) advanceTo(at time.Time) {
	simulation.clock.Advance(at.Sub(simulation.clock.Now()))
	for len(simulation.running) > 0 && !simulation.running[0].endsAt.After(at) {
		simulation.complete(heap.Pop(&simulation.running).(*job))
	}
	for {
		item, ok := simulation.queue.Next()
		if !ok {
			break
		}
		started := item.Value
		started.startedAt, started.endsAt = at, at.Add(started.service)
		simulation.results[started.phase][started.rank].started++
		heap.Push(&simulation.running, started)
	}
}

func (simulation *simulation) expire() {
	for _, expired := range simulation.queue.Expired() {
		simulation.recordFailure(expired)
	}
}

func (simulation *simulation) complete(completed *job) {
	simulation.queue.Done(completed.rank, completed.service)
	result := &simulation.results[completed.phase][completed.rank]
	latency := completed.endsAt.Sub(completed.arrivedAt)
	_ = result.latency.RecordValue(latency.Microseconds())
	if latency <= deadlineAfter[completed.rank] {
		result.onTime++
	} else {
		simulation.recordFailure(completed)
	}
	// Slot time counts in the phase in which it was used, not in the one of the arrival.
	phaseIndex := len(simulation.starts) - 1
	start := simulation.starts[phaseIndex]
	simulation.results[phaseIndex][completed.rank].slotTime += completed.endsAt.Sub(later(completed.startedAt, start))
	for phaseIndex > 0 && completed.startedAt.Before(start) {
		phaseIndex--
		simulation.results[phaseIndex][completed.rank].slotTime += start.Sub(later(completed.startedAt, simulation.starts[phaseIndex]))
		start = simulation.starts[phaseIndex]
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// completionHeap is a min-heap of running jobs by time of completion.
type completionHeap []*job

func (jobs completionHeap) Len() int           { return len(jobs) }
func (jobs completionHeap) Less(i, j int) bool { return jobs[i].endsAt.Before(jobs[j].endsAt) }
func (jobs completionHeap) Swap(i, j int)      { jobs[i], jobs[j] = jobs[j], jobs[i] }
func (jobs *completionHeap) Push(x any)        { *jobs = append(*jobs, x.(*job)) }
func (jobs *completionHeap) Pop() any {
	last := (*jobs)[len(*jobs)-1]
	*jobs = (*jobs)[:len(*jobs)-1]
	return last
}
