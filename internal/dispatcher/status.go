package dispatcher

import (
	"maps"
	"sort"

	"github.com/cuminstream/cuminstream/pkg/queuer"
)

// Status is the state of a group as shown to operators.
type Status struct {
	Group   string `json:"group"`
	Holding bool   `json:"holding"`
	Term    uint64 `json:"term,omitempty"`
	// Serving is true once no upstream can still act on a grant of an earlier
	// term.
	Serving   bool              `json:"serving"`
	Version   uint64            `json:"version"`
	Shards    map[uint32]string `json:"shards"`
	HotKeys   map[string]string `json:"hotKeys"`
	Waiting   int               `json:"waiting"` // requests that wait for an owner of their key
	Upstreams []UpstreamStatus  `json:"upstreams"`
}

// UpstreamStatus is the state of an upstream as shown to operators.
type UpstreamStatus struct {
	Name          string                 `json:"name"`
	Address       string                 `json:"address"`
	Health        string                 `json:"health"`
	Slots         int                    `json:"slots"`
	UsedSlots     int                    `json:"taken"`
	Queued        [queuer.RankCount]int  `json:"queued"` // by rank, the most urgent first
	Shards        int                    `json:"shards"`
	Draining      string                 `json:"draining,omitempty"` // the causes of the drain
	Drained       bool                   `json:"drained,omitempty"`
	RelativeSpeed float64                `json:"speed"`    // relative to the group's median
	Capacity      float64                `json:"capacity"` // in slots; lower than Slots while the upstream is cold or slow
	Keys          map[string]KeyInFlight `json:"keys,omitempty"`
}

// KeyInFlight counts the requests of a key that are in flight at an upstream.
type KeyInFlight struct {
	Requests int `json:"requests"`
}

// Status returns the current state of the group.
func (dispatcher *Dispatcher) Status() Status {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	status := Status{Group: dispatcher.Group, Waiting: len(dispatcher.parked)}
	if dispatcher.ownership == nil {
		return status
	}
	if dispatcher.leaseTerm != nil {
		status.Holding, status.Term, status.Serving = true, dispatcher.leaseTerm.term, dispatcher.leaseTerm.fenced
	}
	assignment := dispatcher.ownership.assignment
	status.Version = assignment.Version
	status.Shards, status.HotKeys = maps.Clone(assignment.Shards), maps.Clone(assignment.HotKeys)
	for _, upstream := range dispatcher.upstreams {
		status.Upstreams = append(status.Upstreams, dispatcher.upstreamStatus(upstream))
	}
	sort.Slice(status.Upstreams, func(i, j int) bool { return status.Upstreams[i].Name < status.Upstreams[j].Name })
	return status
}

func (dispatcher *Dispatcher) upstreamStatus(upstream *upstream) UpstreamStatus {
	status := UpstreamStatus{
		Name: upstream.spec.Name, Address: upstream.spec.Address, Health: string(upstream.health),
		Slots: upstream.spec.Slots, UsedSlots: upstream.usedSlots(), Queued: upstream.queue.Lengths(),
		Draining: upstream.drainCauses.String(), Drained: upstream.drained, RelativeSpeed: upstream.relativeSpeed,
		Capacity: upstream.capacity(dispatcher.Clock.Now()), Keys: map[string]KeyInFlight{},
	}
	for _, owner := range dispatcher.ownership.assignment.Shards {
		if owner == upstream.spec.Name {
			status.Shards++
		}
	}
	for key, activity := range dispatcher.ownership.activeKeys {
		if activity.upstream == upstream.spec.Name {
			status.Keys[key] = KeyInFlight{Requests: activity.count}
		}
	}
	return status
}

// Owner returns the upstream to which the key is assigned, or "" if there is
// none.
func (dispatcher *Dispatcher) Owner(key string) string {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if dispatcher.ownership == nil {
		return ""
	}
	_, owner := dispatcher.ownership.assignedOwner(key, dispatcher.shardOf(key))
	return owner
}
