package queuer

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// variant is a Queue with another rule for selecting the rank, the item of the rank, or the
// items to admit. A nil function keeps the rule of the Queue.
type variant struct {
	*Queue[*job]
	selectRank       func(variant *variant) (Rank, bool)
	admit            func(variant *variant, item Item[*job], now time.Time) bool
	selectItem       func(variant *variant, rank Rank, now time.Time) *node[*job]
	parameters       *parameters
	deficits         [RankCount]float64
	nextRank         Rank
	usage            [RankCount]float64 // windowRule: moving average of the slots in use
	usageUpdatedAt   time.Time
	aboveTargetSince [RankCount]time.Time // controlledDelay: since when the wait has been too long
	dropCount        [RankCount]int
	nextDropAt       [RankCount]time.Time
}

func (variant *variant) Offer(item Item[*job]) error {
	if variant.admit == nil {
		return variant.Queue.Offer(item)
	}
	if !variant.admit(variant, item, variant.updateAccounting()) {
		return fmt.Errorf("refused")
	}
	variant.enqueue(item, variant.clock.Now())
	return nil
}

func (variant *variant) Next() (Item[*job], bool) {
	for {
		now := variant.updateAccounting()
		variant.collectExpired(now)
		selectRank := variant.selectRank
		if selectRank == nil {
			selectRank = defaultRule
		}
		rank, ok := selectRank(variant)
		if !ok {
			return Item[*job]{}, false
		}
		first := variant.fifos[rank].first
		if variant.selectItem != nil {
			if first = variant.selectItem(variant, rank, now); first == nil {
				continue
			}
		}
		variant.dispatch(first)
		return first.item, true
	}
}

func defaultRule(variant *variant) (Rank, bool) { return variant.Queue.selectRank(variant.clock.Now()) }

func (variant *variant) canStart(rank Rank) bool {
	return variant.fifos[rank].length > 0 && variant.freeSlots() > 0 && variant.mayStart(rank, true, variant.clock.Now())
}

// strictRule serves the most urgent rank that may start.
func strictRule(variant *variant) (Rank, bool) {
	for rank := Rank(0); rank < RankCount; rank++ {
		if variant.canStart(rank) {
			return rank, true
		}
	}
	return 0, false
}

// fifoRule serves the oldest item of all ranks and reserves no slot.
func fifoRule(variant *variant) (Rank, bool) {
	best, found := Rank(0), false
	for rank := Rank(0); rank < RankCount; rank++ {
		fifo := variant.fifos[rank]
		if fifo.length > 0 && variant.freeSlots() > 0 && (!found || fifo.first.item.Value.arrivedAt.Before(variant.fifos[best].first.item.Value.arrivedAt)) {
			best, found = rank, true
		}
	}
	return best, found
}

// roundRobinRule is deficit round robin with weights 6, 2 and 2 and a quantum of 10 ms for
// each unit of weight.
func roundRobinRule(variant *variant) (Rank, bool) {
	weights := [RankCount]float64{0.06, 0.02, 0.02}
	ready := false
	for rank := Rank(0); rank < RankCount; rank++ {
		ready = ready || variant.canStart(rank)
		if variant.fifos[rank].length == 0 {
			variant.deficits[rank] = 0
		}
	}
	for ready {
		rank := variant.nextRank
		cost := meanServiceTimes[rank].Seconds()
		if variant.canStart(rank) && variant.deficits[rank] >= cost {
			variant.deficits[rank] -= cost
			return rank, true
		}
		variant.nextRank = (rank + 1) % RankCount
		if next := variant.nextRank; variant.canStart(next) {
			variant.deficits[next] += weights[next]
		}
	}
	return 0, false
}

// lengthLimit returns an admission rule that admits an item while fewer than limit items of
// its rank wait.
func lengthLimit(limit int) func(*variant, Item[*job], time.Time) bool {
	return func(variant *variant, item Item[*job], _ time.Time) bool {
		return variant.fifos[item.Rank].length < limit
	}
}

// adaptiveLIFO selects the newest item while the oldest has waited longer than half the
// rank's target, and the oldest otherwise.
func adaptiveLIFO(variant *variant, rank Rank, now time.Time) *node[*job] {
	fifo := variant.fifos[rank]
	if now.Sub(fifo.first.item.Value.arrivedAt) > variant.policies[rank].Target/2 {
		return fifo.last
	}
	return fifo.first
}

