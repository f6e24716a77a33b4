package queuer

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// The trial is a discrete-event run of one upstream with Poisson arrivals. It
// moves a fake clock, so that an hour of load takes well under a second.

var (
	trialService  = [RankCount]time.Duration{3 * time.Millisecond, 10 * time.Millisecond, 2 * time.Second}
	trialDeadline = [RankCount]time.Duration{100 * time.Millisecond, time.Second, time.Minute}
	trialPolicies = [RankCount]Policy{
		{Target: 50 * time.Millisecond, MinimumShare: 0.3},
		{Target: 500 * time.Millisecond, MinimumShare: 0.1},
		{Target: 10 * time.Second, MinimumShare: 0.1},
	}
	// trialNormal is the load of each rank as a fraction of all slot time.
	trialNormal = [RankCount]float64{0.2, 0.08, 0.07}
)

const (
	trialFlood = 10
	trialPoll  = 100 * time.Millisecond
)

// scheduler is what the trial drives: the queue or a variant of it.
type scheduler interface {
	Offer(item Item[*job]) error
	Next() (Item[*job], bool)
	Done(rank Rank, service time.Duration)
	Expired() []*job
}

type job struct {
	phase   int
	rank    Rank
	arrived time.Time
	started time.Time
	ends    time.Time
	service time.Duration
}

type phase struct {
	length time.Duration
	load   [RankCount]float64
}

// result is what one rank received in one phase, by time of arrival.
type result struct {
	offered, good, refused, begun int
	latency                       *hdrhistogram.Histogram
	slotTime                      time.Duration
	lastBad                       time.Duration // after the start of the phase
}

func (result *result) goodput() float64 {
	return float64(result.good) / float64(max(result.offered, 1))
}

func (result *result) p99() time.Duration {
	return time.Duration(result.latency.ValueAtQuantile(99)) * time.Microsecond
}

type trial struct {
	clock   *clocker.Fake
	queue   scheduler
	random  *rand.Rand
	slots   int
	phases  []phase
	starts  []time.Time
	results [][RankCount]result
	running endings
}

func runTrial(seed uint64, slots int, phases []phase, build func(clock clocker.Clock, slots int) scheduler) [][RankCount]result {
	clock := clocker.NewFake(time.Unix(0, 0))
	trial := &trial{clock: clock, queue: build(clock, slots), random: rand.New(rand.NewPCG(seed, seed)), slots: slots, phases: phases}
	for range phases {
		var results [RankCount]result
		for rank := range results {
			results[rank].latency = hdrhistogram.New(1, 120_000_000, 3)
		}
		trial.results = append(trial.results, results)
	}
	for number := range phases {
		trial.runPhase(number)
	}
	trial.phases = append(trial.phases, phase{length: 70 * time.Second}) // the longest deadline has passed
	trial.results = append(trial.results, trial.results[0])
	trial.runPhase(len(phases))
	return trial.results[:len(phases)]
}

func (trial *trial) runPhase(number int) {
	start := trial.clock.Now()
	trial.starts = append(trial.starts, start)
	end := start.Add(trial.phases[number].length)
	var arrivals [RankCount]time.Time
	for rank := range arrivals {
		arrivals[rank] = trial.nextArrival(start, number, rank)
	}
	poll := start
	for {
		at, rank := poll, -1
		for candidate, time := range arrivals {
			if time.Before(at) {
				at, rank = time, candidate
			}
		}
		if len(trial.running) > 0 && trial.running[0].ends.Before(at) {
			at, rank = trial.running[0].ends, -1
		}
		if at.After(end) {
			trial.step(end)
			return
		}
		if rank >= 0 {
			trial.clock.Advance(at.Sub(trial.clock.Now()))
			arrivals[rank] = trial.nextArrival(at, number, rank)
			if !trial.arrive(number, Rank(rank), at) {
				continue
			}
		}
		if !poll.After(at) {
			poll = poll.Add(trialPoll)
			trial.expire()
		}
		trial.step(at)
	}
}

func (trial *trial) nextArrival(from time.Time, number, rank int) time.Time {
	rate := trial.phases[number].load[rank] * float64(trial.slots) / trialService[rank].Seconds()
	if rate <= 0 {
		return from.Add(1000 * time.Hour)
	}
	return from.Add(seconds(trial.random.ExpFloat64() / rate))
}

// arrive reports whether the queue accepted the job.
func (trial *trial) arrive(number int, rank Rank, at time.Time) bool {
	service := seconds(trialService[rank].Seconds() * (0.5 + trial.random.Float64()))
	arrived := &job{phase: number, rank: rank, arrived: at, service: service}
	result := &trial.results[number][rank]
	result.offered++
	if trial.queue.Offer(Item[*job]{Value: arrived, Rank: rank, Deadline: at.Add(trialDeadline[rank])}) != nil {
		result.refused++
		trial.bad(arrived)
		return false
	}
	return true
}

func (trial *trial) bad(failed *job) {
	trial.results[failed.phase][failed.rank].lastBad = max(trial.results[failed.phase][failed.rank].lastBad, failed.arrived.Sub(trial.starts[failed.phase]))
}

// step moves to the time, ends what ends then, and starts what may start.
func (trial *trial) step(at time.Time) {
	trial.clock.Advance(at.Sub(trial.clock.Now()))
	for len(trial.running) > 0 && !trial.running[0].ends.After(at) {
		trial.end(heap.Pop(&trial.running).(*job))
	}
	for {
		item, ok := trial.queue.Next()
		if !ok {
			break
		}
		started := item.Value
		started.started, started.ends = at, at.Add(started.service)
		trial.results[started.phase][started.rank].begun++
		heap.Push(&trial.running, started)
	}
}

func (trial *trial) expire() {
	for _, late := range trial.queue.Expired() {
		trial.bad(late)
	}
}

func (trial *trial) end(ended *job) {
	trial.queue.Done(ended.rank, ended.service)
	result := &trial.results[ended.phase][ended.rank]
	latency := ended.ends.Sub(ended.arrived)
	_ = result.latency.RecordValue(latency.Microseconds())
	if latency <= trialDeadline[ended.rank] {
		result.good++
	} else {
		trial.bad(ended)
	}
	// Slot time belongs to the phase in which it was used.
	number := len(trial.starts) - 1
	start := trial.starts[number]
	trial.results[number][ended.rank].slotTime += ended.ends.Sub(later(ended.started, start))
	for number > 0 && ended.started.Before(start) {
		number--
		trial.results[number][ended.rank].slotTime += start.Sub(later(ended.started, trial.starts[number]))
		start = trial.starts[number]
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// endings is a heap of running jobs, first to end first.
type endings []*job

func (endings endings) Len() int           { return len(endings) }
func (endings endings) Less(i, j int) bool { return endings[i].ends.Before(endings[j].ends) }
func (endings endings) Swap(i, j int)      { endings[i], endings[j] = endings[j], endings[i] }
func (endings *endings) Push(x any)        { *endings = append(*endings, x.(*job)) }
func (endings *endings) Pop() any {
	last := (*endings)[len(*endings)-1]
	*endings = (*endings)[:len(*endings)-1]
	return last
}
