// Package partitioner assigns ranges of numeric keys to upstreams. Keys with high
// request rates are close to one another and change within seconds. The first
// partition therefore has many short spans per upstream, and later plans move short
// ranges of keys by the measured load.
package partitioner

import (
	"cmp"
	"math"
	"slices"
)

// Member is an upstream that can own keys.
type Member struct {
	ID string
	// Capacity is the number of requests per second that it can serve.
	Capacity float64
}

// Span assigns the keys from From up to the next span to an owner.
type Span struct {
	From  int
	Owner string // empty for none
}

// Partition is a list of spans in ascending order of keys that begins at key 0.
type Partition []Span

// Owner returns the owner of a key.
func (partition Partition) Owner(key int) string {
	index, found := slices.BinarySearchFunc(partition, key, func(span Span, key int) int { return cmp.Compare(span.From, key) })
	if !found {
		index--
	}
	if index < 0 {
		return ""
	}
	return partition[index].Owner
}

// WithOwner returns a copy in which the keys from..to (inclusive) belong to owner.
func (partition Partition) WithOwner(from, to int, owner string, keys int) Partition {
	after := partition.Owner(min(to+1, keys-1))
	changed := make(Partition, 0, len(partition)+2)
	placed := false
	add := func(span Span) { changed = append(changed, span) }
	for _, span := range partition {
		if span.From >= from && !placed {
			add(Span{From: from, Owner: owner})
			if to+1 < keys {
				add(Span{From: to + 1, Owner: after})
			}
			placed = true
		}
		if span.From < from || span.From > to+1 {
			add(span)
		}
	}
	if !placed {
		add(Span{From: from, Owner: owner})
		if to+1 < keys {
			add(Span{From: to + 1, Owner: after})
		}
	}
	return changed
}

// merged returns the partition with neighboring spans of the same owner joined.
func (partition Partition) merged() Partition {
	return slices.CompactFunc(partition, func(a, b Span) bool { return a.Owner == b.Owner })
}

// Initial assigns spans to the members in turn, spansPerMember to each. The lengths of
// the spans are proportional to the capacities.
func Initial(members []Member, keys, spansPerMember int) Partition {
	if len(members) == 0 {
		return Partition{{From: 0}}
	}
	total := 0.0
	for _, member := range members {
		total += member.Capacity
	}
	var partition Partition
	position := 0.0
	for range spansPerMember {
		for _, member := range members {
			from := int(math.Round(position))
			position += float64(keys) / float64(spansPerMember) * member.Capacity / total
			if int(math.Round(position)) > from {
				partition = append(partition, Span{From: from, Owner: member.ID})
			}
		}
	}
	return partition
}

// Planner adapts a partition to the members and the load.
type Planner struct {
	// Keys is the number of keys.
	Keys int
	// MaxSpans bounds the number of spans, because the grant of each one is renewed on
	// its own. No keys are moved to balance load if that could exceed it.
	MaxSpans int
	// MaxMoves bounds the moves of one plan that balance load or give keys to members
	// without any. If it is 0, only keys of owners that are not members move.
	MaxMoves int
	// RateWindow is the time over which the rates were measured, in seconds.
	RateWindow float64
	// Tolerance is the utilization, as a factor of the mean, below which keys are not
	// moved from a member.
	Tolerance float64
	// PreferShortRanges moves the shortest ranges of keys that balance the load, which
	// suits keys whose rates have just risen. Otherwise keys are moved from the edges
	// of spans if possible, so that the partition keeps few spans.
	PreferShortRanges bool
}

const (
	// minUtilization is the utilization below which keys are not moved from a member,
	// because an imbalance has no effect on requests there.
	minUtilization = 0.4
	// minDeviations is the least excess, in standard deviations of the measured rate,
	// above which keys are moved: see chanceDeviations.
	minDeviations = 1.5
	// baselineShare is a share of the total rate that is added evenly to the rates of
	// all keys, so that keys without recent requests have a weight too.
	baselineShare = 0.1
)

// plan is the state of one call of Planner.Plan.
type plan struct {
	Planner
	partition  Partition
	members    map[string]Member
	memberIDs  []string
	prefixSums []float64 // at index k the rate of all keys below k
	load       map[string]float64
	// settled are the members whose load is one key that no member can serve, and that
	// stays where it is.
	settled map[string]bool
}

