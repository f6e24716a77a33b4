package dispatcher

import (
	"maps"
	"slices"

	"github.com/cuminstream/cuminstream/internal/asserter"
	"github.com/cuminstream/cuminstream/internal/replicator"
)

// place is the unit of ownership: a shard, or a hot key apart from its shard.
type placementUnit struct {
	shard uint32
	key   string // empty for a shard
}

// content is what a grant covers.
type unitSet map[placementUnit]bool

// ownership knows which upstream shall own each place (the assignment in
// effect), which upstream may still act as the owner (held), and where each key
// has requests in flight. A place is served by its target only once no other
// upstream holds it.
type ownership struct {
	assignment replicator.Assignment
	holders    map[placementUnit]string
	activeKeys map[string]*keyActivity
	// revision rises with each change from which another grant may follow.
	revision uint64
}

// run counts the requests of one key that are in flight at an upstream.
type keyActivity struct {
	upstream string
	count    int
}

func newOwnership() *ownership {
	return &ownership{holders: map[placementUnit]string{}, activeKeys: map[string]*keyActivity{}}
}

// begin forgets the grants of a former term and takes the assignment over.
// Requests in flight of the former term are kept.
func (ownership *ownership) reset(assignment replicator.Assignment) {
	ownership.assignment = assignment
	ownership.holders = map[placementUnit]string{}
	ownership.revision++
}

// target returns the place of the key and the upstream that shall own it.
func (ownership *ownership) assignedOwner(key string, shard uint32) (placementUnit, string) {
	if owner, ok := ownership.assignment.HotKeys[key]; ok {
		return placementUnit{shard: shard, key: key}, owner
	}
	return placementUnit{shard: shard}, ownership.assignment.Shards[shard]
}

// targets returns all places that the upstream shall own.
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

// grantable returns the places that a grant to the upstream may cover now, and
// notes that the upstream holds them from here on.
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

// releasing returns the places that the upstream holds beyond the content.
func (ownership *ownership) unitsToRelease(upstream string, covered unitSet) []placementUnit {
	var units []placementUnit
	for unit, holder := range ownership.holders {
		if holder == upstream && !covered[unit] {
			units = append(units, unit)
		}
	}
	return units
}

// release notes that the upstream no longer acts as the owner of the places.
func (ownership *ownership) release(upstream string, units []placementUnit) {
	for _, unit := range units {
		if ownership.holders[unit] == upstream {
			delete(ownership.holders, unit)
			ownership.revision++
		}
	}
}

// holds reports whether the upstream may act as the owner of any place.
func (ownership *ownership) holdsAny(upstream string) bool {
	for _, holder := range ownership.holders {
		if holder == upstream {
			return true
		}
	}
	return false
}

// apply puts the assignment into effect and returns the places whose target
// has changed. A key that is placed apart from its shard from now on is held by
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

// start counts a request of the key at the upstream.
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

// end uncounts a request of the key, and reports whether it was the last one.
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

// grant returns the grant that covers the content, in a fixed order.
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

func cloneOrEmpty[K comparable, V any](original map[K]V) map[K]V {
	if original == nil {
		return map[K]V{}
	}
	return maps.Clone(original)
}
