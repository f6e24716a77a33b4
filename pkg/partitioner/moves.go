package partitioner

import (
	"cmp"
	"math"
	"slices"
)

// rebalance moves keys from the member with the highest utilization, of those that are
// not settled, to the one with the lowest, if the difference is worth a move. It reports
// whether keys were moved.
func (plan *plan) rebalance() bool {
	unsettled := slices.DeleteFunc(slices.Clone(plan.memberIDs), func(id string) bool { return plan.settled[id] })
	if len(unsettled) == 0 {
		return false
	}
	from, to := plan.mostUtilizedOf(unsettled), plan.leastUtilized()
	if from == to {
		return false
	}
	meanUtilization := plan.meanUtilization()
	source, target := plan.members[from], plan.members[to]
	utilization := plan.load[from] / source.Capacity
	excess := plan.load[from] - meanUtilization*source.Capacity
	if utilization < minUtilization || utilization < plan.Tolerance*meanUtilization || excess < max(minDeviations, chanceDeviations(len(plan.members)))*math.Sqrt(plan.load[from]/plan.RateWindow) {
		return false
	}
	moved, unservable := plan.moveHotKey(from)
	if moved {
		return true
	}
	targetUtilization := meanUtilization
	if utilization > overloadUtilization {
		targetUtilization = max(meanUtilization, offloadUtilization)
	}
	wantedRate := min(excess, targetUtilization*target.Capacity-plan.load[to])
	if unservable {
		if plan.moveBesideHotKey(from, to, wantedRate) {
			return true
		}
		plan.settled[from] = true
		return plan.rebalance()
	}
	if plan.PreferShortRanges {
		return plan.moveShortestRange(from, to, wantedRate) || plan.moveBesideHotKey(from, to, wantedRate)
	}
	return plan.moveFromSpanEdge(from, to, wantedRate) || plan.moveShortestRange(from, to, wantedRate) || plan.moveBesideHotKey(from, to, wantedRate)
}

const (
	// overloadUtilization is the utilization above which requests wait long or are
	// refused.
	overloadUtilization = 0.9
	// offloadUtilization is the utilization up to which a member receives keys of an
	// overloaded one, if the mean is lower. Compared with filling members to the mean,
	// fewer members receive the keys, in fewer moves, and with two or more slots most
	// requests still find a free one. Later plans even out the load.
	offloadUtilization = 0.7
)

// chanceDeviations returns about the largest of as many normal deviations as there are
// members, in standard deviations: random variation alone must not move keys.
func chanceDeviations(members int) float64 { return math.Sqrt(2 * math.Log(float64(members))) }

// unservableKeyGain is how much more capacity than its owner another member must have to
// get a key that overloads either. Measured capacities vary by less, and the owner's is
// measured under overload.
const unservableKeyGain = 1.5

// hotKeyShare is the share of a member's capacity from which on a single key counts as
// hot and is moved on its own.
const hotKeyShare = 0.4

// otherKeysWeight is the weight of the load of a member's other keys when the member
// for a hot key is chosen. It is below 1 because those keys can be moved afterwards.
const otherKeysWeight = 0.3

// hottestKey returns the key with the highest rate in the range.
func (plan *plan) hottestKey(from, to int) (key int, rate float64) {
	key = from
	for candidate := from; candidate <= to; candidate++ {
		if found := plan.rate(candidate, candidate); found > rate {
			key, rate = candidate, found
		}
	}
	return key, rate
}

// moveHotKey moves the member's hottest key, if it uses much of the member's capacity,
// to the member that would have the lowest utilization with it, which is often the
// fastest one. It reports whether the key was moved, and whether the key stays although it
// has more requests than any member can serve.
func (plan *plan) moveHotKey(from string) (moved, unservable bool) {
	key, rate := -1, 0.0
	for i, span := range plan.partition {
		if span.Owner != from {
			continue
		}
		if found, high := plan.hottestKey(span.From, plan.lastKey(i)); high > rate {
			key, rate = found, high
		}
	}
	if rate < hotKeyShare*plan.members[from].Capacity {
		return false, false
	}
	utilizationWith := func(id string) float64 { return (rate + otherKeysWeight*plan.load[id]) / plan.members[id].Capacity }
	others := slices.DeleteFunc(slices.Clone(plan.memberIDs), func(id string) bool { return id == from })
	if len(others) == 0 {
		return false, false
	}
	best := slices.MinFunc(others, func(a, b string) int { return cmp.Compare(utilizationWith(a), utilizationWith(b)) })
	if rate > plan.members[best].Capacity && plan.members[best].Capacity < unservableKeyGain*plan.members[from].Capacity {
		return false, true
	}
	if utilizationWith(best) >= 0.9*(rate+otherKeysWeight*(plan.load[from]-rate))/plan.members[from].Capacity {
		return false, false
	}
	plan.reassign(key, key, best)
	return true, false
}

