package placer

import (
	"cmp"
	"math"
	"slices"
)

// Item is a shard or a hot key.
type Item struct {
	Owner string
	Load  float64
}

// Upstream can own items.
type Upstream struct {
	Name      string
	Capacity  float64
	Available bool
}

// Input is what a plan is made from. Upstreams are compared by their utilization,
// which is load divided by capacity.
type Input struct {
	Shards    map[uint32]Item
	HotKeys   map[string]Item
	Upstreams []Upstream
	// Trigger is the ratio of the highest utilization to the mean (max/mean) above
	// which items of available upstreams move.
	Trigger float64
	// Target is the max/mean that these moves try to reach.
	Target float64
}

// Move assigns an item to another upstream. HotKey is empty for a shard.
type Move struct {
	Shard  uint32
	HotKey string
	From   string
	To     string
}

// Plan returns the moves that balance the input. Items of an unavailable or
// unknown upstream always move; others move only when the load of an upstream is
// above the trigger. An upstream whose heaviest item alone is above the trigger
// keeps only that item. The same input gives the same plan.
func Plan(input Input) []Move {
	required := newPlan(input)
	if len(required.upstreams) == 0 {
		return nil
	}
	required.assignUnowned()
	if !required.anyAbove(input.Trigger) {
		return required.moves()
	}
	var best *plan
	for _, fraction := range settleFractions {
		var found *plan
		for _, strategies := range strategySequences {
			plan := newPlan(input)
			plan.assignUnowned()
			plan.balance(input.Trigger, input.Target, fraction, strategies)
			if found == nil || plan.betterThan(found, input.Trigger) {
				found = plan
			}
		}
		if best == nil || found.countAbove(input.Trigger) < best.countAbove(input.Trigger) || float64(len(best.moves())) > maxMoveRatio*float64(len(found.moves())) {
			best = found
		}
	}
	return best.moves()
}

// betterThan reports whether the plan leaves fewer upstreams above the trigger
// than the other, or as many with fewer moves.
func (plan *plan) betterThan(other *plan, trigger float64) bool {
	return cmp.Or(cmp.Compare(plan.countAbove(trigger), other.countAbove(trigger)), cmp.Compare(len(plan.moves()), len(other.moves()))) < 0
}

func (plan *plan) countAbove(trigger float64) int {
	count := 0
	for _, upstream := range plan.upstreams {
		if upstream.exceeds(trigger * plan.mean) {
			count++
		}
	}
	return count
}

// planItem is an item with its owner in the plan. Owners are indices of
// upstreams, or noUpstream.
type planItem struct {
	shard        uint32
	hotKey       string
	load         float64
	from         string // name of the owner in the input
	initialOwner int    // owner in the input
	owner        int
}

// noUpstream stands for an upstream that is unavailable or unknown.
const noUpstream = -1

type upstream struct {
	name     string
	capacity float64
	load     float64
	items    []*planItem // heaviest first
}

func (upstream *upstream) utilization() float64 { return upstream.load / upstream.capacity }

// utilizationWith returns the utilization after the load has been added.
func (upstream *upstream) utilizationWith(load float64) float64 {
	return (upstream.load + load) / upstream.capacity
}

// effectiveLimit returns the utilization that the upstream may keep: the limit,
// or that of its heaviest item alone, below which no plan can reduce it.
func (upstream *upstream) effectiveLimit(limit float64) float64 {
	if len(upstream.items) == 0 {
		return limit
	}
	return max(limit, upstream.items[0].load/upstream.capacity)
}

// exceeds reports whether the utilization is above the effective limit by more
// than rounding errors.
func (upstream *upstream) exceeds(limit float64) bool {
	return upstream.utilization() > upstream.effectiveLimit(limit)*(1+tolerance)
}

// tolerance bounds the relative rounding error of sums of loads that are added
// and removed in different orders.
const tolerance = 1e-9