// Plan returns the partition for the members and the rates of all keys. Keys of
// owners that are not members are assigned to members, and members without keys get
// some. Other keys are moved only to balance the load, within MaxMoves.
func (planner Planner) Plan(current Partition, members []Member, rates []float64) Partition {
	if len(members) == 0 {
		return current
	}
	plan := &plan{Planner: planner, partition: current, members: map[string]Member{}, load: map[string]float64{}, settled: map[string]bool{}}
	for _, member := range members {
		plan.members[member.ID] = member
		plan.memberIDs = append(plan.memberIDs, member.ID)
	}
	slices.Sort(plan.memberIDs)
	plan.computePrefixSums(rates)
	plan.updateLoads()
	plan.assignOrphans()
	for range planner.MaxMoves - plan.populateEmpty() {
		if len(plan.partition)+2 > planner.MaxSpans || !plan.rebalance() {
			break
		}
	}
	return plan.partition
}

// computePrefixSums sets the prefix sums of the rates, with the baseline added.
func (plan *plan) computePrefixSums(rates []float64) {
	total := 0.0
	for _, rate := range rates {
		total += rate
	}
	baseline := (baselineShare*total + 0.01) / float64(plan.Keys)
	plan.prefixSums = make([]float64, plan.Keys+1)
	for key := range plan.Keys {
		rate := baseline
		if key < len(rates) {
			rate += rates[key]
		}
		plan.prefixSums[key+1] = plan.prefixSums[key] + rate
	}
}

// lastKey returns the last key of the span at the index.
func (plan *plan) lastKey(index int) int {
	if index+1 < len(plan.partition) {
		return plan.partition[index+1].From - 1
	}
	return plan.Keys - 1
}

// rate returns the rate of the keys from..to (inclusive).
func (plan *plan) rate(from, to int) float64 { return plan.prefixSums[to+1] - plan.prefixSums[from] }

// updateLoads computes the load of each member from the partition.
func (plan *plan) updateLoads() {
	clear(plan.load)
	for i, span := range plan.partition {
		plan.load[span.Owner] += plan.rate(span.From, plan.lastKey(i))
	}
}

// assignOrphans assigns the spans of owners that are not members, each to the member
// with the lowest utilization at that point.
func (plan *plan) assignOrphans() {
	changed := slices.Clone(plan.partition)
	for i, span := range changed {
		if _, ok := plan.members[span.Owner]; ok {
			continue
		}
		owner := plan.leastUtilized()
		changed[i].Owner = owner
		plan.load[owner] += plan.rate(span.From, plan.lastKey(i))
	}
	plan.partition = changed.merged()
}

// populateEmpty moves keys to members without keys, each time from the member with the
// highest utilization. The members of a whole zone that returns get theirs in several
// plans: they are cold, and each move interrupts the requests for its keys. It returns the
// number of members that needed keys, at most MaxMoves.
func (plan *plan) populateEmpty() (populated int) {
	for _, id := range plan.memberIDs {
		if plan.load[id] > 0 || populated == plan.MaxMoves {
			continue
		}
		populated++
		wantedRate := plan.meanUtilization() * plan.members[id].Capacity
		from := plan.mostUtilized()
		if from == "" || from == id {
			continue
		}
		if !plan.moveShortestRange(from, id, min(wantedRate, plan.load[from]/2)) {
			plan.moveSpan(from, id)
		}
	}
	return populated
}

func (plan *plan) meanUtilization() float64 {
	load, capacity := 0.0, 0.0
	for _, id := range plan.memberIDs {
		load += plan.load[id]
		capacity += plan.members[id].Capacity
	}
	return load / capacity
}

func (plan *plan) leastUtilized() string {
	return slices.MinFunc(plan.memberIDs, func(a, b string) int { return cmp.Compare(plan.utilization(a), plan.utilization(b)) })
}

func (plan *plan) mostUtilized() string { return plan.mostUtilizedOf(plan.memberIDs) }

func (plan *plan) mostUtilizedOf(ids []string) string {
	return slices.MaxFunc(ids, func(a, b string) int { return cmp.Compare(plan.utilization(a), plan.utilization(b)) })
}

func (plan *plan) utilization(id string) float64 { return plan.load[id] / plan.members[id].Capacity }
