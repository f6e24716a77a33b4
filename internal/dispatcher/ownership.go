package dispatcher

import (
	"maps"
	"slices"

	"github.com/cuminstream/cuminstream/internal/asserter"
	"github.com/cuminstream/cuminstream/internal/replicator"
)

// place is the unit of ownership: a shard, or a hot key apart from its shard.
type place struct {
	shard uint32
	key   string // empty for a shard
}

// content is what a grant covers.
type content map[place]bool

// ownership knows which upstream shall own each place (the assignment in
// effect), which upstream may still act as the owner (held), and where each key
// has requests in flight. A place is served by its target only once no other
// upstream holds it.
type ownership struct {
	assignment replicator.Assignment
	held       map[place]string
	running    map[string]*run
	// revision rises with each change from which another grant may follow.
	revision uint64
}

// run counts the requests of one key that are in flight at an upstream.
type run struct {
	upstream string
	count    int
}

func newOwnership() *ownership {
	return &ownership{held: map[place]string{}, running: map[string]*run{}}
}

// begin forgets the grants of a former term and takes the assignment over.
// Requests in flight of the former term are kept.
func (ownership *ownership) begin(assignment replicator.Assignment) {
	ownership.assignment = assignment
	ownership.held = map[place]string{}
	ownership.revision++
}

// target returns the place of the key and the upstream that shall own it.
func (ownership *ownership) target(key string, shard uint32) (place, string) {
	if owner, ok := ownership.assignment.HotKeys[key]; ok {
		return place{shard: shard, key: key}, owner
	}
	return place{shard: shard}, ownership.assignment.Shards[shard]
}

// targets returns all places that the upstream shall own.
func (ownership *ownership) targets(upstream string, shardOf func(string) uint32) content {
	owned := content{}
	for shard, owner := range ownership.assignment.Shards {
		if owner == upstream {
			owned[place{shard: shard}] = true
		}
	}
	for key, owner := range ownership.assignment.HotKeys {
		if owner == upstream {
			owned[place{shard: shardOf(key), key: key}] = true
		}
	}
	return owned
}

// grantable returns the places that a grant to the upstream may cover now, and
// notes that the upstream holds them from here on.
func (ownership *ownership) grantable(upstream string, shardOf func(string) uint32) content {
	owned := ownership.targets(upstream, shardOf)
	for place := range owned {
		if holder := ownership.held[place]; holder != "" && holder != upstream {
			delete(owned, place)
			continue
		}
		ownership.held[place] = upstream
	}
	return owned
}

// releasing returns the places that the upstream holds beyond the content.
func (ownership *ownership) releasing(upstream string, covered content) []place {
	var places []place
	for place, holder := range ownership.held {
		if holder == upstream && !covered[place] {
			places = append(places, place)
		}
	}
	return places
}

// release notes that the upstream no longer acts as the owner of the places.
func (ownership *ownership) release(upstream string, places []place) {
	for _, place := range places {
		if ownership.held[place] == upstream {
			delete(ownership.held, place)
			ownership.revision++
		}
	}
}

// holds reports whether the upstream may act as the owner of any place.
func (ownership *ownership) holds(upstream string) bool {
	for _, holder := range ownership.held {
		if holder == upstream {
			return true
		}
	}
	return false
}

// apply puts the assignment into effect and returns the places whose target
// has changed. A key that is placed apart from its shard from now on is held by
// the upstream that holds the shard.
func (ownership *ownership) apply(next replicator.Assignment, shardOf func(string) uint32) []place {
	var changed []place
	for shard, owner := range next.Shards {
		if ownership.assignment.Shards[shard] != owner {
			changed = append(changed, place{shard: shard})
		}
	}
	for shard := range ownership.assignment.Shards {
		if _, ok := next.Shards[shard]; !ok {
			changed = append(changed, place{shard: shard})
		}
	}
	for key, owner := range next.HotKeys {
		if before, ok := ownership.assignment.HotKeys[key]; ok && before == owner {
			continue
		}
		hot := place{shard: shardOf(key), key: key}
		if _, ok := ownership.assignment.HotKeys[key]; !ok {
			if holder := ownership.held[place{shard: hot.shard}]; holder != "" {
				ownership.held[hot] = holder
			}
		}
		changed = append(changed, hot)
	}
	ownership.assignment = next
	ownership.revision++
	return changed
}

// start counts a request of the key at the upstream.
func (ownership *ownership) start(key, upstream string) {
	known := ownership.running[key]
	if known == nil {
		known = &run{upstream: upstream}
		ownership.running[key] = known
	}
	asserter.That(known.upstream == upstream, asserter.SoleOwner,
		"key %q starts at %s while %d requests run at %s", key, upstream, known.count, known.upstream)
	known.count++
}

// end uncounts a request of the key, and reports whether it was the last one.
func (ownership *ownership) end(key string) bool {
	known := ownership.running[key]
	if known == nil {
		return false
	}
	known.count--
	if known.count > 0 {
		return false
	}
	delete(ownership.running, key)
	return true
}

// runsElsewhere reports whether the key has requests in flight at another
// upstream.
func (ownership *ownership) runsElsewhere(key, upstream string) bool {
	known := ownership.running[key]
	return known != nil && known.upstream != upstream
}

// grant returns the grant that covers the content, in a fixed order.
func (ownership *ownership) grant(upstream string, covered content, shardOf func(string) uint32) Grant {
	var grant Grant
	for place := range covered {
		if place.key != "" {
			grant.Keys = append(grant.Keys, place.key)
		} else {
			grant.Shards = append(grant.Shards, place.shard)
		}
	}
	for key := range ownership.assignment.HotKeys {
		hot := place{shard: shardOf(key), key: key}
		if !covered[hot] && ownership.assignment.Shards[hot.shard] == upstream {
			grant.ExcludedKeys = append(grant.ExcludedKeys, key)
		}
	}
	slices.Sort(grant.Shards)
	slices.Sort(grant.Keys)
	slices.Sort(grant.ExcludedKeys)
	return grant
}

func cloned[K comparable, V any](original map[K]V) map[K]V {
	if original == nil {
		return map[K]V{}
	}
	return maps.Clone(original)
}
