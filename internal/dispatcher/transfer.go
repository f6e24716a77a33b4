package dispatcher

import (
	"fmt"

	"github.com/cuminstream/cuminstream/pkg/deduper"
)

// Idle reports whether no request is in flight for the shards, and no upstream
// of the group holds any of them by its grant.
func (dispatcher *Dispatcher) Idle(shards map[uint32]bool) bool {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	for key := range dispatcher.ownership.running {
		if shards[dispatcher.shardOf(key)] {
			return false
		}
	}
	for place := range dispatcher.ownership.held {
		if shards[place.shard] {
			return false
		}
	}
	return true
}

// Requests returns what is known of request IDs, for the holder of a group that
// takes over shards of this one.
func (dispatcher *Dispatcher) Requests() ([]deduper.Entry, error) {
	tenure := dispatcher.current()
	if tenure == nil {
		return nil, fmt.Errorf("this VM does not hold group %s", dispatcher.Group)
	}
	return tenure.requests.Entries(), nil
}
