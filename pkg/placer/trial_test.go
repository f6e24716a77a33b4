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
	trialHotKeys = 33
	trialTrigger = 1.25
	trialTarget  = 1.1
)

// zipfInput returns the load of keys with Zipf 1.1 popularity on the shards. The
// key with popularity rank r has the number (r+shift) mod trialKeys, so that
// another shift gives other hot keys. Owners are those of previous. New shards are
// distributed evenly, and a new hot key has the owner of its shard.
func zipfInput(upstreams int, shift int, previous Input) Input {
	input := Input{Shards: map[uint32]Item{}, HotKeys: map[string]Item{}, Trigger: trialTrigger, Target: trialTarget}
	for index := range upstreams {
		input.Upstreams = append(input.Upstreams, Upstream{Name: fmt.Sprintf("u%02d", index), Capacity: 1, Available: true})
	}
	distribution := sharder.Distribute(trialShards, slices.Repeat([]float64{1}, upstreams))
	for shard := range uint32(trialShards) {
		owner := input.Upstreams[distribution[shard]].Name
		if existing, ok := previous.Shards[shard]; ok {
			owner = existing.Owner
		}
		input.Shards[shard] = Item{Owner: owner}
	}
	for rank := range trialKeys {
		key := fmt.Sprintf("key-%d", (rank+shift)%trialKeys)
		load := math.Pow(float64(rank+1), -1.1)
		shard := sharder.ShardOf(key, trialShards)
		item := input.Shards[shard]
		if rank < trialHotKeys {
			hot := Item{Owner: item.Owner, Load: load}
			if existing, ok := previous.HotKeys[key]; ok {
				hot.Owner = existing.Owner
			}
			input.HotKeys[key] = hot
			continue
		}
		item.Load += load
		input.Shards[shard] = item
	}
	return input
}

