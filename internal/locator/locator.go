package locator

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cuminstream/cuminstream/pkg/sharder"
)

// Location is the shard of a key and the home group of that shard.
type Location struct {
	Shard uint32
	Group string
}

// snapshot holds the shard maps by service and the candidates by group. It is immutable: a
// change replaces the whole value, so that look-ups of them take no lock.
type snapshot struct {
	shardMaps  map[string]ShardMap
	candidates map[string][]string
}

// Locator answers look-ups from the newest objects and reports. It is safe for concurrent
// use.
type Locator struct {
	snapshot atomic.Pointer[snapshot]

	mutex   sync.RWMutex      // serializes changes of snapshot and protects holders
	holders map[string]holder // by group
}

// holder is a VM that reported to hold a group, and the term of its lease.
type holder struct {
	vm   string
	term uint64
}

// New returns a locator without shard maps, candidates or holders.
func New() *Locator {
	locator := &Locator{holders: map[string]holder{}}
	locator.snapshot.Store(&snapshot{shardMaps: map[string]ShardMap{}, candidates: map[string][]string{}})
	return locator
}

// SetShardMap replaces the shard map of a service, unless the same or a newer revision is
// known.
func (locator *Locator) SetShardMap(shardMap ShardMap) {
	locator.mutex.Lock()
	defer locator.mutex.Unlock()
	current := locator.snapshot.Load()
	if known, ok := current.shardMaps[shardMap.Service]; ok && known.Revision >= shardMap.Revision {
		return
	}
	updated := &snapshot{shardMaps: maps.Clone(current.shardMaps), candidates: current.candidates}
	updated.shardMaps[shardMap.Service] = shardMap
	locator.snapshot.Store(updated)
}

// SetCandidates replaces the candidates of a group.
func (locator *Locator) SetCandidates(group string, candidates []string) {
	locator.mutex.Lock()
	defer locator.mutex.Unlock()
	current := locator.snapshot.Load()
	updated := &snapshot{shardMaps: current.shardMaps, candidates: maps.Clone(current.candidates)}
	updated.candidates[group] = slices.Clone(candidates)
	locator.snapshot.Store(updated)
}

// SetHolder records that a VM reported to hold the group in the term. A report of an older
// term than the recorded one is ignored.
func (locator *Locator) SetHolder(group, vm string, term uint64) {
	locator.mutex.Lock()
	defer locator.mutex.Unlock()
	if term >= locator.holders[group].term {
		locator.holders[group] = holder{vm: vm, term: term}
	}
}

// Locate returns the shard and the home group of a key, if the shard map of the service is
// known. It does not allocate.
func (locator *Locator) Locate(service, key string) (Location, bool) {
	shardMap, ok := locator.snapshot.Load().shardMaps[service]
	if !ok {
		return Location{}, false
	}
	shard := sharder.ShardOf(key, len(shardMap.Shards))
	return Location{Shard: shard, Group: shardMap.Groups[shardMap.Shards[shard]]}, true
}

// GroupOf returns the home group of a service's shard.
func (locator *Locator) GroupOf(service string, shard uint32) (string, bool) {
	shardMap, ok := locator.snapshot.Load().shardMaps[service]
	if !ok || int(shard) >= len(shardMap.Shards) {
		return "", false
	}
	return shardMap.Groups[shardMap.Shards[shard]], true
}

// ShardMap returns the shard map of a service.
func (locator *Locator) ShardMap(service string) (ShardMap, bool) {
	shardMap, ok := locator.snapshot.Load().shardMaps[service]
	return shardMap, ok
}

// Holder returns the VM that last reported to hold the group, and its term.
func (locator *Locator) Holder(group string) (vm string, term uint64, ok bool) {
	locator.mutex.RLock()
	defer locator.mutex.RUnlock()
	reported, ok := locator.holders[group]
	return reported.vm, reported.term, ok
}

// Candidates returns the candidates of the group.
func (locator *Locator) Candidates(group string) []string {
	return locator.snapshot.Load().candidates[group]
}

// ForwardingOrder returns the VMs to which a request of the group is forwarded, in order:
// the reported holder first, then the other candidates.
func (locator *Locator) ForwardingOrder(group string) []string {
	candidates := locator.Candidates(group)
	vm, _, ok := locator.Holder(group)
	if !ok || vm == "" {
		return candidates
	}
	order := make([]string, 0, len(candidates)+1)
	order = append(order, vm)
	for _, candidate := range candidates {
		if candidate != vm {
			order = append(order, candidate)
		}
	}
	return order
}
