package dispatcher

import (
	"fmt"

	"github.com/cuminstream/cuminstream/pkg/deduper"
)

// ShardsIdle reports whether no request of the shards is in flight and no
// upstream of the group holds a grant for any of them.
func (dispatcher *Dispatcher) ShardsIdle(shards map[uint32]bool) bool {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	for key := range dispatcher.ownership.activeKeys {
		if shards[dispatcher.shardOf(key)] {
			return false
		}
	}
	for unit := range dispatcher.ownership.holders {
		if shards[unit.shard] {
			return false
		}
	}
	return true
}

// RequestEntries returns the known request IDs with their status, for the
// holder of a group that takes over shards of this group.
func (dispatcher *Dispatcher) RequestEntries() ([]deduper.Entry, error) {
	leaseTerm := dispatcher.currentTerm()
	if leaseTerm == nil {
		return nil, fmt.Errorf("this VM does not hold group %s", dispatcher.Group)
	}
	return leaseTerm.requestIDs.Entries(), nil
}
