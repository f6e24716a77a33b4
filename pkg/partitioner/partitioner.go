// Package partitioner decides which upstream owns which keys. Keys are numbers;
// an upstream owns some spans of them. Busy keys lie close to one another and
// change within seconds, so that the first partition deals out many short spans,
// and the load that is measured later moves the shortest span that helps.
package partitioner

import (
	"cmp"
	"math"
	"slices"
)

// Member is an upstream that can own keys.
type Member struct {
	ID string
	// Capacity is the requests per second that it can serve.
	Capacity float64
}

// Span gives the keys from From up to the next span to an owner.
type Span struct {
	From  int
	Owner string // empty for none
}

// Partition is a list of spans in rising order that begins at key 0.
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

// merged returns the partition without borders between spans of one owner.
func (partition Partition) merged() Partition {
	return slices.CompactFunc(partition, func(a, b Span) bool { return a.Owner == b.Owner })
}

// Initial deals the keys out in turn, in spans for each member that are as long
// as its share of the capacity.
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

// Planner changes a partition to follow the members and the load.
type Planner struct {
	// Keys is the number of keys.
	Keys int
	// MaxSpans bounds the spans, each of which costs a renewal.
	MaxSpans int
	// MaxMoves bounds the moves for load of one plan.
	MaxMoves int
	// RateWindow is the time over which the rates were measured, in seconds.
	RateWindow float64
	// Tolerance is the utilisation above the mean, as a factor, that is not worth
	// a move.
	Tolerance float64
	// PreferShortRanges moves the shortest run of keys that helps, as it fits keys that
	// have just become hot. Otherwise keys move from the edges of spans, so that
	// the partition stays in few pieces.
	PreferShortRanges bool
}

const (
	// idle is the utilisation below which an imbalance harms nobody.
	idle = 0.4
	// deviations is how many standard deviations of the measured rate an excess
	// must have, so that chance moves no keys.
	deviations = 1.5
	// floorShare is the part of the total rate that is spread evenly over all
	// keys, so that keys without recent requests have a weight too.
	floorShare = 0.1
)

// plan is the state of one planning round.
type plan struct {
	Planner
	partition Partition
	members   map[string]Member
	order     []string
	sums      []float64 // sums[k] is the rate of the keys below k
	load      map[string]float64
}

// Plan returns the partition for the members and the rates of all keys. Keys of
// owners that are not members go to members; keys move between members only
// where the load asks for it.
func (planner Planner) Plan(current Partition, members []Member, rates []float64) Partition {
	if len(members) == 0 {
		return current
	}
	plan := &plan{Planner: planner, partition: current, members: map[string]Member{}, load: map[string]float64{}}
	for _, member := range members {
		plan.members[member.ID] = member
		plan.order = append(plan.order, member.ID)
	}
	slices.Sort(plan.order)
	plan.sum(rates)
	plan.measure()
	plan.adopt()
	plan.seed()
	for range planner.MaxMoves {
		if len(plan.partition)+2 > planner.MaxSpans || !plan.relieve() {
			break
		}
	}
	return plan.partition
}

func (plan *plan) sum(rates []float64) {
	total := 0.0
	for _, rate := range rates {
		total += rate
	}
	floor := (floorShare*total + 0.01) / float64(plan.Keys)
	plan.sums = make([]float64, plan.Keys+1)
	for key := range plan.Keys {
		rate := floor
		if key < len(rates) {
			rate += rates[key]
		}
		plan.sums[key+1] = plan.sums[key] + rate
	}
}

func (plan *plan) end(index int) int {
	if index+1 < len(plan.partition) {
		return plan.partition[index+1].From - 1
	}
	return plan.Keys - 1
}

func (plan *plan) rate(from, to int) float64 { return plan.sums[to+1] - plan.sums[from] }

func (plan *plan) measure() {
	clear(plan.load)
	for i, span := range plan.partition {
		plan.load[span.Owner] += plan.rate(span.From, plan.end(i))
	}
}

// adopt gives the keys of owners that are not members to the least used members.
func (plan *plan) adopt() {
	changed := slices.Clone(plan.partition)
	for i, span := range changed {
		if _, ok := plan.members[span.Owner]; ok {
			continue
		}
		owner := plan.least()
		changed[i].Owner = owner
		plan.load[owner] += plan.rate(span.From, plan.end(i))
	}
	plan.partition = changed.merged()
}

// seed gives a member without keys a part of the keys of the most used one.
func (plan *plan) seed() {
	for _, id := range plan.order {
		if plan.load[id] > 0 {
			continue
		}
		wanted := plan.mean() * plan.members[id].Capacity
		from := plan.most()
		if from == "" || from == id {
			continue
		}
		if !plan.move(from, id, min(wanted, plan.load[from]/2)) {
			plan.moveSpan(from, id)
		}
	}
}

func (plan *plan) mean() float64 {
	load, capacity := 0.0, 0.0
	for _, id := range plan.order {
		load += plan.load[id]
		capacity += plan.members[id].Capacity
	}
	return load / capacity
}

func (plan *plan) least() string {
	return slices.MinFunc(plan.order, func(a, b string) int { return cmp.Compare(plan.use(a), plan.use(b)) })
}

func (plan *plan) most() string {
	return slices.MaxFunc(plan.order, func(a, b string) int { return cmp.Compare(plan.use(a), plan.use(b)) })
}

func (plan *plan) use(id string) float64 { return plan.load[id] / plan.members[id].Capacity }
