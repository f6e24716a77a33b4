package syncer

import (
	"slices"

	"github.com/cuminstream/cuminstream/internal/platformer"
)

// bodyStore holds section bodies: those of the visible index, those of pending
// indexes, and a bounded number of others. The platform keeps every body that was
// ever written; a VM does not.
type bodyStore struct {
	bodies       map[string]platformer.Object
	arrivalOrder []string // names, oldest first
	referenced   map[string]bool
	expected     map[string]bool
}

func newBodyStore() bodyStore {
	return bodyStore{bodies: map[string]platformer.Object{}, referenced: map[string]bool{}, expected: map[string]bool{}}
}

func (store *bodyStore) get(name string) (platformer.Object, bool) {
	body, ok := store.bodies[name]
	return body, ok
}

// add adds the body and reports whether it was new.
func (store *bodyStore) add(body platformer.Object) bool {
	if _, known := store.bodies[body.Name]; known {
		return false
	}
	store.bodies[body.Name] = body
	store.arrivalOrder = append(store.arrivalOrder, body.Name)
	return true
}

// hasAll reports whether the store holds all of the bodies.
func (store *bodyStore) hasAll(names []string) bool {
	return !slices.ContainsFunc(names, func(name string) bool {
		_, known := store.bodies[name]
		return !known
	})
}

// setReferenced sets the names of the bodies of the visible index.
func (store *bodyStore) setReferenced(names []string) {
	store.referenced = make(map[string]bool, len(names))
	for _, name := range names {
		store.referenced[name] = true
	}
}

// setExpected sets the names of the bodies of the pending indexes.
func (store *bodyStore) setExpected(names map[string]bool) { store.expected = names }

// missing returns the sorted names of the expected bodies that the store lacks.
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

// evict removes the oldest bodies that no index refers to, until the number and the
// total size of such bodies are within their bounds.
func (store *bodyStore) evict() {
	count, size := 0, 0
	kept := store.arrivalOrder[:0:0]
	for _, name := range slices.Backward(store.arrivalOrder) {
		if !store.referenced[name] && !store.expected[name] {
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
	store.arrivalOrder = kept
}