// controlledDelay is the CoDel algorithm with a tenth of the rank's target as CoDel's target
// and the rank's target as the interval. It returns nil after dropping an item.
func controlledDelay(variant *variant, rank Rank, now time.Time) *node[*job] {
	first := variant.fifos[rank].first
	target := variant.policies[rank].Target
	if now.Sub(first.item.Value.arrivedAt) < target/10 || variant.fifos[rank].length == 1 {
		variant.aboveTargetSince[rank], variant.dropCount[rank] = time.Time{}, 0
		return first
	}
	if variant.aboveTargetSince[rank].IsZero() {
		variant.aboveTargetSince[rank], variant.nextDropAt[rank] = now, now.Add(target)
	}
	if now.Before(variant.nextDropAt[rank]) {
		return first
	}
	variant.dropCount[rank]++
	variant.nextDropAt[rank] = variant.nextDropAt[rank].Add(toDuration(target.Seconds() / math.Sqrt(float64(variant.dropCount[rank]))))
	variant.unlink(first)
	return nil
}

// windowRule serves the rank that lacks the largest fraction of its minimum share, by a
// moving average with a time constant of 10 s.
func windowRule(variant *variant) (Rank, bool) {
	now := variant.clock.Now()
	decay := math.Exp(-now.Sub(variant.usageUpdatedAt).Seconds() / 10)
	variant.usageUpdatedAt = now
	best, most, found := Rank(0), 0.0, false
	for rank := Rank(0); rank < RankCount; rank++ {
		variant.usage[rank] = variant.usage[rank]*decay + float64(variant.inFlight[rank])*(1-decay)
		lacking := max(0, 1-variant.usage[rank]/variant.minimumSlots(rank))
		if variant.canStart(rank) && (!found || lacking > most) {
			best, most, found = rank, lacking, true
		}
	}
	return best, found
}

// namedVariant is a variant with its name in the output of benchmarks.
type namedVariant struct {
	name  string
	build func(clock clocker.Clock, slots int) scheduler
}

// builderOf returns a function that builds a scheduler with the rules of base.
func builderOf(base variant) func(clock clocker.Clock, slots int) scheduler {
	return func(clock clocker.Clock, slots int) scheduler {
		variant := base
		variant.Queue = New[*job](clock, simulatedPolicies, slots)
		variant.usageUpdatedAt = clock.Now()
		if base.parameters != nil {
			variant.Queue.parameters = *base.parameters
		}
		return &variant
	}
}

// withParameters returns a function that builds a Queue with changed parameters.
func withParameters(change func(custom *parameters)) func(clock clocker.Clock, slots int) scheduler {
	custom := defaultParameters
	change(&custom)
	return builderOf(variant{parameters: &custom})
}

// unthrottled lets uploads use all slots but one at any time, and lets ranks that are owed
// slot time overtake others without waiting.
var unthrottled = parameters{maxUrgentUtilization: math.Inf(1), reservedSlots: 1}

// variants returns the compared variants under the names that docs/decisions.md uses:
// patience is waitFraction, headroom is maxUrgentUtilization, calm is refusalCooldown and
// withheld is reservedSlots.
func variants() []namedVariant {
	unlimited := lengthLimit(maxLength)
	return []namedVariant{
		{"queue", builderOf(variant{})},
		{"share:fifo", builderOf(variant{selectRank: fifoRule, admit: unlimited})},
		{"share:strict", builderOf(variant{selectRank: strictRule, parameters: &unthrottled})},
		{"share:window", builderOf(variant{selectRank: windowRule, parameters: &unthrottled})},
		{"share:credit", builderOf(variant{parameters: &unthrottled})},
		{"share:roundRobin", builderOf(variant{selectRank: roundRobinRule, parameters: &unthrottled})},
		{"patience:0", withParameters(func(custom *parameters) { custom.waitFraction = 0 })},
		{"patience:0.25", withParameters(func(custom *parameters) { custom.waitFraction = 0.25 })},
		{"headroom:0.1", withParameters(func(custom *parameters) { custom.maxUrgentUtilization = 0.1 })},
		{"headroom:0.3", withParameters(func(custom *parameters) { custom.maxUrgentUtilization = 0.3 })},
		{"headroom:1", withParameters(func(custom *parameters) { custom.maxUrgentUtilization = 1 })},
		{"calm:0", withParameters(func(custom *parameters) { custom.refusalCooldown = 0 })},
		{"calm:1s", withParameters(func(custom *parameters) { custom.refusalCooldown = time.Second })},
		{"calm:always", withParameters(func(custom *parameters) { custom.refusalCooldown = 1000000 * time.Hour })},
		{"withheld:2", withParameters(func(custom *parameters) { custom.reservedSlots = 2 })},
		{"admit:bounded100", builderOf(variant{admit: lengthLimit(100)})},
		{"admit:newestFirst", builderOf(variant{admit: unlimited, selectItem: adaptiveLIFO})},
		{"admit:coDel", builderOf(variant{admit: unlimited, selectItem: controlledDelay})},
	}
}

const (
	warmUpDuration   = 20 * time.Second
	recoveryDuration = 10 * time.Second
)

