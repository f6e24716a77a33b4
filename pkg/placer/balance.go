package placer

// search finds a change that takes load off an upstream.
type search func(plan *plan, from int, limit float64) (change, bool)

// settled lists the parts of the way from the trigger to the aim that an
// upstream must have come to be left alone, best first. In the trial, all the
// way cost three times the fewest moves, and half the way let 10% of noise
// trigger further rounds.
var settled = []float64{0.75, 0.25, 0}

// margin is the part of that way that the moves of a plan aim below it.
const margin = 0.25

// worth is how many times the moves of a less settled plan a more settled one
// may make. It is below the 2 that the design allows, because the plans are not
// always the fewest moves.
const worth = 1.5

// orders are the orders in which the searches are tried. Neither makes the
// fewest moves in all cases, so that the better result is used. Without the
// second, 20 changes of the hot keys took six times as many moves on 15
// upstreams.
var orders = [][]search{
	{(*plan).lightestEnough, (*plan).heaviestFitting, (*plan).swap, (*plan).lowest},
	{(*plan).lightestEnough, (*plan).heaviestLower, (*plan).lowest},
}

// balance moves items off the most loaded upstreams until all are settled
// between trigger and aim, or no change helps.
func (plan *plan) balance(trigger, aim, part float64, order []search) {
	limit := (trigger + (part+margin)*(aim-trigger)) * plan.mean
	enough := (trigger + part*(aim-trigger)) * plan.mean
	stuck := make([]bool, len(plan.upstreams))
	// Each step lowers the load of the most loaded upstream that can still be
	// helped; the bound only guards against endless rounding effects.
	for range 4 * len(plan.items) {
		from := plan.worst(enough, stuck)
		if from == gone {
			break
		}
		if !plan.relieve(from, limit, order) {
			stuck[from] = true
		}
	}
	plan.undo(limit)
}

// worst returns the most loaded upstream above the limit that is not stuck.
func (plan *plan) worst(limit float64, stuck []bool) int {
	worst := gone
	for index, candidate := range plan.upstreams {
		if !stuck[index] && candidate.over(limit) && (worst == gone || candidate.relative() > plan.upstreams[worst].relative()) {
			worst = index
		}
	}
	return worst
}

// change is a move of one item, or a swap when back is set.
type change struct {
	item, back *placed
	to         int
}

func (plan *plan) apply(change change, from int) {
	plan.give(change.item, change.to)
	if change.back != nil {
		plan.give(change.back, from)
	}
}

// relieve takes load off the upstream by the first change that is found:
// the lightest item that brings it to the limit, the heaviest that fits
// elsewhere, a swap that brings it to the limit, or the move that lowers the
// higher of the two loads most. It returns false when none helps.
func (plan *plan) relieve(from int, limit float64, order []search) bool {
	for _, search := range order {
		if found, ok := search(plan, from, limit); ok {
			plan.apply(found, from)
			return true
		}
	}
	return false
}

// surplus is the load that must leave the upstream to reach the limit.
func (plan *plan) surplus(from int, limit float64) float64 {
	upstream := plan.upstreams[from]
	return upstream.load - upstream.limit(limit)*upstream.capacity
}

func (plan *plan) lightestEnough(from int, limit float64) (change, bool) {
	surplus := plan.surplus(from, limit) * (1 - rounding)
	items := plan.upstreams[from].items
	for index := len(items) - 1; index >= 0; index-- {
		if items[index].load < surplus {
			continue
		}
		if to := plan.room(from, items[index].load, limit); to != gone {
			return change{item: items[index], to: to}, true
		}
	}
	return change{}, false
}

func (plan *plan) heaviestFitting(from int, limit float64) (change, bool) {
	for _, item := range plan.upstreams[from].items {
		if item.load <= 0 {
			break
		}
		if to := plan.room(from, item.load, limit); to != gone {
			return change{item: item, to: to}, true
		}
	}
	return change{}, false
}

// heaviestLower returns the heaviest item that another upstream can take without
// becoming loaded as much. That upstream may have to be relieved in turn, which
// can take fewer moves than many light items.
func (plan *plan) heaviestLower(from int, _ float64) (change, bool) {
	source := plan.upstreams[from]
	for _, item := range source.items {
		if item.load <= 0 {
			break
		}
		if to := plan.room(from, item.load, source.relative()*(1-rounding)); to != gone {
			return change{item: item, to: to}, true
		}
	}
	return change{}, false
}

// room returns the upstream that is least loaded with the load, if that keeps
// it within the limit.
func (plan *plan) room(from int, load, limit float64) int {
	best := gone
	for index, candidate := range plan.upstreams {
		if index != from && candidate.with(load) <= limit && (best == gone || candidate.with(load) < plan.upstreams[best].with(load)) {
			best = index
		}
	}
	return best
}

// swap returns the first exchange of an item against a lighter one that brings
// the upstream to the limit and keeps the other within it.
func (plan *plan) swap(from int, limit float64) (change, bool) {
	surplus := plan.surplus(from, limit) * (1 - rounding)
	for _, item := range heavy(plan.upstreams[from].items) {
		for to, other := range plan.upstreams {
			if to == from || item.load < surplus {
				continue
			}
			for _, back := range heavy(other.items) {
				difference := item.load - back.load
				if difference >= surplus && other.with(difference) <= limit {
					return change{item: item, back: back, to: to}, true
				}
			}
		}
	}
	return change{}, false
}

// heavy returns the items that swaps are tried with. All pairs of the items of a
// service with 16384 shards would take seconds.
func heavy(items []*placed) []*placed { return items[:min(len(items), 64)] }

// lowest returns the move that leaves the lowest maximum of the two loads, if
// it is lower than now.
func (plan *plan) lowest(from int, _ float64) (change, bool) {
	source := plan.upstreams[from]
	best, lowest := change{}, source.relative()*(1-rounding)
	for _, item := range source.items {
		if item.load <= 0 {
			break
		}
		for to, other := range plan.upstreams {
			if highest := max(source.with(-item.load), other.with(item.load)); to != from && highest < lowest {
				best, lowest = change{item: item, to: to}, highest
			}
		}
	}
	return best, best.item != nil
}

// undo returns items to their first owner where that keeps it within the limit:
// later moves can make earlier ones unnecessary. In the property test this
// happens about once in 2000 inputs.
func (plan *plan) undo(limit float64) {
	for index := len(plan.items) - 1; index >= 0; index-- {
		item := plan.items[index]
		if item.start == gone || item.owner == item.start {
			continue
		}
		if plan.upstreams[item.start].with(item.load) <= limit {
			plan.give(item, item.start)
		}
	}
}
