package queuer

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// variant is the queue with another share rule or another admission rule.
type variant struct {
	*Queue[*job]
	choose  func(variant *variant) (Rank, bool) // nil keeps the queue's rule
	admit   func(variant *variant, item Item[*job], now time.Time) bool
	dequeue func(variant *variant, rank Rank, now time.Time) *node[*job]
	rules   *rules
	deficit [RankCount]float64
	turn    Rank
	usage   [RankCount]float64 // decayed slot time
	last    time.Time
	above   [RankCount]time.Time // CoDel: since when the wait is above target
	count   [RankCount]int
	nextAt  [RankCount]time.Time
}

func (variant *variant) Offer(item Item[*job]) error {
	if variant.admit == nil {
		return variant.Queue.Offer(item)
	}
	if !variant.admit(variant, item, variant.tick()) {
		return fmt.Errorf("refused")
	}
	variant.push(item, variant.clock.Now())
	return nil
}

func (variant *variant) Next() (Item[*job], bool) {
	for {
		now := variant.tick()
		variant.expire(now)
		choose := variant.choose
		if choose == nil {
			choose = queueRule
		}
		rank, ok := choose(variant)
		if !ok {
			return Item[*job]{}, false
		}
		first := variant.lines[rank].first
		if variant.dequeue != nil {
			if first = variant.dequeue(variant, rank, now); first == nil {
				continue
			}
		}
		variant.take(first)
		return first.item, true
	}
}

func queueRule(variant *variant) (Rank, bool) { return variant.Queue.choose(variant.clock.Now()) }

func (variant *variant) startable(rank Rank) bool {
	return variant.lines[rank].length > 0 && variant.free() > 0 && variant.allowed(rank, true, variant.clock.Now())
}

// strictRule serves the most urgent rank only.
func strictRule(variant *variant) (Rank, bool) {
	for rank := Rank(0); rank < RankCount; rank++ {
		if variant.startable(rank) {
			return rank, true
		}
	}
	return 0, false
}

// fifoRule serves the oldest item and withholds no slot.
func fifoRule(variant *variant) (Rank, bool) {
	best, found := Rank(0), false
	for rank := Rank(0); rank < RankCount; rank++ {
		line := variant.lines[rank]
		if line.length > 0 && variant.free() > 0 && (!found || line.first.item.Value.arrived.Before(variant.lines[best].first.item.Value.arrived)) {
			best, found = rank, true
		}
	}
	return best, found
}

// roundRobinRule is deficit round robin with weights 6, 2 and 2 and a quantum
// of 10 ms for each unit of weight.
func roundRobinRule(variant *variant) (Rank, bool) {
	weights := [RankCount]float64{0.06, 0.02, 0.02}
	ready := false
	for rank := Rank(0); rank < RankCount; rank++ {
		ready = ready || variant.startable(rank)
		if variant.lines[rank].length == 0 {
			variant.deficit[rank] = 0
		}
	}
	for ready {
		rank := variant.turn
		cost := trialService[rank].Seconds()
		if variant.startable(rank) && variant.deficit[rank] >= cost {
			variant.deficit[rank] -= cost
			return rank, true
		}
		variant.turn = (rank + 1) % RankCount
		if next := variant.turn; variant.startable(next) {
			variant.deficit[next] += weights[next]
		}
	}
	return 0, false
}

// boundedQueue admits while fewer than the limit wait.
func boundedQueue(limit int) func(*variant, Item[*job], time.Time) bool {
	return func(variant *variant, item Item[*job], _ time.Time) bool {
		return variant.lines[item.Rank].length < limit
	}
}

// newestFirst serves the newest item first while the oldest has waited longer
// than its rank's target.
func newestFirst(variant *variant, rank Rank, now time.Time) *node[*job] {
	line := variant.lines[rank]
	if now.Sub(line.first.item.Value.arrived) > variant.policies[rank].Target/2 {
		return line.last
	}
	return line.first
}

