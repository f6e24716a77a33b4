package partitioner

import (
	"cmp"
	"math"
	"slices"
)

// relieve moves keys from the most used member to the least used one.
func (plan *plan) relieve() bool {
	from, to := plan.most(), plan.least()
	if from == "" || from == to {
		return false
	}
	mean := plan.mean()
	source, target := plan.members[from], plan.members[to]
	used := plan.load[from] / source.Capacity
	excess := plan.load[from] - mean*source.Capacity
	if used < idle || used < plan.Tolerance*mean || excess < deviations*math.Sqrt(plan.load[from]/plan.RateWindow) {
		return false
	}
	if plan.moveHottest(from) {
		return true
	}
	level := mean
	if used > overloaded {
		level = max(mean, filled)
	}
	wanted := min(excess, level*target.Capacity-plan.load[to])
	if plan.PreferShortRanges {
		return plan.move(from, to, wanted) || plan.moveBeside(from, to, wanted)
	}
	return plan.moveEdge(from, to, wanted) || plan.move(from, to, wanted) || plan.moveBeside(from, to, wanted)
}

const (
	// overloaded is the utilisation above which requests wait long or are refused.
	overloaded = 0.9
	// filled is the utilisation up to which members take keys of an overloaded one:
	// the fewest members take them, in the fewest moves, and with two or more slots
	// most requests still find one free. Later plans even the load out.
	filled = 0.7
)

// hotShare is the part of a member's capacity from which on a single key is
// placed for itself.
const hotShare = 0.4

// otherKeys is the weight of a member's other keys when a single hot key is placed.
const otherKeys = 0.3

// hottest returns the key with the highest rate in the range.
func (plan *plan) hottest(from, to int) (key int, rate float64) {
	key = from
	for candidate := from; candidate <= to; candidate++ {
		if found := plan.rate(candidate, candidate); found > rate {
			key, rate = candidate, found
		}
	}
	return key, rate
}

// moveHottest gives a single key that takes much of a member's capacity to the
// member that can serve it best, which is often the fastest one.
func (plan *plan) moveHottest(from string) bool {
	key, rate := -1, 0.0
	for i, span := range plan.partition {
		if span.Owner != from {
			continue
		}
		if found, high := plan.hottest(span.From, plan.end(i)); high > rate {
			key, rate = found, high
		}
	}
	if rate < hotShare*plan.members[from].Capacity {
		return false
	}
	// The other keys of the member can leave it afterwards, so that they count less.
	after := func(id string) float64 { return (rate + otherKeys*plan.load[id]) / plan.members[id].Capacity }
	others := slices.DeleteFunc(slices.Clone(plan.order), func(id string) bool { return id == from })
	if len(others) == 0 {
		return false
	}
	best := slices.MinFunc(others, func(a, b string) int { return cmp.Compare(after(a), after(b)) })
	if after(best) >= 0.9*(rate+otherKeys*(plan.load[from]-rate))/plan.members[from].Capacity {
		return false
	}
	plan.give(key, key, best)
	return true
}

// moveBeside takes keys off a member that has a key hotter than can be moved: the
// largest run beside its hottest keys that the other member can take.
func (plan *plan) moveBeside(from, to string, wanted float64) bool {
	bestFrom, bestTo, bestRate := -1, -1, 0.0
	consider := func(low, high int) {
		if low > high {
			return
		}
		rate := plan.rate(low, high)
		if rate <= bestRate || rate > 1.3*wanted || !plan.helps(from, to, rate) {
			return
		}
		bestFrom, bestTo, bestRate = low, high, rate
	}
	for i, span := range plan.partition {
		if span.Owner != from {
			continue
		}
		last := plan.end(i)
		key, _ := plan.hottest(span.From, last)
		consider(span.From, last)
		consider(span.From, key-1)
		consider(key+1, last)
	}
	if bestFrom < 0 {
		return false
	}
	plan.give(bestFrom, bestTo, to)
	return true
}

// moveEdge gives keys from the beginning or the end of a span with about the
// wanted rate to another member: as few keys as possible, but whole spans first.
func (plan *plan) moveEdge(from, to string, wanted float64) bool {
	bestFrom, bestTo, bestPieces := -1, -1, 0
	consider := func(low, high, pieces int) {
		rate := plan.rate(low, high)
		if rate < 0.5*wanted || rate > 1.3*wanted || !plan.helps(from, to, rate) {
			return
		}
		if bestFrom < 0 || pieces < bestPieces || (pieces == bestPieces && high-low < bestTo-bestFrom) {
			bestFrom, bestTo, bestPieces = low, high, pieces
		}
	}
	for i, span := range plan.partition {
		if span.Owner != from {
			continue
		}
		last := plan.end(i)
		consider(span.From, last, pieces(plan.partition, i, to, true, true))
		if cut := plan.cut(span.From, wanted); cut < last {
			consider(span.From, cut, 1+pieces(plan.partition, i, to, true, false))
		}
		if cut := plan.cutBack(last, wanted); cut > span.From {
			consider(cut, last, 1+pieces(plan.partition, i, to, false, true))
		}
	}
	if bestFrom < 0 {
		return false
	}
	plan.give(bestFrom, bestTo, to)
	return true
}

// pieces tells how many spans a partition gains when keys that touch the given
// edges of a span go to another member: fewer when that member is the neighbour.
func pieces(partition Partition, index int, to string, first, last bool) int {
	count := 0
	if first && index > 0 && partition[index-1].Owner == to {
		count--
	}
	if last && index+1 < len(partition) && partition[index+1].Owner == to {
		count--
	}
	return count
}

// cut returns the last key of the run from low that has about the wanted rate.
func (plan *plan) cut(low int, wanted float64) int {
	at, _ := slices.BinarySearch(plan.sums, plan.sums[low]+wanted)
	return max(at-1, low)
}

// cutBack returns the first key of the run up to high that has about the wanted rate.
func (plan *plan) cutBack(high int, wanted float64) int {
	at, _ := slices.BinarySearch(plan.sums, plan.sums[high+1]-wanted)
	return min(at, high)
}

// move gives the shortest run of keys with about the wanted rate to another
// member. A single key above that rate moves when the other member is less used
// with it than the first one is now.
func (plan *plan) move(from, to string, wanted float64) bool {
	bestFrom, bestTo := -1, -1
	for i, span := range plan.partition {
		if span.Owner != from {
			continue
		}
		low := span.From
		for high := span.From; high <= plan.end(i); high++ {
			for low < high && plan.rate(low+1, high) >= 0.7*wanted {
				low++
			}
			rate := plan.rate(low, high)
			if rate < 0.7*wanted || !plan.helps(from, to, rate) {
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
	plan.give(bestFrom, bestTo, to)
	return true
}

// helps reports whether the move lowers the use of the more used of the two.
func (plan *plan) helps(from, to string, rate float64) bool {
	return (plan.load[to]+rate)/plan.members[to].Capacity < 0.9*plan.use(from)
}

// moveSpan gives a whole span of a member to another one, or half of it when the
// member has no other.
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
	first, last := plan.partition[chosen].From, plan.end(chosen)
	if count == 1 {
		first += (last - first + 1) / 2
	}
	plan.give(first, last, to)
}

func (plan *plan) give(from, to int, owner string) {
	plan.partition = plan.partition.WithOwner(from, to, owner, plan.Keys).merged()
	plan.measure()
}
