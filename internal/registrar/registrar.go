// Package registrar keeps the list of upstreams that have registered themselves
// with the platform. An entry that cannot be read names no upstream; an upstream
// whose entry lapsed while the store was away gets some time to renew it.
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

// Registrar follows the entries of upstreams. The exported fields are set before
// its first use.
type Registrar struct {
	Clock clocker.Clock
	Log   *slog.Logger
	// Decode reads an entry.
	Decode func(object storer.Object) (broker.Upstream, error)
	// OnChange receives the upstreams after each change, ordered by ID.
	OnChange func(upstreams []broker.Upstream)

	mutex    sync.Mutex
	known    map[string]broker.Upstream
	missing  map[string]time.Time // entries that lapsed, until when they are kept
	regained time.Time            // when the store was last regained
	listed   bool
}

// returnTime is how long after the store's return an entry that lapsed meanwhile
// may be missing. Living upstreams are back within about two seconds.
const returnTime = 2200 * time.Millisecond

// sweepInterval is the time between two looks at missing entries.
const sweepInterval = 100 * time.Millisecond

// HandleResponse records an answer of the store.
func (registrar *Registrar) HandleResponse(_ time.Time, regained bool) {
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	if regained {
		registrar.regained = registrar.Clock.Now()
	}
}

// HandleList replaces all entries.
func (registrar *Registrar) HandleList(objects []storer.Object) {
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	registrar.init()
	before := maps.Clone(registrar.known)
	present := map[string]bool{}
	for _, object := range objects {
		present[object.Name] = true
		registrar.put(object)
	}
	for id := range registrar.known {
		if !present[id] {
			registrar.remove(id)
		}
	}
	if !registrar.listed || !maps.Equal(before, registrar.known) {
		registrar.publish()
	}
	registrar.listed = true
}

// HandleChange applies one change.
func (registrar *Registrar) HandleChange(change storer.Change) {
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	registrar.init()
	before := maps.Clone(registrar.known)
	if change.Deleted {
		registrar.remove(change.Object.Name)
	} else {
		registrar.put(change.Object)
	}
	if !maps.Equal(before, registrar.known) {
		registrar.publish()
	}
}

func (registrar *Registrar) init() {
	if registrar.known == nil {
		registrar.known = map[string]broker.Upstream{}
		registrar.missing = map[string]time.Time{}
	}
}

func (registrar *Registrar) put(object storer.Object) {
	upstream, err := registrar.Decode(object)
	if err != nil {
		// The last good entry stays in force until it is removed.
		registrar.Log.Warn("entry of an upstream is not usable", "upstream", object.Name, "revision", object.Revision, "error", err.Error())
		return
	}
	old, ok := registrar.known[upstream.ID]
	delete(registrar.missing, upstream.ID)
	if ok && old == upstream {
		return
	}
	if !ok || old.StartedAt != upstream.StartedAt || old.Draining != upstream.Draining {
		registrar.Log.Info("upstream changed", "upstream", upstream.ID, "service", upstream.Service, "address", upstream.Address, "zone", upstream.Zone,
			"draining", upstream.Draining, "born", upstream.StartedAt, "known", ok, "restarted", ok && old.StartedAt != upstream.StartedAt, "revision", object.Revision)
	}
	registrar.known[upstream.ID] = upstream
}

func (registrar *Registrar) remove(id string) {
	if _, ok := registrar.known[id]; !ok {
		return
	}
	now := registrar.Clock.Now()
	if kept := registrar.regained.Add(returnTime); now.Before(kept) && !registrar.known[id].Draining {
		if _, ok := registrar.missing[id]; !ok {
			registrar.Log.Info("entry of an upstream lapsed while the store was away", "upstream", id, "keptUntil", kept)
			registrar.missing[id] = kept
		}
		return
	}
	registrar.Log.Info("upstream is gone", "upstream", id, "service", registrar.known[id].Service)
	delete(registrar.known, id)
	delete(registrar.missing, id)
}

// publish reports the list. The mutex is held, so that reports stay in order.
func (registrar *Registrar) publish() {
	list := slices.Collect(maps.Values(registrar.known))
	slices.SortFunc(list, func(a, b broker.Upstream) int { return strings.Compare(a.ID, b.ID) })
	registrar.OnChange(list)
}

// Ready reports whether the entries have been listed once.
func (registrar *Registrar) Ready() bool {
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	return registrar.listed
}

// Run removes entries that stay missing, until ctx is done.
func (registrar *Registrar) Run(ctx context.Context) error {
	ticker := registrar.Clock.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C():
			registrar.sweep()
		}
	}
}

func (registrar *Registrar) sweep() {
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	now := registrar.Clock.Now()
	removed := false
	for id, kept := range registrar.missing {
		if now.Before(kept) {
			continue
		}
		registrar.Log.Info("upstream is gone: its entry did not return with the store", "upstream", id)
		delete(registrar.missing, id)
		delete(registrar.known, id)
		removed = true
	}
	if removed {
		registrar.publish()
	}
}
