package syncer

import (
	"strconv"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/platformer"
)

// maxExchange bounds the values that Newer returns at once, in bytes. A message
// between VMs holds 1 MiB, and one value may have 1 MB.
const maxExchange = 900_000

// Digest identifies the revisions of all visible objects. Two stores with equal
// digests need no exchange.
func (store *Store) Digest() uint64 {
	store.mutex.RLock()
	defer store.mutex.RUnlock()
	return store.digest
}

// Summary returns what this store has: the revision of each object by name, the
// bodies, and a mark for each index that still lacks bodies. A peer passes it to
// Newer.
func (store *Store) Summary() map[string]uint64 {
	store.mutex.RLock()
	defer store.mutex.RUnlock()
	summary := make(map[string]uint64, len(store.entries))
	for name, known := range store.entries {
		summary[name] = known.revision
	}
	for _, waiting := range store.pending {
		summary[pendingMark(waiting.revision)] = waiting.revision
	}
	for name := range store.bodies.bodies {
		summary[name] = bodyRevision
	}
	return summary
}

// pendingMark is the name under which a summary lists a pending index, so that
// it is not sent again with each part of its bodies.
func pendingMark(revision uint64) string {
	return configurer.IndexName + "@" + strconv.FormatUint(revision, 10)
}

// NewerThan returns objects that the store with the summary lacks. The result is
// bounded; after merging it, the peer asks again with its new summary until the
// result is empty.
func (store *Store) NewerThan(summary map[string]uint64) []Object {
	store.mutex.RLock()
	defer store.mutex.RUnlock()
	found := map[string]platformer.Object{}
	for name, known := range store.entries {
		marked := name == configurer.IndexName && summary[pendingMark(known.revision)] != 0
		if known.revision > summary[name] && !marked {
			found[name] = known.object
		}
	}
	if store.entries[configurer.IndexName].revision > summary[configurer.IndexName] {
		for name := range store.bodies.used {
			if summary[name] == 0 {
				found[name], _ = store.bodies.get(name)
			}
		}
	}
	names := make([]string, 0, len(found))
	for name := range found {
		names = append(names, name)
	}
	sortNames(names)
	var objects []Object
	size := 0
	for _, name := range names {
		object := found[name]
		size += len(object.Name) + len(object.Version) + len(object.Value)
		if len(objects) > 0 && size > maxExchange {
			break
		}
		objects = append(objects, Object(object))
	}
	return objects
}

// Merge adopts those objects of a peer that are newer, and returns the names of
// the objects that changed. Each object is checked; what a peer sends is
// trusted to be a true copy of the platform's object otherwise.
func (store *Store) Merge(objects []Object) []string {
	received := make([]platformer.Object, len(objects))
	for index, object := range objects {
		received[index] = platformer.Object(object)
	}
	return store.mergeAll(received)
}
