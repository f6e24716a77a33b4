package locator

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cuminstream/cuminstream/pkg/sharder"
)

// Location is the place of a key.
type Location struct {
	Shard uint32
	Group string
}

// tables are immutable; a change replaces the whole value, so that a look-up
// takes no lock.
type tables struct {
	homes      map[string]ShardMap
	candidates map[string][]string
}

// Locator answers look-ups from the newest objects and reports. It is safe for
// use by several goroutines.
type Locator struct {
	tables  atomic.Pointer[tables]
	mutex   sync.RWMutex
	holders map[string]holder
}

type holder struct {
	vm   string
	term uint64
}

// New returns a locator that knows nothing.
func New() *Locator {
	locator := &Locator{holders: map[string]holder{}}
	locator.tables.Store(&tables{homes: map[string]ShardMap{}, candidates: map[string][]string{}})
	return locator
}

// SetShardMap replaces the homes of a service, unless a newer revision is known.
func (locator *Locator) SetShardMap(homes ShardMap) {
	locator.mutex.Lock()
	defer locator.mutex.Unlock()
	current := locator.tables.Load()
	if known, ok := current.homes[homes.Service]; ok && known.Revision >= homes.Revision {
		return
	}
	changed := &tables{homes: maps.Clone(current.homes), candidates: current.candidates}
	changed.homes[homes.Service] = homes
	locator.tables.Store(changed)
}

// SetCandidates replaces the candidates of a group.
func (locator *Locator) SetCandidates(group string, candidates []string) {
	locator.mutex.Lock()
	defer locator.mutex.Unlock()
	current := locator.tables.Load()
	changed := &tables{homes: current.homes, candidates: maps.Clone(current.candidates)}
	changed.candidates[group] = slices.Clone(candidates)
	locator.tables.Store(changed)
}

// SetHolder records that a VM reported to hold the group under the term. Older
// terms are ignored.
func (locator *Locator) SetHolder(group, vm string, term uint64) {
	locator.mutex.Lock()
	defer locator.mutex.Unlock()
	if term >= locator.holders[group].term {
		locator.holders[group] = holder{vm: vm, term: term}
	}
}

// Locate returns the shard and the group of a key. It allocates nothing.
func (locator *Locator) Locate(service, key string) (Location, bool) {
	homes, ok := locator.tables.Load().homes[service]
	if !ok {
		return Location{}, false
	}
	shard := sharder.ShardOf(key, len(homes.Shards))
	return Location{Shard: shard, Group: homes.Groups[homes.Shards[shard]]}, true
}

// GroupOf returns the group of a service's shard.
func (locator *Locator) GroupOf(service string, shard uint32) (string, bool) {
	homes, ok := locator.tables.Load().homes[service]
	if !ok || int(shard) >= len(homes.Shards) {
		return "", false
	}
	return homes.Groups[homes.Shards[shard]], true
}

// ShardMap returns the homes of a service.
func (locator *Locator) ShardMap(service string) (ShardMap, bool) {
	homes, ok := locator.tables.Load().homes[service]
	return homes, ok
}

// Holder returns the VM that last reported to hold the group.
func (locator *Locator) Holder(group string) (vm string, term uint64, ok bool) {
	locator.mutex.RLock()
	defer locator.mutex.RUnlock()
	known, ok := locator.holders[group]
	return known.vm, known.term, ok
}

// Candidates returns the candidates of the group.
func (locator *Locator) Candidates(group string) []string {
	return locator.tables.Load().candidates[group]
}

// ForwardingOrder returns the VMs to try for the group: the reported holder first, then
// the other candidates in their order.
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
