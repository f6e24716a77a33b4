package dispatcher

import (
	"maps"
	"slices"

	"github.com/cuminstream/cuminstream/internal/asserter"
	"github.com/cuminstream/cuminstream/internal/replicator"
)

// placementUnit is the unit of ownership: a shard, or a hot key that is
// assigned separately from its shard.
type placementUnit struct {
	shard uint32
	key   string // empty for a shard
}

// unitSet is a set of placement units, such as those that a grant covers.
type unitSet map[placementUnit]bool

// ownership records to which upstream each placement unit is assigned, which
// upstream may still act as its owner, and where each key has requests in
// flight. The assigned upstream serves a unit only once no other upstream holds
// it.
type ownership struct {
	assignment replicator.Assignment
	holders    map[placementUnit]string // upstreams that may act as the owner
	activeKeys map[string]*keyActivity
	// revision increases with each change that may change a grant.
	revision uint64
}

// keyActivity counts the requests of one key that are in flight at an upstream.
type keyActivity struct {
	upstream string
	count    int
}

func newOwnership() *ownership {
	return &ownership{holders: map[placementUnit]string{}, activeKeys: map[string]*keyActivity{}}
}

// reset sets the assignment of a new term and clears the holders of the former
// term. It keeps the requests that are still in flight.
func (ownership *ownership) reset(assignment replicator.Assignment) {
	ownership.assignment = assignment
	ownership.holders = map[placementUnit]string{}
	ownership.revision++
}

// assignedOwner returns the placement unit of the key and the upstream to which
// it is assigned.
func (ownership *ownership) assignedOwner(key string, shard uint32) (placementUnit, string) {
	if owner, ok := ownership.assignment.HotKeys[key]; ok {
		return placementUnit{shard: shard, key: key}, owner
	}
	return placementUnit{shard: shard}, ownership.assignment.Shards[shard]
}

// assignedUnits returns all units that are assigned to the upstream.
func (ownership *ownership) assignedUnits(upstream string, shardOf func(string) uint32) unitSet {
	owned := unitSet{}
	for shard, owner := range ownership.assignment.Shards {
		if owner == upstream {
			owned[placementUnit{shard: shard}] = true
		}
	}
	for key, owner := range ownership.assignment.HotKeys {
		if owner == upstream {
			owned[placementUnit{shard: shardOf(key), key: key}] = true
		}
	}
	return owned
}

// claimGrantable returns the units that a grant to the upstream may cover now,
// and makes the upstream their holder.
func (ownership *ownership) claimGrantable(upstream string, shardOf func(string) uint32) unitSet {
	owned := ownership.assignedUnits(upstream, shardOf)
	for unit := range owned {
		if holder := ownership.holders[unit]; holder != "" && holder != upstream {
			delete(owned, unit)
			continue
		}
		ownership.holders[unit] = upstream
	}
	return owned
}

// unitsToRelease returns the units that the upstream holds and that are not in
// covered.
func (ownership *ownership) unitsToRelease(upstream string, covered unitSet) []placementUnit {
	var units []placementUnit
	for unit, holder := range ownership.holders {
		if holder == upstream && !covered[unit] {
			units = append(units, unit)
		}
	}
	return units
}

// release removes the upstream as the holder of the units.
func (ownership *ownership) release(upstream string, units []placementUnit) {
	for _, unit := range units {
		if ownership.holders[unit] == upstream {
			delete(ownership.holders, unit)
			ownership.revision++
		}
	}
}

// holdsAny reports whether the upstream may act as the owner of any unit.
func (ownership *ownership) holdsAny(upstream string) bool {
	for _, holder := range ownership.holders {
		if holder == upstream {
			return true
		}
	}
	return false
}

// apply puts the assignment into effect and returns the units whose assigned
// upstream has changed. A key that becomes separate from its shard is held by
// the upstream that holds the shard.
func (ownership *ownership) apply(next replicator.Assignment, shardOf func(string) uint32) []placementUnit {
	var changed []placementUnit
	for shard, owner := range next.Shards {
		if ownership.assignment.Shards[shard] != owner {
			changed = append(changed, placementUnit{shard: shard})
		}
	}
	for shard := range ownership.assignment.Shards {
		if _, ok := next.Shards[shard]; !ok {
			changed = append(changed, placementUnit{shard: shard})
		}
	}
	for key, owner := range next.HotKeys {
		if before, ok := ownership.assignment.HotKeys[key]; ok && before == owner {
			continue
		}
		hot := placementUnit{shard: shardOf(key), key: key}
		if _, ok := ownership.assignment.HotKeys[key]; !ok {
			if holder := ownership.holders[placementUnit{shard: hot.shard}]; holder != "" {
				ownership.holders[hot] = holder
			}
		}
		changed = append(changed, hot)
	}
	ownership.assignment = next
	ownership.revision++
	return changed
}

// requestStarted counts a request of the key at the upstream.
func (ownership *ownership) requestStarted(key, upstream string) {
	activity := ownership.activeKeys[key]
	if activity == nil {
		activity = &keyActivity{upstream: upstream}
		ownership.activeKeys[key] = activity
	}
	asserter.That(activity.upstream == upstream, asserter.SoleOwner,
		"key %q starts at %s while %d requests run at %s", key, upstream, activity.count, activity.upstream)
	activity.count++
}

// requestEnded subtracts a request of the key, and reports whether it was the
// last one.
func (ownership *ownership) requestEnded(key string) bool {
	activity := ownership.activeKeys[key]
	if activity == nil {
		return false
	}
	activity.count--
	if activity.count > 0 {
		return false
	}
	delete(ownership.activeKeys, key)
	return true
}

// runsElsewhere reports whether the key has requests in flight at another
// upstream.
func (ownership *ownership) runsElsewhere(key, upstream string) bool {
	activity := ownership.activeKeys[key]
	return activity != nil && activity.upstream != upstream
}

// buildGrant returns the grant that covers the units, with its lists sorted.
func (ownership *ownership) buildGrant(upstream string, covered unitSet, shardOf func(string) uint32) Grant {
	var grant Grant
	for unit := range covered {
		if unit.key != "" {
			grant.Keys = append(grant.Keys, unit.key)
		} else {
			grant.Shards = append(grant.Shards, unit.shard)
		}
	}
	for key := range ownership.assignment.HotKeys {
		hot := placementUnit{shard: shardOf(key), key: key}
		if !covered[hot] && ownership.assignment.Shards[hot.shard] == upstream {
			grant.ExcludedKeys = append(grant.ExcludedKeys, key)
		}
	}
	slices.Sort(grant.Shards)
	slices.Sort(grant.Keys)
	slices.Sort(grant.ExcludedKeys)
	return grant
}

// cloneOrEmpty returns a copy of the map that is never nil.
func cloneOrEmpty[K comparable, V any](original map[K]V) map[K]V {
	if original == nil {
		return map[K]V{}
	}
	return maps.Clone(original)
}
