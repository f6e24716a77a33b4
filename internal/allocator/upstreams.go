package allocator

import (
	"maps"
	"slices"
	"time"

	"github.com/cuminstream/cuminstream/internal/sender"
	"github.com/cuminstream/cuminstream/pkg/broker"
)

// SetUpstreams replaces the list of upstreams. Upstreams of services that no
// configuration has defined are not used: their entries may come from another writer,
// and their addresses prove nothing.
func (allocator *Allocator) SetUpstreams(registered []broker.Upstream) {
	allocator.updateMutex.Lock()
	defer allocator.updateMutex.Unlock()
	allocator.applyUpstreams(registered)
}

// applyUpstreams passes the upstreams of known services on to all services. The
// updateMutex must be held.
func (allocator *Allocator) applyUpstreams(registered []broker.Upstream) {
	allocator.notices.SetRegistered(registered)
	allocator.mutex.Lock()
	upstreams := allocator.ofKnownServices(registered)
	allocator.updateDraining(upstreams)
	allocator.registered, allocator.upstreams = registered, upstreams
	services := slices.Collect(maps.Values(allocator.services))
	allocator.mutex.Unlock()
	for _, service := range services {
		service.setUpstreams(upstreams)
	}
}

// ofKnownServices returns the upstreams whose service a configuration has defined. Those
// that have said that they are leaving count as draining, and those in evacuated zones are
// marked. The mutex must be held.
func (allocator *Allocator) ofKnownServices(registered []broker.Upstream) []broker.Upstream {
	upstreams := make([]broker.Upstream, 0, len(registered))
	for _, upstream := range registered {
		if allocator.services[upstream.Service] != nil {
			if _, leaving := allocator.notices.LeavingSince(upstream); leaving {
				upstream.Draining = true
			}
			upstream.Evacuated = allocator.evacuatedZones[upstream.Zone]
			upstreams = append(upstreams, upstream)
		}
	}
	return upstreams
}

// updateDraining records since when upstreams may have been draining or removed. The
// mutex must be held.
func (allocator *Allocator) updateDraining(upstreams []broker.Upstream) {
	// The drain may have begun at any time since the last news from the store.
	now := allocator.Clock.Now()
	if !allocator.storeKnownAt.IsZero() && now.Sub(allocator.storeKnownAt) < drainingRetention {
		now = allocator.storeKnownAt
	}
	updated := map[incarnation]time.Time{}
	present := make(map[incarnation]bool, len(upstreams))
	for _, upstream := range upstreams {
		key := incarnationOf(upstream)
		present[key] = true
		if upstream.Draining {
			updated[key] = now
		}
	}
	for _, upstream := range allocator.upstreams {
		if key := incarnationOf(upstream); !present[key] {
			updated[key] = now
		}
	}
	for key, since := range allocator.drainingSince {
		if _, ok := updated[key]; ok || (!present[key] && now.Sub(since) < drainingRetention) {
			updated[key] = since
		}
	}
	allocator.drainingSince = updated
}

// incarnation identifies one process of an upstream.
type incarnation struct {
	id        string
	startedAt int64
}

func incarnationOf(upstream broker.Upstream) incarnation {
	return incarnation{upstream.ID, upstream.StartedAt}
}

// drainElapsed reports whether the upstream has been draining or removed for so long
// that it must get no more requests. A broker that cannot reach the store may not know
// this yet.
func (allocator *Allocator) drainElapsed(upstream broker.Upstream) bool {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	since, ok := allocator.drainingSince[incarnationOf(upstream)]
	return ok && allocator.Clock.Now().Sub(since) > allocator.tunables.drainPeriod-drainMargin
}

// Observe implements courier.Allocator. An upstream that says that it is leaving counts as
// draining from then on, whatever the store says.
func (allocator *Allocator) Observe(upstream broker.Upstream, notice broker.Notice) {
	change := allocator.notices.Observe(upstream, notice)
	if !change.BusyUntil.IsZero() {
		allocator.Log.Info("upstream is busy, as its response says", "upstream", upstream.ID, "born", upstream.StartedAt, "until", change.BusyUntil)
	}
	if !change.Leaving {
		return
	}
	allocator.Log.Info("upstream is leaving, as its response says", "upstream", upstream.ID, "born", upstream.StartedAt)
	allocator.updateMutex.Lock()
	defer allocator.updateMutex.Unlock()
	allocator.mutex.Lock()
	if _, ok := allocator.drainingSince[incarnationOf(upstream)]; !ok {
		if allocator.drainingSince == nil {
			allocator.drainingSince = map[incarnation]time.Time{}
		}
		allocator.drainingSince[incarnationOf(upstream)] = allocator.Clock.Now()
	}
	registered := allocator.registered
	allocator.mutex.Unlock()
	allocator.applyUpstreams(registered)
}

// RegisteredUpstreams returns the upstreams that requests may be sent to.
func (allocator *Allocator) RegisteredUpstreams() map[sender.Upstream]bool {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	registered := make(map[sender.Upstream]bool, len(allocator.upstreams))
	for _, upstream := range allocator.upstreams {
		registered[sender.Upstream{ID: upstream.ID, StartedAt: upstream.StartedAt, Address: upstream.Address}] = true
	}
	return registered
}