// coDel drops items on dequeue while the wait has been above a tenth of the
// target for an interval of the whole target.
func coDel(variant *variant, rank Rank, now time.Time) *node[*job] {
	first := variant.lines[rank].first
	target := variant.policies[rank].Target
	if now.Sub(first.item.Value.arrived) < target/10 || variant.lines[rank].length == 1 {
		variant.above[rank], variant.count[rank] = time.Time{}, 0
		return first
	}
	if variant.above[rank].IsZero() {
		variant.above[rank], variant.nextAt[rank] = now, now.Add(target)
	}
	if now.Before(variant.nextAt[rank]) {
		return first
	}
	variant.count[rank]++
	variant.nextAt[rank] = variant.nextAt[rank].Add(seconds(target.Seconds() / math.Sqrt(float64(variant.count[rank]))))
	variant.drop(first)
	return nil
}

// windowRule serves the rank first that lacks the largest part of its minimum
// share of a decayed window of 10 s.
func windowRule(variant *variant) (Rank, bool) {
	now := variant.clock.Now()
	keep := math.Exp(-now.Sub(variant.last).Seconds() / 10)
	variant.last = now
	best, most, found := Rank(0), 0.0, false
	for rank := Rank(0); rank < RankCount; rank++ {
		variant.usage[rank] = variant.usage[rank]*keep + float64(variant.inFlight[rank])*(1-keep)
		missing := max(0, 1-variant.usage[rank]/variant.due(rank))
		if variant.startable(rank) && (!found || missing > most) {
			best, most, found = rank, missing, true
		}
	}
	return best, found
}

type named struct {
	name  string
	build func(clock clocker.Clock, slots int) scheduler
}

func made(base variant) func(clock clocker.Clock, slots int) scheduler {
	return func(clock clocker.Clock, slots int) scheduler {
		variant := base
		variant.Queue = New[*job](clock, trialPolicies, slots)
		variant.last = clock.Now()
		if base.rules != nil {
			variant.Queue.rules = *base.rules
		}
		return &variant
	}
}

func ruled(change func(rules *rules)) func(clock clocker.Clock, slots int) scheduler {
	rules := defaultRules
	change(&rules)
	return made(variant{rules: &rules})
}

var never = rules{headroom: math.Inf(1), withheld: 1}

func variants() []named {
	unlimited := boundedQueue(maxLength)
	return []named{
		{"queue", made(variant{})},
		{"share:fifo", made(variant{choose: fifoRule, admit: unlimited})},
		{"share:strict", made(variant{choose: strictRule, rules: &never})},
		{"share:window", made(variant{choose: windowRule, rules: &never})},
		{"share:credit", made(variant{rules: &never})},
		{"share:roundRobin", made(variant{choose: roundRobinRule, rules: &never})},
		{"patience:0", ruled(func(rules *rules) { rules.patience = 0 })},
		{"patience:0.25", ruled(func(rules *rules) { rules.patience = 0.25 })},
		{"headroom:0.1", ruled(func(rules *rules) { rules.headroom = 0.1 })},
		{"headroom:0.3", ruled(func(rules *rules) { rules.headroom = 0.3 })},
		{"headroom:1", ruled(func(rules *rules) { rules.headroom = 1 })},
		{"calm:0", ruled(func(rules *rules) { rules.calm = 0 })},
		{"calm:1s", ruled(func(rules *rules) { rules.calm = time.Second })},
		{"calm:always", ruled(func(rules *rules) { rules.calm = 1000000 * time.Hour })},
		{"withheld:2", ruled(func(rules *rules) { rules.withheld = 2 })},
		{"admit:bounded100", made(variant{admit: boundedQueue(100)})},
		{"admit:newestFirst", made(variant{admit: unlimited, dequeue: newestFirst})},
		{"admit:coDel", made(variant{admit: unlimited, dequeue: coDel})},
	}
}

const (
	trialWarmUp   = 20 * time.Second
	trialRecovery = 10 * time.Second
)

// floods returns the phases of the benchmarks: a warm-up, a normal phase, one phase for each flooded rank, the
// time for recovery and a normal phase.
func floods(normal [RankCount]float64, ranks ...Rank) []phase {
	phases := []phase{{trialWarmUp, normal}, {200 * time.Second, normal}}
	for _, rank := range ranks {
		load, length := normal, 200*time.Second
		load[rank] = trialFlood
		if rank == Lookup {
			length = 40 * time.Second
		}
		phases = append(phases, phase{length, load})
	}
	return append(phases, phase{trialRecovery, normal}, phase{100 * time.Second, normal})
}

