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

// Input is what a plan is made from. Loads are compared relative to capacity.
type Input struct {
	Shards    map[uint32]Item
	HotKeys   map[string]Item
	Upstreams []Upstream
	// Trigger is the max/mean above which items of available upstreams move.
	Trigger float64
	// Target is the max/mean that the moves try to reach.
	Target float64
}

// Move gives an item to another upstream. HotKey is empty for a shard.
type Move struct {
	Shard  uint32
	HotKey string
	From   string
	To     string
}

// Plan returns the moves that the input needs. Items of an unavailable or
// unknown upstream always move; others move only when an upstream is loaded
// above the trigger. An upstream whose heaviest item alone is above the trigger
// keeps only that item. The same input gives the same plan.
func Plan(input Input) []Move {
	forced := newPlan(input)
	if len(forced.upstreams) == 0 {
		return nil
	}
	forced.placeOrphans()
	if !forced.triggered(input.Trigger) {
		return forced.moves()
	}
	var best *plan
	for _, part := range settled {
		var found *plan
		for _, order := range orders {
			plan := newPlan(input)
			plan.placeOrphans()
			plan.balance(input.Trigger, input.Target, part, order)
			if found == nil || plan.better(found, input.Trigger) {
				found = plan
			}
		}
		if best == nil || found.countOver(input.Trigger) < best.countOver(input.Trigger) || float64(len(best.moves())) > worth*float64(len(found.moves())) {
			best = found
		}
	}
	return best.moves()
}

// better reports whether the plan leaves fewer upstreams above the trigger than
// the other, or makes fewer moves for the same.
func (plan *plan) better(other *plan, trigger float64) bool {
	return cmp.Or(cmp.Compare(plan.countOver(trigger), other.countOver(trigger)), cmp.Compare(len(plan.moves()), len(other.moves()))) < 0
}

func (plan *plan) countOver(trigger float64) int {
	count := 0
	for _, upstream := range plan.upstreams {
		if upstream.over(trigger * plan.mean) {
			count++
		}
	}
	return count
}

// placed is an item with its place in the plan.
type placed struct {
	shard  uint32
	hotKey string
	load   float64
	from   string
	start  int // index of the upstream before the plan, or gone
	owner  int
}

// gone is the index of an upstream that is unavailable or unknown.
const gone = -1

type upstream struct {
	name     string
	capacity float64
	load     float64
	items    []*placed // heaviest first
}

func (upstream *upstream) relative() float64 { return upstream.load / upstream.capacity }

// with returns the relative load after the load has been added.
func (upstream *upstream) with(load float64) float64 {
	return (upstream.load + load) / upstream.capacity
}

// limit is the relative load that the upstream may keep: no plan can reduce it
// below its heaviest item.
func (upstream *upstream) limit(general float64) float64 {
	if len(upstream.items) == 0 {
		return general
	}
	return max(general, upstream.items[0].load/upstream.capacity)
}

// over reports whether the upstream is above its limit by more than rounding.
func (upstream *upstream) over(general float64) bool {
	return upstream.relative() > upstream.limit(general)*(1+rounding)
}

// rounding is the relative error of sums of loads that are added and removed in
// different orders.
const rounding = 1e-9

type plan struct {
	upstreams []*upstream
	items     []*placed // heaviest first
	mean      float64
}

func newPlan(input Input) *plan {
	plan := &plan{}
	indices := map[string]int{}
	capacity := 0.0
	for _, known := range input.Upstreams {
		if _, double := indices[known.Name]; double || !known.Available || usable(known.Capacity) == 0 {
			continue
		}
		indices[known.Name] = len(plan.upstreams)
		plan.upstreams = append(plan.upstreams, &upstream{name: known.Name, capacity: known.Capacity})
		capacity += known.Capacity
	}
	for shard, entry := range input.Shards {
		plan.items = append(plan.items, &placed{shard: shard, from: entry.Owner, load: usable(entry.Load)})
	}
	for key, entry := range input.HotKeys {
		plan.items = append(plan.items, &placed{hotKey: key, from: entry.Owner, load: usable(entry.Load)})
	}
	slices.SortFunc(plan.items, heaviestFirst)
	total := 0.0
	for _, item := range plan.items {
		total += item.load
		item.start, item.owner = gone, gone
		if index, ok := indices[item.from]; ok {
			item.start = index
			plan.give(item, index)
		}
	}
	if capacity > 0 {
		plan.mean = total / capacity
	}
	return plan
}

// heaviestFirst is a total order, so that plans do not depend on the order of
// maps.
func heaviestFirst(a, b *placed) int {
	return cmp.Or(cmp.Compare(b.load, a.load), cmp.Compare(a.hotKey, b.hotKey), cmp.Compare(a.shard, b.shard))
}

// usable returns the value, or 0 when it is not a positive finite number.
func usable(value float64) float64 {
	if value > 0 && !math.IsInf(value, 1) {
		return value
	}
	return 0
}

func (plan *plan) give(item *placed, to int) {
	if item.owner != gone {
		old := plan.upstreams[item.owner]
		old.load -= item.load
		position, _ := slices.BinarySearchFunc(old.items, item, heaviestFirst)
		old.items = slices.Delete(old.items, position, position+1)
	}
	item.owner = to
	added := plan.upstreams[to]
	added.load += item.load
	position, _ := slices.BinarySearchFunc(added.items, item, heaviestFirst)
	added.items = slices.Insert(added.items, position, item)
}

// placeOrphans gives each item without an available owner to the upstream that
// is least loaded with it, heaviest first. Items without load are spread by
// their number.
func (plan *plan) placeOrphans() {
	for _, item := range plan.items {
		if item.owner != gone {
			continue
		}
		best := 0
		for index, candidate := range plan.upstreams {
			leader := plan.upstreams[best]
			order := cmp.Or(cmp.Compare(candidate.with(item.load), leader.with(item.load)),
				cmp.Compare(float64(len(candidate.items))/candidate.capacity, float64(len(leader.items))/leader.capacity))
			if order < 0 {
				best = index
			}
		}
		plan.give(item, best)
	}
}

func (plan *plan) triggered(trigger float64) bool {
	return slices.ContainsFunc(plan.upstreams, func(candidate *upstream) bool { return candidate.over(trigger * plan.mean) })
}

func (plan *plan) moves() []Move {
	var moves []Move
	for _, item := range plan.items {
		if item.owner != item.start {
			moves = append(moves, Move{Shard: item.shard, HotKey: item.hotKey, From: item.from, To: plan.upstreams[item.owner].name})
		}
	}
	return moves
}