// applyMoves returns the input with the owners that the moves assign.
func applyMoves(input Input, moves []Move) Input {
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

// measure returns the max/mean of the input, the lowest one that its heaviest
// item allows, and a lower bound for the number of moves that bring each upstream
// to the trigger.
func measure(input Input) (imbalance, bound float64, fewest int) {
	plan := newPlan(input)
	limit := input.Trigger * plan.mean
	for _, upstream := range plan.upstreams {
		imbalance = max(imbalance, upstream.utilization()/plan.mean)
	}
	heaviest := plan.items[0]
	bound = heaviest.load / plan.mean
	if heaviest.load <= limit || heaviest.owner == noUpstream {
		fewest = plan.minMoves(limit, noUpstream)
		if fewest == 1 && !plan.oneMoveSuffices(limit) {
			fewest = 2
		}
		return imbalance, bound, fewest
	}
	// The heaviest item must end alone on some upstream. Each is tried.
	plan.upstreams[heaviest.owner].load -= heaviest.load
	plan.upstreams[heaviest.owner].items = plan.upstreams[heaviest.owner].items[1:]
	for host, upstream := range plan.upstreams {
		moves := plan.minMoves(limit, host)
		for _, item := range upstream.items {
			if item.load > 0 {
				moves++
			}
		}
		if host != heaviest.owner {
			moves++
		}
		if host == 0 || moves < fewest {
			fewest = moves
		}
	}
	return imbalance, bound, fewest
}

// minMoves counts, for each upstream but one, the heaviest items that add up to
// its load above the limit.
func (plan *plan) minMoves(limit float64, except int) int {
	count := 0
	for index, upstream := range plan.upstreams {
		excess := upstream.load - limit*upstream.capacity
		for position := 0; index != except && excess > 1e-12; position++ {
			excess -= upstream.items[position].load
			count++
		}
	}
	return count
}

// oneMoveSuffices reports whether a single move brings all upstreams to the
// limit.
func (plan *plan) oneMoveSuffices(limit float64) bool {
	for _, item := range plan.items {
		for to := range plan.upstreams {
			from := item.owner
			plan.assign(item, to)
			sufficient := !slices.ContainsFunc(plan.upstreams, func(upstream *upstream) bool { return upstream.exceeds(limit) })
			plan.assign(item, from)
			if sufficient {
				return true
			}
		}
	}
	return false
}

// repack ignores the present owners and assigns all items again, heaviest first,
// to the least loaded upstream.
func repack(input Input) []Move {
	plan := newPlan(input)
	for _, upstream := range plan.upstreams {
		upstream.load, upstream.items = 0, nil
	}
	for _, item := range plan.items {
		item.owner = noUpstream
	}
	plan.assignUnowned()
	return plan.moves()
}

// moveHeaviest moves the heaviest item of the most loaded upstream that lowers the
// maximum to the least loaded upstream, until the target is reached.
func moveHeaviest(input Input) []Move {
	plan := newPlan(input)
	plan.assignUnowned()
	limit, exhausted := input.Target*plan.mean, make([]bool, len(plan.upstreams))
	for plan.anyAbove(input.Trigger) {
		from := plan.mostLoaded(limit, exhausted)
		if from == noUpstream {
			break
		}
		to := 0
		for index, upstream := range plan.upstreams {
			if upstream.utilization() < plan.upstreams[to].utilization() {
				to = index
			}
		}
		index := slices.IndexFunc(plan.upstreams[from].items, func(item *planItem) bool {
			return item.load > 0 && plan.upstreams[to].utilizationWith(item.load) < plan.upstreams[from].utilization()*(1-tolerance)
		})
		if index < 0 {
			exhausted[from] = true
			continue
		}
		plan.assign(plan.upstreams[from].items[index], to)
	}
	return plan.moves()
}

// localSearch applies the move or swap that lowers the higher utilization of the
// two upstreams most, until the target is reached or nothing helps.
func localSearch(input Input) []Move {
	plan := newPlan(input)
	plan.assignUnowned()
	limit, exhausted := input.Target*plan.mean, make([]bool, len(plan.upstreams))
	for plan.anyAbove(input.Trigger) {
		from := plan.mostLoaded(limit, exhausted)
		if from == noUpstream {
			break
		}
		best, ok := plan.lowestMaximum(from, limit)
		source := plan.upstreams[from]
		lowest := source.utilization() * (1 - tolerance)
		if ok {
			lowest = max(source.utilizationWith(-best.item.load), plan.upstreams[best.to].utilizationWith(best.item.load))
		}
		for _, item := range source.items {
			for to, other := range plan.upstreams {
				for _, inReturn := range other.items {
					difference := item.load - inReturn.load
					if highest := max(source.utilizationWith(-difference), other.utilizationWith(difference)); to != from && highest < lowest*(1-tolerance) {
						best, lowest, ok = change{item: item, inReturn: inReturn, to: to}, highest, true
					}
				}
			}
		}
		if !ok {
			exhausted[from] = true
			continue
		}
		plan.apply(best, from)
	}
	return plan.moves()
}

// boundedHash is consistent hashing with bounded loads: it assigns each item to
// the first upstream on the ring that stays within the trigger with it.
func boundedHash(input Input) []Move {
	const pointsPerUpstream = 100
	plan := newPlan(input)
	type point struct {
		hash  uint64
		index int
	}
	var ring []point
	for index, upstream := range plan.upstreams {
		upstream.load, upstream.items = 0, nil
		for number := range pointsPerUpstream {
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
		item.owner = noUpstream
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
			if plan.upstreams[candidate].utilizationWith(item.load) <= input.Trigger*plan.mean || len(plan.upstreams[candidate].items) == 0 {
				best = candidate
				break
			}
		}
		plan.assign(item, best)
	}
	return plan.moves()
}

var algorithms = []struct {
	name string
	plan func(Input) []Move
}{{"plan", Plan}, {"heaviest", moveHeaviest}, {"swaps", localSearch}, {"repack", repack}, {"boundedHash", boundedHash}}

// noisy returns the input with each load changed at random by up to the fraction.
func noisy(input Input, random *rand.Rand, fraction float64) Input {
	input = applyMoves(input, nil)
	for shard, item := range input.Shards {
		item.Load *= 1 + fraction*(2*random.Float64()-1)
		input.Shards[shard] = item
	}
	for key, item := range input.HotKeys {
		item.Load *= 1 + fraction*(2*random.Float64()-1)
		input.HotKeys[key] = item
	}
	return input
}

// BenchmarkTrial logs the max/mean and the moves of Plan and of other algorithms
// for the same inputs. Run it with -bench Trial -benchtime 1x -v.
func BenchmarkTrial(b *testing.B) {
	for _, upstreams := range []int{4, 15} {
		for _, algorithm := range algorithms {
			b.Run(fmt.Sprintf("upstreams=%d/%s", upstreams, algorithm.name), func(b *testing.B) {
				for b.Loop() {
					input := zipfInput(upstreams, 0, Input{})
					logResult(b, "first", input, &input, algorithm.plan)
					changed := zipfInput(upstreams, trialHotKeys, input)
					logResult(b, "33 new hot keys", changed, &changed, algorithm.plan)
					lost := applyMoves(changed, nil)
					lost.Upstreams = slices.Clone(lost.Upstreams)
					lost.Upstreams[1].Available = false
					logResult(b, "one upstream lost", lost, &lost, algorithm.plan)
					random, moves := rand.New(rand.NewPCG(1, 1)), 0
					for range 120 {
						planned := algorithm.plan(noisy(changed, random, 0.1))
						moves += len(planned)
						changed = applyMoves(changed, planned)
					}
					b.Logf("%-18s moves %d in 120 rounds", "steady 10% noise", moves)
				}
			})
		}
	}
}

// logResult logs the quality of the plan for the input, and stores the input with
// the moves applied in result.
func logResult(b *testing.B, name string, input Input, result *Input, plan func(Input) []Move) {
	before, bound, fewest := measure(input)
	moves := plan(input)
	*result = applyMoves(input, moves)
	after, _, _ := measure(*result)
	b.Logf("%-18s max/mean %.3f -> %.3f, heaviest item alone %.3f, moves %d, fewest %d", name, before, after, bound, len(moves), fewest)
}
