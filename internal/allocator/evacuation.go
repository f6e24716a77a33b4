package allocator

import (
	"maps"
	"slices"
	"time"

	"github.com/cuminstream/cuminstream/pkg/broker"
)

// evacuatedRetryAfter is the retry hint to callers whose slot was at an upstream in a zone
// that is being evacuated. The keys of such upstreams move within half a second.
const evacuatedRetryAfter = 400 * time.Millisecond

// SetEvacuations replaces the set of zones to whose upstreams nothing is sent.
func (allocator *Allocator) SetEvacuations(zones []string) {
	allocator.updateMutex.Lock()
	defer allocator.updateMutex.Unlock()
	evacuated := make(map[string]bool, len(zones))
	for _, zone := range zones {
		evacuated[zone] = true
	}
	allocator.mutex.Lock()
	former := allocator.evacuatedZones
	allocator.evacuatedZones = evacuated
	registered := allocator.registered
	allocator.mutex.Unlock()
	if maps.Equal(former, evacuated) {
		return
	}
	allocator.Log.Info("evacuated zones changed", "zones", slices.Sorted(maps.Keys(evacuated)), "formerZones", slices.Sorted(maps.Keys(former)))
	allocator.applyUpstreams(registered)
}

// isEvacuated reports whether the upstream is in a zone that is being evacuated, as far as
// this VM knows. Its broker may not know that yet.
func (allocator *Allocator) isEvacuated(upstream broker.Upstream) bool {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	return len(allocator.evacuatedZones) > 0 && slices.ContainsFunc(allocator.upstreams, func(known broker.Upstream) bool { return known.ID == upstream.ID && known.Evacuated })
}

// withoutEvacuated returns the IDs of excluded upstreams together with those of all
// upstreams of the service that are in evacuated zones.
func (allocator *Allocator) withoutEvacuated(excluded []string, service string) []string {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	for _, upstream := range allocator.upstreams {
		if upstream.Evacuated && upstream.Service == service && !slices.Contains(excluded, upstream.ID) {
			excluded = append(excluded, upstream.ID)
		}
	}
	return excluded
}
