package syncer

import (
	"bytes"
	"cmp"
	"slices"
	"strings"
	"sync"

	"github.com/cuminstream/cuminstream/internal/asserter"
	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/platformer"
	"github.com/cuminstream/cuminstream/internal/timeliner"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

const (
	// A body may arrive before the index that refers to it. These bounds limit
	// the bodies that no index refers to; one that was dropped is read again.
	maxUnreferencedBodies = 64
	maxUnreferencedBytes  = 16 << 20

	// maxPending is above 1 because a peer may have a complete index that is
	// older than one whose bodies the platform no longer delivers.
	maxPending = 3
)

// entry is a known object. Entries are replaced, never changed.
type entry struct {
	object   platformer.Object
	revision uint64
}

type pendingIndex struct {
	entry
	bodies []string
}

// Store holds the newest known objects. It is safe for use by several
// goroutines.
type Store struct {
	API   platformer.API
	Clock clocker.Clock
	// IsWatcher tells whether this VM is one of the watchers of its zone. If it
	// is nil, the VM always watches.
	IsWatcher  func() bool
	Recorder *timeliner.Recorder // may be nil

	mutex   sync.RWMutex
	entries map[string]entry // all but bodies
	digest  uint64
	bodies  bodyStore
	// pending holds indexes some of whose bodies are not known, in rising
	// order. The former index stays visible until then, so that an index is
	// never seen without its bodies.
	pending     []pendingIndex
	subscribers []*subscriber
	failing     map[string]bool // prefixes whose last watch failed
}

type subscriber struct {
	prefix   string
	function func(name string)
}

// New returns an empty store.
func New(api platformer.API, clock clocker.Clock) *Store {
	return &Store{API: api, Clock: clock, entries: map[string]entry{}, bodies: newBodyStore(), failing: map[string]bool{}}
}

// Get returns the newest known version of the object. Its value is shared and
// must not be changed.
func (store *Store) Get(name string) (platformer.Object, bool) {
	store.mutex.RLock()
	defer store.mutex.RUnlock()
	if classify(name) == bodyClass {
		return store.bodies.get(name)
	}
	found, ok := store.entries[name]
	return found.object, ok
}

// Revision returns the newest known revision of the object, 0 if it is not
// known.
func (store *Store) Revision(name string) uint64 {
	store.mutex.RLock()
	defer store.mutex.RUnlock()
	return store.entries[name].revision
}

// Names returns the names of the known objects that begin with prefix, in
// order. Bodies are left out.
func (store *Store) Names(prefix string) []string {
	store.mutex.RLock()
	defer store.mutex.RUnlock()
	var names []string
	for name := range store.entries {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Subscribe calls the function with the name of each object that begins with
// prefix after it was added or replaced. Calls may come from several goroutines
// at once, without a lock held; the function reads the object with Get. The
// returned function ends the subscription.
func (store *Store) Subscribe(prefix string, function func(name string)) (cancel func()) {
	added := &subscriber{prefix, function}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.subscribers = append(slices.Clone(store.subscribers), added)
	return func() {
		store.mutex.Lock()
		defer store.mutex.Unlock()
		store.subscribers = slices.DeleteFunc(slices.Clone(store.subscribers), func(other *subscriber) bool { return other == added })
	}
}

// mergeAll merges the objects and tells the subscribers what changed.
func (store *Store) mergeAll(objects []platformer.Object) (changed []string) {
	store.mutex.Lock()
	for _, object := range objects {
		changed = append(changed, store.merge(object)...)
	}
	store.bodies.evict()
	subscribers := store.subscribers
	store.mutex.Unlock()
	for _, name := range changed {
		for _, subscriber := range subscribers {
			if strings.HasPrefix(name, subscriber.prefix) {
				subscriber.function(name)
			}
		}
	}
	return changed
}

// merge adopts the object if it is newer, and returns the names that changed.
// The mutex must be held.
func (store *Store) merge(object platformer.Object) []string {
	revision, err := revisionOf(object)
	if err != nil {
		MergesTotal.WithLabelValues(invalid).Inc()
		return nil
	}
	if classify(object.Name) == bodyClass {
		return store.mergeBody(object)
	}
	known := store.entries[object.Name]
	if revision <= known.revision {
		store.repeat(known, entry{object, revision})
		return nil
	}
	if object.Name == configurer.IndexName {
		return store.mergeIndex(entry{object, revision})
	}
	store.install(entry{object, revision})
	return []string{object.Name}
}

// repeat handles an object that is not newer than the known one.
func (store *Store) repeat(known, received entry) {
	if received.revision < known.revision || bytes.Equal(received.object.Value, known.object.Value) {
		MergesTotal.WithLabelValues(outdated).Inc()
		return
	}
	MergesTotal.WithLabelValues(divergent).Inc()
	store.Recorder.Record(timeliner.Event{Kind: "objectDivergent", Detail: received.object.Name})
}

// install makes the entry visible. The mutex must be held.
func (store *Store) install(next entry) {
	name := next.object.Name
	former, known := store.entries[name]
	asserter.That(next.revision > former.revision, asserter.RevisionRises,
		"object %s goes from revision %d to %d", name, former.revision, next.revision)
	if known {
		store.digest ^= fingerprint(name, former.revision)
	}
	store.digest ^= fingerprint(name, next.revision)
	store.entries[name] = next
	MergesTotal.WithLabelValues(adopted).Inc()
}

func (store *Store) mergeBody(object platformer.Object) []string {
	if !store.bodies.add(object) {
		MergesTotal.WithLabelValues(outdated).Inc()
		return nil
	}
	MergesTotal.WithLabelValues(adopted).Inc()
	return append([]string{object.Name}, store.settlePending()...)
}

func (store *Store) mergeIndex(next entry) []string {
	known := func(other pendingIndex) bool { return other.revision == next.revision }
	if slices.ContainsFunc(store.pending, known) {
		MergesTotal.WithLabelValues(outdated).Inc()
		return nil
	}
	index, err := configurer.DecodeIndex(next.object.Value)
	if err != nil {
		MergesTotal.WithLabelValues(invalid).Inc()
		return nil
	}
	store.pending = append(store.pending, pendingIndex{next, index.BodyNames()})
	slices.SortFunc(store.pending, func(a, b pendingIndex) int { return cmp.Compare(a.revision, b.revision) })
	changed := store.settlePending()
	if len(changed) == 0 {
		MergesTotal.WithLabelValues(pending).Inc()
	}
	return changed
}

// settlePending makes the newest pending index visible whose bodies are all
// known, and drops the older ones.
func (store *Store) settlePending() (changed []string) {
	for position, candidate := range slices.Backward(store.pending) {
		if store.bodies.knows(candidate.bodies) {
			store.install(candidate.entry)
			store.bodies.use(candidate.bodies)
			store.pending = slices.Clone(store.pending[position+1:])
			changed = []string{configurer.IndexName}
			break
		}
	}
	store.pending = store.pending[max(0, len(store.pending)-maxPending):]
	expected := map[string]bool{}
	for _, waiting := range store.pending {
		for _, name := range waiting.bodies {
			expected[name] = true
		}
	}
	store.bodies.expect(expected)
	return changed
}