type plan struct {
	upstreams []*upstream
	items     []*planItem // heaviest first
	mean      float64     // utilization of all upstreams together
}

func newPlan(input Input) *plan {
	plan := &plan{}
	indices := map[string]int{}
	capacity := 0.0
	for _, entry := range input.Upstreams {
		if _, duplicate := indices[entry.Name]; duplicate || !entry.Available || positiveOrZero(entry.Capacity) == 0 {
			continue
		}
		indices[entry.Name] = len(plan.upstreams)
		plan.upstreams = append(plan.upstreams, &upstream{name: entry.Name, capacity: entry.Capacity})
		capacity += entry.Capacity
	}
	for shard, entry := range input.Shards {
		plan.items = append(plan.items, &planItem{shard: shard, from: entry.Owner, load: positiveOrZero(entry.Load)})
	}
	for key, entry := range input.HotKeys {
		plan.items = append(plan.items, &planItem{hotKey: key, from: entry.Owner, load: positiveOrZero(entry.Load)})
	}
	slices.SortFunc(plan.items, compareHeaviestFirst)
	total := 0.0
	for _, item := range plan.items {
		total += item.load
		item.initialOwner, item.owner = noUpstream, noUpstream
		if index, ok := indices[item.from]; ok {
			item.initialOwner = index
			plan.assign(item, index)
		}
	}
	if capacity > 0 {
		plan.mean = total / capacity
	}
	return plan
}

// compareHeaviestFirst is a total order, so that plans do not depend on the
// iteration order of maps.
func compareHeaviestFirst(a, b *planItem) int {
	return cmp.Or(cmp.Compare(b.load, a.load), cmp.Compare(a.hotKey, b.hotKey), cmp.Compare(a.shard, b.shard))
}

// positiveOrZero returns the value, or 0 when it is not a positive finite number.
func positiveOrZero(value float64) float64 {
	if value > 0 && !math.IsInf(value, 1) {
		return value
	}
	return 0
}

// assign makes the upstream the owner of the item.
func (plan *plan) assign(item *planItem, to int) {
	if item.owner != noUpstream {
		previous := plan.upstreams[item.owner]
		previous.load -= item.load
		position, _ := slices.BinarySearchFunc(previous.items, item, compareHeaviestFirst)
		previous.items = slices.Delete(previous.items, position, position+1)
	}
	item.owner = to
	next := plan.upstreams[to]
	next.load += item.load
	position, _ := slices.BinarySearchFunc(next.items, item, compareHeaviestFirst)
	next.items = slices.Insert(next.items, position, item)
}

// assignUnowned assigns each item without an available owner to the upstream
// that has the lowest utilization with it, heaviest first. Between upstreams with
// the same utilization, as for items without load, the number of items decides.
func (plan *plan) assignUnowned() {
	for _, item := range plan.items {
		if item.owner != noUpstream {
			continue
		}
		best := 0
		for index, candidate := range plan.upstreams {
			leader := plan.upstreams[best]
			order := cmp.Or(cmp.Compare(candidate.utilizationWith(item.load), leader.utilizationWith(item.load)),
				cmp.Compare(float64(len(candidate.items))/candidate.capacity, float64(len(leader.items))/leader.capacity))
			if order < 0 {
				best = index
			}
		}
		plan.assign(item, best)
	}
}

// anyAbove reports whether an upstream is above the trigger.
func (plan *plan) anyAbove(trigger float64) bool {
	return slices.ContainsFunc(plan.upstreams, func(candidate *upstream) bool { return candidate.exceeds(trigger * plan.mean) })
}

// moves returns the moves from the owners of the input to those of the plan.
func (plan *plan) moves() []Move {
	var moves []Move
	for _, item := range plan.items {
		if item.owner != item.initialOwner {
			moves = append(moves, Move{Shard: item.shard, HotKey: item.hotKey, From: item.from, To: plan.upstreams[item.owner].name})
		}
	}
	return moves
}
