package placer

// strategy searches for a change that takes load off the upstream from.
type strategy func(plan *plan, from int, limit float64) (change, bool)

// settleFractions are the fractions of the distance from the trigger down to the
// target that an upstream must have covered to need no further moves, in order
// of preference. In BenchmarkTrial, the whole distance cost three times the
// fewest moves, and after half of it noise of 10% triggered further rounds.
var settleFractions = []float64{0.75, 0.25, 0}

// overshoot is the fraction of that distance by which the moves of a plan go
// below the load that they need to reach.
const overshoot = 0.25

// maxMoveRatio bounds the cost of a larger settle fraction: its plan may make at
// most this many times the moves of the plan with a smaller one. It is below the
// 2 that the design allows, because plans do not always make the fewest moves.
const maxMoveRatio = 1.5

// strategySequences are the sequences in which strategies are tried. Neither
// makes the fewest moves in all cases, so Plan uses the better result. Without
// the second, 20 changes of the hot keys took six times as many moves on 15
// upstreams.
var strategySequences = [][]strategy{
	{(*plan).lightestSufficient, (*plan).heaviestFitting, (*plan).swap, (*plan).lowestMaximum},
	{(*plan).lightestSufficient, (*plan).heaviestImproving, (*plan).lowestMaximum},
}

// balance moves items off the most loaded upstreams until all have covered the
// fraction of the distance from trigger to target, or no change helps.
func (plan *plan) balance(trigger, target, fraction float64, strategies []strategy) {
	limit := (trigger + (fraction+overshoot)*(target-trigger)) * plan.mean
	sufficient := (trigger + fraction*(target-trigger)) * plan.mean
	exhausted := make([]bool, len(plan.upstreams))
	// Each step lowers the load of the most loaded upstream that can still be
	// improved. The bound on the steps only guards against a loop that rounding
	// errors keep alive.
	for range 4 * len(plan.items) {
		from := plan.mostLoaded(sufficient, exhausted)
		if from == noUpstream {
			break
		}
		if !plan.reduceLoad(from, limit, strategies) {
			exhausted[from] = true
		}
	}
	plan.revertUnneeded(limit)
}

// mostLoaded returns the upstream with the highest utilization among those that
// exceed the limit and are not exhausted.
func (plan *plan) mostLoaded(limit float64, exhausted []bool) int {
	best := noUpstream
	for index, candidate := range plan.upstreams {
		if !exhausted[index] && candidate.exceeds(limit) && (best == noUpstream || candidate.utilization() > plan.upstreams[best].utilization()) {
			best = index
		}
	}
	return best
}

// change is a move of one item, or a swap if inReturn is set.
type change struct {
	item, inReturn *planItem
	to             int
}

func (plan *plan) apply(change change, from int) {
	plan.assign(change.item, change.to)
	if change.inReturn != nil {
		plan.assign(change.inReturn, from)
	}
}

// reduceLoad takes load off the upstream by the change of the first strategy
// that finds one. It returns false when none does.
func (plan *plan) reduceLoad(from int, limit float64, strategies []strategy) bool {
	for _, strategy := range strategies {
		if found, ok := strategy(plan, from, limit); ok {
			plan.apply(found, from)
			return true
		}
	}
	return false
}

// excess is the load that the upstream must lose to reach the limit.
func (plan *plan) excess(from int, limit float64) float64 {
	upstream := plan.upstreams[from]
	return upstream.load - upstream.effectiveLimit(limit)*upstream.capacity
}

// lightestSufficient returns the move of the lightest item that brings the
// upstream to the limit and keeps the receiver within it.
func (plan *plan) lightestSufficient(from int, limit float64) (change, bool) {
	excess := plan.excess(from, limit) * (1 - tolerance)
	items := plan.upstreams[from].items
	for index := len(items) - 1; index >= 0; index-- {
		if items[index].load < excess {
			continue
		}
		if to := plan.leastLoadedWithin(from, items[index].load, limit); to != noUpstream {
			return change{item: items[index], to: to}, true
		}
	}
	return change{}, false
}

// heaviestFitting returns the move of the heaviest item that keeps the receiver
// within the limit.
func (plan *plan) heaviestFitting(from int, limit float64) (change, bool) {
	for _, item := range plan.upstreams[from].items {
		if item.load <= 0 {
			break
		}
		if to := plan.leastLoadedWithin(from, item.load, limit); to != noUpstream {
			return change{item: item, to: to}, true
		}
	}
	return change{}, false
}

// heaviestImproving returns the move of the heaviest item that leaves the
// receiver with a lower utilization than the upstream has now. The receiver may
// then exceed the limit and need moves of its own, which can still be fewer than
// those of many light items.
func (plan *plan) heaviestImproving(from int, _ float64) (change, bool) {
	source := plan.upstreams[from]
	for _, item := range source.items {
		if item.load <= 0 {
			break
		}
		if to := plan.leastLoadedWithin(from, item.load, source.utilization()*(1-tolerance)); to != noUpstream {
			return change{item: item, to: to}, true
		}
	}
	return change{}, false
}

// leastLoadedWithin returns the other upstream that has the lowest utilization
// once the load is added, if that is within the limit.
func (plan *plan) leastLoadedWithin(from int, load, limit float64) int {
	best := noUpstream
	for index, candidate := range plan.upstreams {
		if index != from && candidate.utilizationWith(load) <= limit && (best == noUpstream || candidate.utilizationWith(load) < plan.upstreams[best].utilizationWith(load)) {
			best = index
		}
	}
	return best
}

// swap returns the first exchange of an item for a lighter one that brings the
// upstream to the limit and keeps the receiver within it.
func (plan *plan) swap(from int, limit float64) (change, bool) {
	excess := plan.excess(from, limit) * (1 - tolerance)
	for _, item := range swapCandidates(plan.upstreams[from].items) {
		for to, other := range plan.upstreams {
			if to == from || item.load < excess {
				continue
			}
			for _, inReturn := range swapCandidates(other.items) {
				difference := item.load - inReturn.load
				if difference >= excess && other.utilizationWith(difference) <= limit {
					return change{item: item, inReturn: inReturn, to: to}, true
				}
			}
		}
	}
	return change{}, false
}

// swapCandidates returns the heaviest items, with which swaps are tried. Trying
// all pairs of the items of a service with 16384 shards would take seconds.
func swapCandidates(items []*planItem) []*planItem { return items[:min(len(items), 64)] }

// lowestMaximum returns the move that leaves the lowest maximum of the
// utilizations of the upstream and the receiver, if that is lower than the
// upstream's utilization now.
func (plan *plan) lowestMaximum(from int, _ float64) (change, bool) {
	source := plan.upstreams[from]
	best, lowest := change{}, source.utilization()*(1-tolerance)
	for _, item := range source.items {
		if item.load <= 0 {
			break
		}
		for to, other := range plan.upstreams {
			if highest := max(source.utilizationWith(-item.load), other.utilizationWith(item.load)); to != from && highest < lowest {
				best, lowest = change{item: item, to: to}, highest
			}
		}
	}
	return best, best.item != nil
}

// revertUnneeded returns items to their initial owners where that keeps these
// within the limit, because later moves can make earlier ones unnecessary. In
// the property test this happens about once in 2000 inputs.
func (plan *plan) revertUnneeded(limit float64) {
	for index := len(plan.items) - 1; index >= 0; index-- {
		item := plan.items[index]
		if item.initialOwner == noUpstream || item.owner == item.initialOwner {
			continue
		}
		if plan.upstreams[item.initialOwner].utilizationWith(item.load) <= limit {
			plan.assign(item, item.initialOwner)
		}
	}
}