// BenchmarkTrial prints what each rule gives each rank before, in and after a
// flood, over five seeds. Run it with -bench Trial -benchtime 1x -v.
func BenchmarkTrial(b *testing.B) {
	loads := []struct {
		name string
		load [RankCount]float64
	}{
		{"normal", trialNormal},
		{"low", [RankCount]float64{0.02, 0.01, 0.07}},
		{"high", [RankCount]float64{0.3, 0.1, 0.07}},
	}
	for _, slots := range []int{2, 3} {
		for _, load := range loads {
			for _, flooded := range [][]Rank{{Upload}, {Lookup}, {Upload, Lookup}} {
				for _, variant := range variants() {
					b.Run(fmt.Sprintf("slots=%d/load=%s/flood=%v/%s", slots, load.name, flooded, variant.name), func(b *testing.B) {
						var results [][RankCount]result
						phases := floods(load.load, flooded...)
						for b.Loop() {
							results = runSeeds(trialSeeds, slots, phases, variant.build)
						}
						b.Logf("%-17s normal  %s", variant.name, describe(phases[1], slots, results[1]))
						for number := 2; number < len(phases)-2; number++ {
							b.Logf("%-17s flood   %s | lookup p99 x%.2f", variant.name, describe(phases[number], slots, results[number]),
								float64(results[number][Lookup].p99())/float64(results[1][Lookup].p99()))
						}
						after := results[len(phases)-1]
						b.Logf("%-17s after   %s", variant.name, describe(phases[len(phases)-1], slots, after))
					})
				}
			}
		}
	}
}

const trialSeeds = 5

// runSeeds adds up the results of the first seeds.
func runSeeds(seeds uint64, slots int, phases []phase, build func(clock clocker.Clock, slots int) scheduler) [][RankCount]result {
	var sum [][RankCount]result
	for seed := range seeds {
		results := runTrial(seed+1, slots, phases, build)
		if sum == nil {
			sum = results
			continue
		}
		for number := range results {
			for rank, result := range results[number] {
				sum[number][rank].add(result)
			}
		}
	}
	return sum
}

func (result *result) add(other result) {
	result.offered += other.offered
	result.good += other.good
	result.refused += other.refused
	result.begun += other.begun
	result.slotTime += other.slotTime
	result.lastBad = max(result.lastBad, other.lastBad)
	result.latency.Merge(other.latency)
}

// share is the part of the slot time of the phase that the rank used.
func (result *result) share(seeds int, phase phase, slots int) float64 {
	return result.slotTime.Seconds() / phase.length.Seconds() / float64(slots*seeds)
}

func describe(phase phase, slots int, results [RankCount]result) string {
	line := ""
	for rank, result := range results {
		line += fmt.Sprintf("| %.1s good %.3f p99 %5.3gs share %.3f bad %4.3gs ", Rank(rank), result.goodput(),
			result.p99().Seconds(), result.share(trialSeeds, phase, slots), result.lastBad.Seconds())
	}
	return line
}

// BenchmarkOccupation prints what shorter uploads at the same load change.
func BenchmarkOccupation(b *testing.B) {
	upload := trialService[Upload]
	defer func() { trialService[Upload] = upload }()
	for _, service := range []time.Duration{upload, upload / 10, upload / 100} {
		trialService[Upload] = service
		for _, slots := range []int{2, 3} {
			for _, variant := range []named{{"queue", made(variant{})}, {"share:strict", made(variant{choose: strictRule, rules: &never})}} {
				b.Run(fmt.Sprintf("upload=%v/slots=%d/%s", service, slots, variant.name), func(b *testing.B) {
					var results [][RankCount]result
					for b.Loop() {
						results = runSeeds(trialSeeds, slots, floods(trialNormal, Upload), variant.build)
					}
					normal, flood := results[1][Lookup].p99(), results[2][Lookup].p99()
					b.Logf("lookup p99 %v normal, %v in the flood, x%.2f", normal, flood, float64(flood)/float64(normal))
				})
			}
		}
	}
}
