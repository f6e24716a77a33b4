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
	// Bounds on the bodies that no index refers to. A body may arrive before the
	// index that refers to it; if it was evicted by then, it is read again.
	maxUnreferencedBodies = 64
	maxUnreferencedBytes  = 16 << 20

	// maxPending is the number of pending indexes that are kept. It is above 1
	// because the newest one may refer to bodies that the platform no longer
	// delivers, while a peer has all bodies of an older one.
	maxPending = 3
)

// entry is an object with its revision. Entries are replaced, never modified.
type entry struct {
	object   platformer.Object
	revision uint64
}

// pendingIndex is an index some of whose bodies are missing.
type pendingIndex struct {
	entry
	bodies []string
}

// Store holds the newest versions of objects that were received. It is safe for
// concurrent use.
type Store struct {
	API   platformer.API
	Clock clocker.Clock
	// IsWatcher reports whether this VM is one of the watchers of its zone. If it is
	// nil, the VM always watches.
	IsWatcher func() bool
	Recorder  *timeliner.Recorder // may be nil

	mutex   sync.RWMutex
	entries map[string]entry // all objects except bodies
	digest  uint64
	bodies  bodyStore
	// pending holds indexes that lack bodies, in ascending order of revision. The
	// previous index stays visible until all bodies of a newer one have arrived, so
	// that readers never see an index without its bodies.
	pending         []pendingIndex
	subscribers     []*subscriber
	failingPrefixes map[string]bool // prefixes whose last watch failed
}

type subscriber struct {
	prefix string
	notify func(name string)
}

// New returns an empty store.
func New(api platformer.API, clock clocker.Clock) *Store {
	return &Store{API: api, Clock: clock, entries: map[string]entry{}, bodies: newBodyStore(), failingPrefixes: map[string]bool{}}
}

// Get returns the newest version of the object that the store holds. Its value is
// shared and must not be modified.
func (store *Store) Get(name string) (platformer.Object, bool) {
	store.mutex.RLock()
	defer store.mutex.RUnlock()
	if classify(name) == bodyClass {
		return store.bodies.get(name)
	}
	found, ok := store.entries[name]
	return found.object, ok
}

// Revision returns the newest revision of the object that the store holds, or 0 if
// it holds none.
func (store *Store) Revision(name string) uint64 {
	store.mutex.RLock()
	defer store.mutex.RUnlock()
	return store.entries[name].revision
}

// Names returns the sorted names of the objects that begin with prefix, except
// bodies.
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

// Subscribe calls notify with the name of each object that begins with prefix after
// it was added or replaced. Calls may come from several goroutines at once, and are
// made without a lock held; notify reads the object with Get. The returned function
// ends the subscription.
func (store *Store) Subscribe(prefix string, notify func(name string)) (cancel func()) {
	added := &subscriber{prefix, notify}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.subscribers = append(slices.Clone(store.subscribers), added)
	return func() {
		store.mutex.Lock()
		defer store.mutex.Unlock()
		store.subscribers = slices.DeleteFunc(slices.Clone(store.subscribers), func(other *subscriber) bool { return other == added })
	}
}

// mergeAll merges the objects and notifies the subscribers of those that changed.
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
				subscriber.notify(name)
			}
		}
	}
	return changed
}

// merge adopts the object if it is newer, and returns the names of the objects that
// changed. The mutex must be held.
func (store *Store) merge(object platformer.Object) []string {
	revision, err := validateObject(object)
	if err != nil {
		MergesTotal.WithLabelValues(invalid).Inc()
		return nil
	}
	if classify(object.Name) == bodyClass {
		return store.mergeBody(object)
	}
	known := store.entries[object.Name]
	if revision <= known.revision {
		store.countNotNewer(known, entry{object, revision})
		return nil
	}
	if object.Name == configurer.IndexName {
		return store.mergeIndex(entry{object, revision})
	}
	store.install(entry{object, revision})
	return []string{object.Name}
}

// countNotNewer counts an object that is not newer than the known one. It records an
// event if the object has the same revision but another value.
func (store *Store) countNotNewer(known, received entry) {
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
	previous, known := store.entries[name]
	asserter.That(next.revision > previous.revision, asserter.RevisionRises,
		"object %s goes from revision %d to %d", name, previous.revision, next.revision)
	if known {
		store.digest ^= objectHash(name, previous.revision)
	}
	store.digest ^= objectHash(name, next.revision)
	store.entries[name] = next
	MergesTotal.WithLabelValues(adopted).Inc()
}

// mergeBody adds a body, and makes an index visible if it was the last body that the
// index lacked. The mutex must be held.
func (store *Store) mergeBody(object platformer.Object) []string {
	if !store.bodies.add(object) {
		MergesTotal.WithLabelValues(outdated).Inc()
		return nil
	}
	MergesTotal.WithLabelValues(adopted).Inc()
	return append([]string{object.Name}, store.installCompleteIndex()...)
}

// mergeIndex adds an index to the pending ones, and makes it visible if all its bodies
// are known. The mutex must be held.
func (store *Store) mergeIndex(next entry) []string {
	sameRevision := func(other pendingIndex) bool { return other.revision == next.revision }
	if slices.ContainsFunc(store.pending, sameRevision) {
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
	changed := store.installCompleteIndex()
	if len(changed) == 0 {
		MergesTotal.WithLabelValues(pending).Inc()
	}
	return changed
}

// installCompleteIndex makes the newest pending index visible for which all bodies are
// known, and drops the older ones. The mutex must be held.
func (store *Store) installCompleteIndex() (changed []string) {
	for position, candidate := range slices.Backward(store.pending) {
		if store.bodies.hasAll(candidate.bodies) {
			store.install(candidate.entry)
			store.bodies.setReferenced(candidate.bodies)
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
	store.bodies.setExpected(expected)
	return changed
}