// moveBesideHotKey moves keys from a member whose hottest key has too high a rate to be
// moved itself: of the whole spans and the ranges on either side of the hottest key in
// a span, the one with the highest rate that the other member can receive.
func (plan *plan) moveBesideHotKey(from, to string, wantedRate float64) bool {
	bestFrom, bestTo, bestRate := -1, -1, 0.0
	consider := func(low, high int) {
		if low > high {
			return
		}
		rate := plan.rate(low, high)
		if rate <= bestRate || rate > 1.3*wantedRate || !plan.reducesPeak(from, to, rate) {
			return
		}
		bestFrom, bestTo, bestRate = low, high, rate
	}
	for i, span := range plan.partition {
		if span.Owner != from {
			continue
		}
		last := plan.lastKey(i)
		key, _ := plan.hottestKey(span.From, last)
		consider(span.From, last)
		consider(span.From, key-1)
		consider(key+1, last)
	}
	if bestFrom < 0 {
		return false
	}
	plan.reassign(bestFrom, bestTo, to)
	return true
}

// moveFromSpanEdge moves keys with about the wanted rate from the beginning or the end
// of a span to another member. It prefers the move that adds the fewest spans, such as
// that of a whole span, and then the one of the fewest keys.
func (plan *plan) moveFromSpanEdge(from, to string, wantedRate float64) bool {
	bestFrom, bestTo, bestAdded := -1, -1, 0
	consider := func(low, high, added int) {
		rate := plan.rate(low, high)
		if rate < 0.5*wantedRate || rate > 1.3*wantedRate || !plan.reducesPeak(from, to, rate) {
			return
		}
		if bestFrom < 0 || added < bestAdded || (added == bestAdded && high-low < bestTo-bestFrom) {
			bestFrom, bestTo, bestAdded = low, high, added
		}
	}
	for i, span := range plan.partition {
		if span.Owner != from {
			continue
		}
		last := plan.lastKey(i)
		consider(span.From, last, addedSpans(plan.partition, i, to, true, true))
		if end := plan.rangeEnd(span.From, wantedRate); end < last {
			consider(span.From, end, 1+addedSpans(plan.partition, i, to, true, false))
		}
		if start := plan.rangeStart(last, wantedRate); start > span.From {
			consider(start, last, 1+addedSpans(plan.partition, i, to, false, true))
		}
	}
	if bestFrom < 0 {
		return false
	}
	plan.reassign(bestFrom, bestTo, to)
	return true
}

// addedSpans returns the change in the number of spans when keys at the given edges of
// a span move to another member: -1 for each of these edges at which the neighboring
// span belongs to that member. If the span is divided, the caller adds 1.
func addedSpans(partition Partition, index int, to string, first, last bool) int {
	count := 0
	if first && index > 0 && partition[index-1].Owner == to {
		count--
	}
	if last && index+1 < len(partition) && partition[index+1].Owner == to {
		count--
	}
	return count
}

// rangeEnd returns the last key of the range from low with about the wanted rate.
func (plan *plan) rangeEnd(low int, wantedRate float64) int {
	at, _ := slices.BinarySearch(plan.prefixSums, plan.prefixSums[low]+wantedRate)
	return max(at-1, low)
}

// rangeStart returns the first key of the range up to high with about the wanted rate.
func (plan *plan) rangeStart(high int, wantedRate float64) int {
	at, _ := slices.BinarySearch(plan.prefixSums, plan.prefixSums[high+1]-wantedRate)
	return min(at, high)
}

// moveShortestRange moves the shortest range of keys with at least about the wanted
// rate to another member, if that member then has a lower utilization than the first
// one has now. The range can be a single key with a much higher rate.
func (plan *plan) moveShortestRange(from, to string, wantedRate float64) bool {
	bestFrom, bestTo := -1, -1
	for i, span := range plan.partition {
		if span.Owner != from {
			continue
		}
		low := span.From
		for high := span.From; high <= plan.lastKey(i); high++ {
			for low < high && plan.rate(low+1, high) >= 0.7*wantedRate {
				low++
			}
			rate := plan.rate(low, high)
			if rate < 0.7*wantedRate || !plan.reducesPeak(from, to, rate) {
				continue
			}
			if bestFrom < 0 || high-low < bestTo-bestFrom {
				bestFrom, bestTo = low, high
			}
		}
	}
	if bestFrom < 0 {
		return false
	}
	plan.reassign(bestFrom, bestTo, to)
	return true
}

// reducesPeak reports whether the receiving member, with the moved rate, has a clearly
// lower utilization than the other member has now.
func (plan *plan) reducesPeak(from, to string, rate float64) bool {
	return (plan.load[to]+rate)/plan.members[to].Capacity < 0.9*plan.utilization(from)
}

// moveSpan moves the last span of a member to another one, or its second half if the
// member has no other span.
func (plan *plan) moveSpan(from, to string) {
	count, chosen := 0, -1
	for i, span := range plan.partition {
		if span.Owner == from {
			count++
			chosen = i
		}
	}
	if chosen < 0 {
		return
	}
	first, last := plan.partition[chosen].From, plan.lastKey(chosen)
	if count == 1 {
		first += (last - first + 1) / 2
	}
	plan.reassign(first, last, to)
}

// reassign makes owner the owner of the keys from..to (inclusive).
func (plan *plan) reassign(from, to int, owner string) {
	plan.partition = plan.partition.WithOwner(from, to, owner, plan.Keys).merged()
	plan.updateLoads()
}
