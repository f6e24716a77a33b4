// Package registrar keeps the list of upstreams that have registered themselves in
// the platform's store. An entry that cannot be decoded is ignored, and so is one that is
// older than the last entry of its upstream. An upstream whose entry lapsed during an
// outage of the store has some time to renew it.
package registrar

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cuminstream/cuminstream/internal/storer"
	"github.com/cuminstream/cuminstream/pkg/broker"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// Registrar keeps the list of upstreams. Its Handle methods are the callbacks of a
// storer.Follower. The exported fields must be set before its first use.
type Registrar struct {
	Clock clocker.Clock
	Log   *slog.Logger
	// Decode decodes an entry.
	Decode func(object storer.Object) (Entry, error)
	// OnChange receives all upstreams, sorted by ID, after the first list and after
	// each change.
	OnChange func(upstreams []broker.Upstream)

	mutex       sync.Mutex
	upstreams   map[string]broker.Upstream
	checkIns    map[string]*checkIns
	lapsed      map[string]time.Time // when to remove upstreams whose entry lapsed, by ID
	recoveredAt time.Time            // end of the last outage of the store
	listed      bool
}

// lapseGrace is how long after an outage of the store an upstream is kept without an
// entry. Running upstreams renew an entry that lapsed within about two seconds.
const lapseGrace = 2200 * time.Millisecond

// expiryInterval is how often upstreams without an entry are checked for removal.
const expiryInterval = 100 * time.Millisecond

// HandleResponse handles a successful call to the store. It starts the grace period if
// the call ended an outage.
func (registrar *Registrar) HandleResponse(_ time.Time, regained bool) {
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	if regained {
		registrar.recoveredAt = registrar.Clock.Now()
	}
}

// HandleList replaces all entries, except those in their grace period.
func (registrar *Registrar) HandleList(objects []storer.Object) {
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	registrar.initMaps()
	changed := !registrar.listed
	present := make(map[string]bool, len(objects))
	for _, object := range objects {
		present[object.Name] = true
		changed = registrar.update(object) || changed
	}
	for id := range registrar.upstreams {
		if !present[id] {
			changed = registrar.remove(id) || changed
		}
	}
	registrar.listed = true
	if changed {
		registrar.notify()
	}
}

// HandleChanges applies changes of entries. However many have arrived together, they
// are one change of the list, because the cost of reporting it grows with its length.
func (registrar *Registrar) HandleChanges(changes []storer.Change) {
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	registrar.initMaps()
	changed := false
	for _, change := range changes {
		if change.Deleted {
			changed = registrar.remove(change.Object.Name) || changed
		} else {
			changed = registrar.update(change.Object) || changed
		}
	}
	if changed {
		registrar.notify()
	}
}

func (registrar *Registrar) initMaps() {
	if registrar.upstreams == nil {
		registrar.upstreams = map[string]broker.Upstream{}
		registrar.checkIns = map[string]*checkIns{}
		registrar.lapsed = map[string]time.Time{}
	}
}

// update applies an entry and reports whether the list has changed.
func (registrar *Registrar) update(object storer.Object) bool {
	entry, err := registrar.Decode(object)
	if err != nil {
		// The last valid entry is used until it is removed.
		registrar.Log.Warn("entry of an upstream is not usable", "upstream", object.Name, "revision", object.Revision, "error", err.Error())
		return false
	}
	upstream := entry.Upstream
	known := registrar.checkIns[upstream.ID]
	if known == nil {
		known = &checkIns{}
		registrar.checkIns[upstream.ID] = known
	}
	if !known.accept(checkIn{upstream.StartedAt, entry.Sequence}, object.Era) {
		registrar.Log.Info("ignored an entry that is older than the last one of its upstream", "upstream", upstream.ID, "born", upstream.StartedAt,
			"sequence", entry.Sequence, "lastBorn", known.newest.startedAt, "lastSequence", known.newest.sequence, "draining", upstream.Draining, "revision", object.Revision)
		return false
	}
	old, ok := registrar.upstreams[upstream.ID]
	delete(registrar.lapsed, upstream.ID)
	if ok && old == upstream {
		return false
	}
	if !ok || old.StartedAt != upstream.StartedAt || old.Draining != upstream.Draining {
		registrar.Log.Info("upstream changed", "upstream", upstream.ID, "service", upstream.Service, "address", upstream.Address, "zone", upstream.Zone,
			"draining", upstream.Draining, "born", upstream.StartedAt, "known", ok, "restarted", ok && old.StartedAt != upstream.StartedAt, "revision", object.Revision)
	}
	registrar.upstreams[upstream.ID] = upstream
	return true
}

// remove handles the absence of an entry and reports whether the list has changed.
func (registrar *Registrar) remove(id string) bool {
	if _, ok := registrar.upstreams[id]; !ok {
		return false
	}
	now := registrar.Clock.Now()
	if keepUntil := registrar.recoveredAt.Add(lapseGrace); now.Before(keepUntil) && !registrar.upstreams[id].Draining {
		if _, ok := registrar.lapsed[id]; !ok {
			registrar.Log.Info("entry of an upstream lapsed during an outage of the store", "upstream", id, "keptUntil", keepUntil)
			registrar.lapsed[id] = keepUntil
		}
		return false
	}
	registrar.Log.Info("upstream is gone", "upstream", id, "service", registrar.upstreams[id].Service)
	registrar.drop(id)
	return true
}

// drop removes an upstream from the list.
func (registrar *Registrar) drop(id string) {
	delete(registrar.upstreams, id)
	delete(registrar.lapsed, id)
	registrar.checkIns[id].removedAt = registrar.Clock.Now()
}

// notify reports the list to OnChange. The caller holds the mutex, which keeps the
// reports in order.
func (registrar *Registrar) notify() {
	list := slices.Collect(maps.Values(registrar.upstreams))
	slices.SortFunc(list, func(a, b broker.Upstream) int { return strings.Compare(a.ID, b.ID) })
	registrar.OnChange(list)
}

// Ready reports whether the entries have been listed at least once.
func (registrar *Registrar) Ready() bool {
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	return registrar.listed
}

// Run removes upstreams whose entry has not returned in the grace period, until ctx is
// done. Its error is always nil.
func (registrar *Registrar) Run(ctx context.Context) error {
	ticker := registrar.Clock.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C():
			registrar.removeExpired()
		}
	}
}

func (registrar *Registrar) removeExpired() {
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	now := registrar.Clock.Now()
	removed := false
	for id, keepUntil := range registrar.lapsed {
		if now.Before(keepUntil) {
			continue
		}
		registrar.Log.Info("removed an upstream: its entry did not return after an outage of the store", "upstream", id)
		registrar.drop(id)
		removed = true
	}
	for id, known := range registrar.checkIns {
		if known.expired(now) {
			delete(registrar.checkIns, id)
		}
	}
	if removed {
		registrar.notify()
	}
}
