package syncer

import (
	"slices"

	"github.com/cuminstream/cuminstream/internal/platformer"
)

// bodyStore holds section bodies: those of the visible index, those of pending
// ones, and a bounded number of others. The platform keeps every body
// that ever was, a VM does not.
type bodyStore struct {
	bodies   map[string]platformer.Object
	order    []string // names in order of arrival
	used     map[string]bool
	expected map[string]bool
}

func newBodyStore() bodyStore {
	return bodyStore{bodies: map[string]platformer.Object{}, used: map[string]bool{}, expected: map[string]bool{}}
}

func (store *bodyStore) get(name string) (platformer.Object, bool) {
	body, ok := store.bodies[name]
	return body, ok
}

func (store *bodyStore) add(body platformer.Object) bool {
	if _, known := store.bodies[body.Name]; known {
		return false
	}
	store.bodies[body.Name] = body
	store.order = append(store.order, body.Name)
	return true
}

// knows reports whether all of the bodies are known.
func (store *bodyStore) knows(names []string) bool {
	return !slices.ContainsFunc(names, func(name string) bool {
		_, known := store.bodies[name]
		return !known
	})
}

// use sets the bodies of the visible index.
func (store *bodyStore) use(names []string) {
	store.used = make(map[string]bool, len(names))
	for _, name := range names {
		store.used[name] = true
	}
}

// expect sets the bodies of the pending indexes.
func (store *bodyStore) expect(names map[string]bool) { store.expected = names }

// missing returns the expected bodies that are not known, in order.
func (store *bodyStore) missing() []string {
	var names []string
	for name := range store.expected {
		if _, known := store.bodies[name]; !known {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// evict drops the oldest bodies that no index refers to, beyond the bounds.
func (store *bodyStore) evict() {
	count, size := 0, 0
	kept := store.order[:0:0]
	for _, name := range slices.Backward(store.order) {
		if !store.used[name] && !store.expected[name] {
			count++
			size += len(store.bodies[name].Value)
			if count > maxUnreferencedBodies || size > maxUnreferencedBytes {
				delete(store.bodies, name)
				continue
			}
		}
		kept = append(kept, name)
	}
	slices.Reverse(kept)
	store.order = kept
}
