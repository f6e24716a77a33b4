package placer

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a plan that leaves upstreams overloaded after other keys become
// hot, or that makes more than twice the fewest moves that bring max/mean to the
// trigger.
func TestNewHotKeysAreBalancedWithFewMoves(t *testing.T) {
	for _, upstreams := range []int{4, 15} {
		input := zipfInput(upstreams, 0, Input{})
		for round := range 10 {
			before, bound, fewest := measure(input)
			moves := Plan(input)
			input = applyMoves(input, moves)
			after, _, _ := measure(input)
			assert.Assert(t, after <= max(trialTrigger, bound*(1+tolerance)), "max/mean is %.3f after %.3f", after, before)
			assert.Assert(t, len(moves) <= 2*fewest, "%d moves, fewest %d, %d upstreams, round %d", len(moves), fewest, upstreams, round)
			assert.Equal(t, len(Plan(input)), 0, "a second plan has moves")
			input = zipfInput(upstreams, (round+1)*trialHotKeys, input)
		}
	}
}

// Guards against items that move back and forth under a constant load with noise.
// 120 rounds are 10 minutes.
func TestNoiseMovesNothingTwice(t *testing.T) {
	for _, upstreams := range []int{4, 15} {
		input := Input{}
		for change := range 4 {
			input = zipfInput(upstreams, change*trialHotKeys, input)
			input = applyMoves(input, Plan(input))
			random, moved := rand.New(rand.NewPCG(1, uint64(change))), map[string]bool{}
			for range 120 {
				moves := Plan(noisy(input, random, 0.1))
				input = applyMoves(input, moves)
				for _, move := range moves {
					name := fmt.Sprint(move.Shard, move.HotKey)
					assert.Assert(t, !moved[name], "%s moved twice", name)
					moved[name] = true
				}
			}
			t.Logf("%d upstreams: %d moves in 120 rounds", upstreams, len(moved))
		}
	}
}

// Guards against the loss of an upstream that also moves items of the remaining
// upstreams.
func TestLossMovesOnlyItemsOfLostUpstream(t *testing.T) {
	input := Input{Shards: map[uint32]Item{}, Trigger: trialTrigger, Target: trialTarget}
	for index := range 5 {
		input.Upstreams = append(input.Upstreams, Upstream{Name: fmt.Sprintf("u%d", index), Capacity: 2, Available: index != 3})
	}
	for shard := range uint32(250) {
		input.Shards[shard] = Item{Owner: fmt.Sprintf("u%d", shard%5), Load: 1}
	}
	moves := Plan(input)
	assert.Equal(t, len(moves), 50)
	for _, move := range moves {
		assert.Equal(t, move.From, "u3")
	}
	imbalance, _, _ := measure(applyMoves(input, moves))
	assert.Assert(t, imbalance <= trialTarget)
}

// Guards against plans that depend on the iteration order of maps, move an item
// twice or to its present owner, leave an item without an available owner, contain
// a move without a gain, or raise the highest utilization, for any input.
func TestPlanProperties(t *testing.T) {
	assert.NilError(t, flag.Set("rapid.seed", "1"))
	assert.NilError(t, flag.Set("rapid.checks", "3000")) // moves without gain are rare
	rapid.Check(t, func(t *rapid.T) {
		input := Input{Shards: map[uint32]Item{}, HotKeys: map[string]Item{}, Trigger: trialTrigger, Target: trialTarget}
		available := 0
		for index := range rapid.IntRange(1, 8).Draw(t, "upstreams") {
			added := Upstream{Name: fmt.Sprintf("u%d", index), Capacity: float64(rapid.IntRange(0, 3).Draw(t, "capacity")), Available: rapid.IntRange(0, 3).Draw(t, "available") > 0}
			input.Upstreams = append(input.Upstreams, added)
			if added.Available && added.Capacity > 0 {
				available++
			}
		}
		draw := func() Item {
			return Item{Owner: fmt.Sprintf("u%d", rapid.IntRange(0, 9).Draw(t, "owner")), Load: rapid.Float64Range(0, 10).Draw(t, "load")}
		}
		for shard := range uint32(rapid.IntRange(0, 40).Draw(t, "shards")) {
			input.Shards[shard] = draw()
		}
		for key := range rapid.IntRange(0, 5).Draw(t, "hot") {
			input.HotKeys[fmt.Sprint(key)] = draw()
		}
		moves := Plan(input)
		if !slices.Equal(moves, Plan(applyMoves(input, nil))) {
			t.Fatal("the same input gave a different plan")
		}
		if available == 0 {
			if len(moves) > 0 {
				t.Fatal("moves without an available upstream")
			}
			return
		}
		after := newPlan(applyMoves(input, moves))
		for _, item := range after.items {
			if item.owner == noUpstream {
				t.Fatalf("shard %d key %q still belongs to %s", item.shard, item.hotKey, item.from)
			}
		}
		seen, before := map[string]bool{}, newPlan(input)
		before.assignUnowned()
		for _, move := range moves {
			name := fmt.Sprint(move.Shard, "/", move.HotKey)
			if seen[name] || move.From == move.To {
				t.Fatalf("%+v moves an item twice or to its present owner", move)
			}
			seen[name] = true
		}
		// A move has no gain if the former owner stays within the target when the
		// item is moved back.
		for _, item := range after.items {
			index := slices.IndexFunc(moves, func(move Move) bool { return move.Shard == item.shard && move.HotKey == item.hotKey })
			if index < 0 {
				continue
			}
			from := slices.IndexFunc(after.upstreams, func(candidate *upstream) bool { return candidate.name == moves[index].From })
			if from >= 0 && after.upstreams[from].utilizationWith(item.load) <= trialTarget*after.mean {
				t.Fatalf("move without a gain: %+v", moves[index])
			}
		}
		if highestUtilization(after) > highestUtilization(before)*(1+1e-6) {
			t.Fatalf("the highest utilization rose from %v to %v", highestUtilization(before), highestUtilization(after))
		}
	})
}

func highestUtilization(plan *plan) float64 {
	value := 0.0
	for _, upstream := range plan.upstreams {
		value = max(value, upstream.utilization())
	}
	return value
}

func BenchmarkPlan(b *testing.B) {
	input := zipfInput(15, trialHotKeys, applyMoves(zipfInput(15, 0, Input{}), Plan(zipfInput(15, 0, Input{}))))
	for b.Loop() {
		Plan(input)
	}
}

// BenchmarkPlanLarge measures a plan for the largest possible service: 16384
// shards on 16 upstreams, of which one has twice the load of the others.
func BenchmarkPlanLarge(b *testing.B) {
	input := Input{Shards: map[uint32]Item{}, Trigger: trialTrigger, Target: trialTarget}
	random := rand.New(rand.NewPCG(1, 1))
	for index := range 16 {
		input.Upstreams = append(input.Upstreams, Upstream{Name: fmt.Sprintf("u%02d", index), Capacity: 1, Available: true})
	}
	for shard := range uint32(16384) {
		load := random.ExpFloat64()
		if shard%16 == 0 {
			load *= 2
		}
		input.Shards[shard] = Item{Owner: fmt.Sprintf("u%02d", shard%16), Load: load}
	}
	for b.Loop() {
		Plan(input)
	}
}
