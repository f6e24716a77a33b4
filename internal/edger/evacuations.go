package edger

import (
	"maps"
	"slices"
	"time"

	"github.com/cuminstream/cuminstream/internal/storer"
)

// evacuations keeps the zones that are being evacuated. Its handle methods are the callbacks
// of a storer.Follower, which are not called concurrently.
type evacuations struct {
	onChange func(zones []string)
	zones    map[string]bool
}

// handleList replaces the zones by those of a list.
func (evacuations *evacuations) handleList(objects []storer.Object) {
	evacuations.zones = make(map[string]bool, len(objects))
	for _, object := range objects {
		evacuations.zones[object.Name] = true
	}
	evacuations.notify()
}

// handleChanges applies begun and ended evacuations.
func (evacuations *evacuations) handleChanges(changes []storer.Change) {
	if evacuations.zones == nil {
		evacuations.zones = map[string]bool{}
	}
	for _, change := range changes {
		if change.Deleted {
			delete(evacuations.zones, change.Object.Name)
		} else {
			evacuations.zones[change.Object.Name] = true
		}
	}
	evacuations.notify()
}

func (evacuations *evacuations) notify() {
	evacuations.onChange(slices.Sorted(maps.Keys(evacuations.zones)))
}

// maxStaleness returns for how long a change in the store may be unknown to this VM.
func (edge *Edge) maxStaleness() time.Duration {
	bound := min(edge.ConfigPeriod, edge.DrainPeriod)
	if edge.EvacuationPeriod > 0 {
		bound = min(bound, edge.EvacuationPeriod)
	}
	return bound
}
