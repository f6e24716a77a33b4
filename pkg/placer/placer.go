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
	Hot       map[string]Item
	Upstreams []Upstream
	// Trigger is the max/mean above which items of available upstreams move.
	Trigger float64
	// Aim is the max/mean that the moves try to reach.
	Aim float64
}

// Move gives an item to another upstream. HotKey is empty for a shard.
type Move struct {
	Shard  uint32
	HotKey string
	From   string
	To     string
}

// Plan returns the moves that the input needs. Items of an unavailable or
// unknown upstream always move; others move only when max/mean is above the
// trigger. The same input gives the same plan.
func Plan(input Input) []Move {
	state := newState(input)
	if len(state.upstreams) == 0 {
		return nil
	}
	state.placeOrphans()
	if state.imbalance() > input.Trigger {
		state.balance(input.Aim)
	}
	return state.moves()
}

type placed struct {
	shard  uint32
	hotKey string
	load   float64
	from   string
	start  int // index of the owner before the plan, -1 when it is gone
	owner  int
}

type upstream struct {
	name     string
	capacity float64
	load     float64
	items    []*placed
}

func (upstream *upstream) relative() float64 { return upstream.load / upstream.capacity }

type state struct {
	upstreams []*upstream
	items     []*placed
	mean      float64
}

func newState(input Input) *state {
	state := &state{}
	indices := map[string]int{}
	capacity := 0.0
	for _, known := range input.Upstreams {
		_, double := indices[known.Name]
		if known.Available && known.Capacity > 0 && !math.IsInf(known.Capacity, 1) && !double {
			indices[known.Name] = len(state.upstreams)
			state.upstreams = append(state.upstreams, &upstream{name: known.Name, capacity: known.Capacity})
			capacity += known.Capacity
		}
	}
	for shard, entry := range input.Shards {
		state.items = append(state.items, &placed{shard: shard, from: entry.Owner, load: usable(entry.Load)})
	}
	for key, entry := range input.Hot {
		state.items = append(state.items, &placed{hotKey: key, from: entry.Owner, load: usable(entry.Load)})
	}
	slices.SortFunc(state.items, heaviestFirst)
	total := 0.0
	for _, item := range state.items {
		total += item.load
		index, ok := indices[item.from]
		item.start, item.owner = -1, -1
		if ok {
			item.start = index
			state.give(item, index)
		}
	}
	if capacity > 0 {
		state.mean = total / capacity
	}
	return state
}

func heaviestFirst(a, b *placed) int {
	return cmp.Or(cmp.Compare(b.load, a.load), cmp.Compare(a.hotKey, b.hotKey), cmp.Compare(a.shard, b.shard))
}

// usable returns the load, or 0 when it is not a positive finite number.
func usable(load float64) float64 {
	if load > 0 && !math.IsInf(load, 1) {
		return load
	}
	return 0
}

func (state *state) give(item *placed, to int) {
	if item.owner >= 0 {
		old := state.upstreams[item.owner]
		old.load -= item.load
		old.items = slices.DeleteFunc(old.items, func(other *placed) bool { return other == item })
	}
	item.owner = to
	state.upstreams[to].load += item.load
	state.upstreams[to].items = append(state.upstreams[to].items, item)
}

// placeOrphans gives each item without an available owner to the upstream that
// is least loaded with it, heaviest first.
func (state *state) placeOrphans() {
	for _, item := range state.items {
		if item.owner >= 0 {
			continue
		}
		best := 0
		for index, candidate := range state.upstreams {
			with := (candidate.load + item.load) / candidate.capacity
			if c := cmp.Compare(with, (state.upstreams[best].load+item.load)/state.upstreams[best].capacity); c < 0 ||
				c == 0 && len(candidate.items) < len(state.upstreams[best].items) {
				best = index
			}
		}
		state.give(item, best)
	}
}

func (state *state) imbalance() float64 {
	if state.mean <= 0 {
		return 1
	}
	return state.upstreams[state.extreme(1)].relative() / state.mean
}

// extreme returns the most loaded upstream for sign 1, the least loaded for -1.
func (state *state) extreme(sign float64) int {
	best := 0
	for index, candidate := range state.upstreams {
		if sign*candidate.relative() > sign*state.upstreams[best].relative() {
			best = index
		}
	}
	return best
}

// balance moves items off the most loaded upstream until the aim is reached or
// no move helps.
func (state *state) balance(aim float64) {
	limit := aim * state.mean
	for range len(state.items) {
		from := state.upstreams[state.extreme(1)]
		to := state.extreme(-1)
		if from.relative() <= limit {
			return
		}
		chosen := pick(from, state.upstreams[to], limit)
		if chosen == nil {
			return
		}
		state.give(chosen, to)
	}
}

// pick returns the smallest item that brings the upstream to the limit, or else
// the largest that fits, or nil when no move helps.
func pick(from, to *upstream, limit float64) *placed {
	surplus := from.load - limit*from.capacity
	var enough, largest *placed
	for _, item := range from.items {
		after := (to.load + item.load) / to.capacity
		if item.load <= 0 || after >= from.relative() {
			continue
		}
		if item.load >= surplus && after <= limit && (enough == nil || heaviestFirst(item, enough) > 0) {
			enough = item
		}
		if largest == nil || heaviestFirst(item, largest) < 0 {
			largest = item
		}
	}
	if enough != nil {
		return enough
	}
	return largest
}

func (state *state) moves() []Move {
	var moves []Move
	for _, item := range state.items {
		if item.owner != item.start {
			moves = append(moves, Move{Shard: item.shard, HotKey: item.hotKey, From: item.from, To: state.upstreams[item.owner].name})
		}
	}
	return moves
}