// floodPhases returns the phases of the benchmarks: a warm-up, a normal phase, one flood
// phase for each of ranks, a recovery and another normal phase.
func floodPhases(normal [RankCount]float64, ranks ...Rank) []phase {
	phases := []phase{{warmUpDuration, normal}, {200 * time.Second, normal}}
	for _, rank := range ranks {
		load, duration := normal, 200*time.Second
		load[rank] = floodLoad
		if rank == Lookup {
			duration = 40 * time.Second
		}
		phases = append(phases, phase{duration, load})
	}
	return append(phases, phase{recoveryDuration, normal}, phase{100 * time.Second, normal})
}

// BenchmarkTrial simulates all variants before, during and after floods with five seeds and
// prints the results of each rank. Run it with -bench Trial -benchtime 1x -v.
func BenchmarkTrial(b *testing.B) {
	loads := []struct {
		name string
		load [RankCount]float64
	}{
		{"normal", normalLoad},
		{"low", [RankCount]float64{0.02, 0.01, 0.07}},
		{"high", [RankCount]float64{0.3, 0.1, 0.07}},
	}
	for _, slots := range []int{2, 3} {
		for _, load := range loads {
			for _, flooded := range [][]Rank{{Upload}, {Lookup}, {Upload, Lookup}} {
				for _, variant := range variants() {
					b.Run(fmt.Sprintf("slots=%d/load=%s/flood=%v/%s", slots, load.name, flooded, variant.name), func(b *testing.B) {
						var results [][RankCount]result
						phases := floodPhases(load.load, flooded...)
						for b.Loop() {
							results = runSeeds(benchmarkSeeds, slots, phases, variant.build)
						}
						b.Logf("%-17s normal  %s", variant.name, formatResults(phases[1], slots, results[1]))
						for phaseIndex := 2; phaseIndex < len(phases)-2; phaseIndex++ {
							b.Logf("%-17s flood   %s | lookup p99 ratio %.2f", variant.name, formatResults(phases[phaseIndex], slots, results[phaseIndex]),
								float64(results[phaseIndex][Lookup].p99())/float64(results[1][Lookup].p99()))
						}
						after := results[len(phases)-1]
						b.Logf("%-17s after   %s", variant.name, formatResults(phases[len(phases)-1], slots, after))
					})
				}
			}
		}
	}
}

const benchmarkSeeds = 5

// runSeeds simulates the phases with the seeds 1 to seeds and returns the sum of the results.
func runSeeds(seeds uint64, slots int, phases []phase, build func(clock clocker.Clock, slots int) scheduler) [][RankCount]result {
	var sum [][RankCount]result
	for seed := range seeds {
		results := simulate(seed+1, slots, phases, build)
		if sum == nil {
			sum = results
			continue
		}
		for phaseIndex := range results {
			for rank, result := range results[phaseIndex] {
				sum[phaseIndex][rank].add(result)
			}
		}
	}
	return sum
}

func (result *result) add(other result) {
	result.offered += other.offered
	result.onTime += other.onTime
	result.refused += other.refused
	result.started += other.started
	result.slotTime += other.slotTime
	result.lastFailure = max(result.lastFailure, other.lastFailure)
	result.latency.Merge(other.latency)
}

// share returns the fraction of the slot time of the phase that the rank used.
func (result *result) share(seeds int, phase phase, slots int) float64 {
	return result.slotTime.Seconds() / phase.duration.Seconds() / float64(slots*seeds)
}

func formatResults(phase phase, slots int, results [RankCount]result) string {
	text := ""
	for rank, result := range results {
		text += fmt.Sprintf("| %.1s goodput %.3f p99 %5.3gs share %.3f last failure %4.3gs ", Rank(rank), result.goodput(),
			result.p99().Seconds(), result.share(benchmarkSeeds, phase, slots), result.lastFailure.Seconds())
	}
	return text
}

// BenchmarkOccupation prints the p99 of lookups in an upload flood for uploads of different
// lengths at the same load.
func BenchmarkOccupation(b *testing.B) {
	upload := meanServiceTimes[Upload]
	defer func() { meanServiceTimes[Upload] = upload }()
	for _, service := range []time.Duration{upload, upload / 10, upload / 100} {
		meanServiceTimes[Upload] = service
		for _, slots := range []int{2, 3} {
			for _, variant := range []namedVariant{{"queue", builderOf(variant{})}, {"share:strict", builderOf(variant{selectRank: strictRule, parameters: &unthrottled})}} {
				b.Run(fmt.Sprintf("upload=%v/slots=%d/%s", service, slots, variant.name), func(b *testing.B) {
					var results [][RankCount]result
					for b.Loop() {
						results = runSeeds(benchmarkSeeds, slots, floodPhases(normalLoad, Upload), variant.build)
					}
					normal, flood := results[1][Lookup].p99(), results[2][Lookup].p99()
					b.Logf("lookup p99 %v normal, %v in the flood, ratio %.2f", normal, flood, float64(flood)/float64(normal))
				})
			}
		}
	}
}
