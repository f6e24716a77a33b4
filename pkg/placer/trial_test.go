package placer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cuminstream/cuminstream/pkg/sharder"
)

const (
	trialKeys    = 100_000
	trialShards  = 256
	trialHot     = 33
	trialTrigger = 1.25
	trialAim     = 1.1
)

// zipfInput returns the load of Zipf 1.1 keys over the shards. The key of
// popularity r is number (r+shift) mod keys, so that another shift gives other
// hot keys. Owners are taken from previous; new items keep their shard's owner.
func zipfInput(upstreams int, shift int, previous Input) Input {
	input := Input{Shards: map[uint32]Item{}, HotKeys: map[string]Item{}, Trigger: trialTrigger, Target: trialAim}
	for index := range upstreams {
		input.Upstreams = append(input.Upstreams, Upstream{Name: fmt.Sprintf("u%02d", index), Capacity: 1, Available: true})
	}
	spread := sharder.Distribute(trialShards, slices.Repeat([]float64{1}, upstreams))
	for shard := range uint32(trialShards) {
		owner := input.Upstreams[spread[shard]].Name
		if known, ok := previous.Shards[shard]; ok {
			owner = known.Owner
		}
		input.Shards[shard] = Item{Owner: owner}
	}
	for rank := range trialKeys {
		key := fmt.Sprintf("key-%d", (rank+shift)%trialKeys)
		load := math.Pow(float64(rank+1), -1.1)
		shard := sharder.ShardOf(key, trialShards)
		item := input.Shards[shard]
		if rank < trialHot {
			hot := Item{Owner: item.Owner, Load: load}
			if known, ok := previous.HotKeys[key]; ok {
				hot.Owner = known.Owner
			}
			input.HotKeys[key] = hot
			continue
		}
		item.Load += load
		input.Shards[shard] = item
	}
	return input
}

func applied(input Input, moves []Move) Input {
	input.Shards, input.HotKeys = cloneMap(input.Shards), cloneMap(input.HotKeys)
	for _, move := range moves {
		if move.HotKey != "" {
			input.HotKeys[move.HotKey] = Item{Owner: move.To, Load: input.HotKeys[move.HotKey].Load}
		} else {
			input.Shards[move.Shard] = Item{Owner: move.To, Load: input.Shards[move.Shard].Load}
		}
	}
	return input
}

func cloneMap[K comparable](items map[K]Item) map[K]Item {
	clone := map[K]Item{}
	for key, item := range items {
		clone[key] = item
	}
	return clone
}

// state returns max/mean, the smallest max/mean that the heaviest item allows,
// and a lower bound of the moves that bring each upstream to the trigger.
func state(input Input) (imbalance, bound float64, fewest int) {
	plan := newPlan(input)
	limit := input.Trigger * plan.mean
	for _, upstream := range plan.upstreams {
		imbalance = max(imbalance, upstream.relative()/plan.mean)
	}
	giant := plan.items[0]
	bound = giant.load / plan.mean
	if giant.load <= limit || giant.owner == gone {
		fewest = plan.fewest(limit, gone)
		if fewest == 1 && !plan.oneSuffices(limit) {
			fewest = 2
		}
		return imbalance, bound, fewest
	}
	// The heaviest item ends alone on some upstream.
	plan.upstreams[giant.owner].load -= giant.load
	plan.upstreams[giant.owner].items = plan.upstreams[giant.owner].items[1:]
	for host, upstream := range plan.upstreams {
		moves := plan.fewest(limit, host)
		for _, item := range upstream.items {
			if item.load > 0 {
				moves++
			}
		}
		if host != giant.owner {
			moves++
		}
		if host == 0 || moves < fewest {
			fewest = moves
		}
	}
	return imbalance, bound, fewest
}

// fewest counts, for each upstream but one, the heaviest items that add up to
// what it has above the limit.
func (plan *plan) fewest(limit float64, except int) int {
	count := 0
	for index, upstream := range plan.upstreams {
		surplus := upstream.load - limit*upstream.capacity
		for position := 0; index != except && surplus > 1e-12; position++ {
			surplus -= upstream.items[position].load
			count++
		}
	}
	return count
}

// oneSuffices reports whether any single move brings all upstreams to the limit.
func (plan *plan) oneSuffices(limit float64) bool {
	for _, item := range plan.items {
		for to := range plan.upstreams {
			from := item.owner
			plan.give(item, to)
			done := !slices.ContainsFunc(plan.upstreams, func(upstream *upstream) bool { return upstream.over(limit) })
			plan.give(item, from)
			if done {
				return true
			}
		}
	}
	return false
}

// repack places all items anew, heaviest first on the least loaded upstream.
func repack(input Input) []Move {
	plan := newPlan(input)
	for _, upstream := range plan.upstreams {
		upstream.load, upstream.items = 0, nil
	}
	for _, item := range plan.items {
		item.owner = gone
	}
	plan.placeOrphans()
	return plan.moves()
}

// heaviest moves the heaviest item of the most loaded upstream that lowers the
// maximum to the least loaded one, until the aim is reached.
func heaviest(input Input) []Move {
	plan := newPlan(input)
	plan.placeOrphans()
	limit, stuck := input.Target*plan.mean, make([]bool, len(plan.upstreams))
	for plan.triggered(input.Trigger) {
		from := plan.worst(limit, stuck)
		if from == gone {
			break
		}
		to := 0
		for index, upstream := range plan.upstreams {
			if upstream.relative() < plan.upstreams[to].relative() {
				to = index
			}
		}
		index := slices.IndexFunc(plan.upstreams[from].items, func(item *placed) bool {
			return item.load > 0 && plan.upstreams[to].with(item.load) < plan.upstreams[from].relative()*(1-rounding)
		})
		if index < 0 {
			stuck[from] = true
			continue
		}
		plan.give(plan.upstreams[from].items[index], to)
	}
	return plan.moves()
}

// swaps is a local search that applies the move or swap that lowers the higher
// of the two loads most, until the aim is reached or nothing helps.
func swaps(input Input) []Move {
	plan := newPlan(input)
	plan.placeOrphans()
	limit, stuck := input.Target*plan.mean, make([]bool, len(plan.upstreams))
	for plan.triggered(input.Trigger) {
		from := plan.worst(limit, stuck)
		if from == gone {
			break
		}
		best, ok := plan.lowest(from, limit)
		source := plan.upstreams[from]
		lowest := source.relative() * (1 - rounding)
		if ok {
			lowest = max(source.with(-best.item.load), plan.upstreams[best.to].with(best.item.load))
		}
		for _, item := range source.items {
			for to, other := range plan.upstreams {
				for _, back := range other.items {
					difference := item.load - back.load
					if highest := max(source.with(-difference), other.with(difference)); to != from && highest < lowest*(1-rounding) {
						best, lowest, ok = change{item: item, back: back, to: to}, highest, true
					}
				}
			}
		}
		if !ok {
			stuck[from] = true
			continue
		}
		plan.apply(best, from)
	}
	return plan.moves()
}

// boundedHash is consistent hashing with bounded load: each item goes to the
// first upstream on the ring that stays within the trigger with it.
func boundedHash(input Input) []Move {
	const points = 100
	plan := newPlan(input)
	type point struct {
		hash  uint64
		index int
	}
	var ring []point
	for index, upstream := range plan.upstreams {
		upstream.load, upstream.items = 0, nil
		for number := range points {
			ring = append(ring, point{sharder.Hash(fmt.Sprintf("%s-%d", upstream.name, number)), index})
		}
	}
	slices.SortFunc(ring, func(a, b point) int {
		if a.hash < b.hash {
			return -1
		}
		return 1
	})
	for _, item := range plan.items {
		item.owner = gone
		hash := sharder.Hash(fmt.Sprintf("%d-%s", item.shard, item.hotKey))
		start, _ := slices.BinarySearchFunc(ring, hash, func(p point, hash uint64) int {
			if p.hash < hash {
				return -1
			}
			return 1
		})
		best := ring[start%len(ring)].index
		for step := range ring {
			candidate := ring[(start+step)%len(ring)].index
			if plan.upstreams[candidate].with(item.load) <= input.Trigger*plan.mean || len(plan.upstreams[candidate].items) == 0 {
				best = candidate
				break
			}
		}
		plan.give(item, best)
	}
	return plan.moves()
}

var variants = []struct {
	name string
	plan func(Input) []Move
}{{"plan", Plan}, {"heaviest", heaviest}, {"swaps", swaps}, {"repack", repack}, {"boundedHash", boundedHash}}

// noisy returns the input with each load changed by up to the given part.
func noisy(input Input, random *rand.Rand, part float64) Input {
	input = applied(input, nil)
	for shard, item := range input.Shards {
		item.Load *= 1 + part*(2*random.Float64()-1)
		input.Shards[shard] = item
	}
	for key, item := range input.HotKeys {
		item.Load *= 1 + part*(2*random.Float64()-1)
		input.HotKeys[key] = item
	}
	return input
}

// BenchmarkTrial prints max/mean and moves of each way to place. Run it with
// -bench Trial -benchtime 1x -v.
func BenchmarkTrial(b *testing.B) {
	for _, upstreams := range []int{4, 15} {
		for _, variant := range variants {
			b.Run(fmt.Sprintf("upstreams=%d/%s", upstreams, variant.name), func(b *testing.B) {
				for b.Loop() {
					input := zipfInput(upstreams, 0, Input{})
					report(b, "first", input, &input, variant.plan)
					changed := zipfInput(upstreams, trialHot, input)
					report(b, "33 new hot keys", changed, &changed, variant.plan)
					lost := applied(changed, nil)
					lost.Upstreams = slices.Clone(lost.Upstreams)
					lost.Upstreams[1].Available = false
					report(b, "one upstream lost", lost, &lost, variant.plan)
					random, moves := rand.New(rand.NewPCG(1, 1)), 0
					for range 120 {
						made := variant.plan(noisy(changed, random, 0.1))
						moves += len(made)
						changed = applied(changed, made)
					}
					b.Logf("%-18s moves %d in 120 rounds", "steady 10% noise", moves)
				}
			})
		}
	}
}

func report(b *testing.B, name string, input Input, result *Input, plan func(Input) []Move) {
	before, bound, fewest := state(input)
	moves := plan(input)
	*result = applied(input, moves)
	after, _, _ := state(*result)
	b.Logf("%-18s max/mean %.3f -> %.3f, heaviest item alone %.3f, moves %d, fewest %d", name, before, after, bound, len(moves), fewest)
}
