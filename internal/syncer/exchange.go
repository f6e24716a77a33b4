package syncer

import (
	"strconv"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/platformer"
)

// maxResponseBytes bounds the size of the objects that NewerThan returns. A message
// between VMs is limited to 1 MiB, and a single value to 1 MB.
const maxResponseBytes = 900_000

// Digest returns a hash of the names and revisions of all visible objects. Stores
// with equal digests need no exchange.
func (store *Store) Digest() uint64 {
	store.mutex.RLock()
	defer store.mutex.RUnlock()
	return store.digest
}

// Summary returns the revisions that the store holds, by object name. It includes
// the bodies, and a separate key for each index that still lacks bodies. A peer
// passes the summary to NewerThan.
func (store *Store) Summary() map[string]uint64 {
	store.mutex.RLock()
	defer store.mutex.RUnlock()
	summary := make(map[string]uint64, len(store.entries))
	for name, known := range store.entries {
		summary[name] = known.revision
	}
	for _, waiting := range store.pending {
		summary[pendingIndexKey(waiting.revision)] = waiting.revision
	}
	for name := range store.bodies.bodies {
		summary[name] = bodyRevision
	}
	return summary
}

// pendingIndexKey returns the key of a pending index in a summary. With it, the peer
// does not send the index again with each part of its bodies.
func pendingIndexKey(revision uint64) string {
	return configurer.IndexName + "@" + strconv.FormatUint(revision, 10)
}

// NewerThan returns the objects that a store with the summary lacks, up to
// maxResponseBytes. The peer merges them and calls again with its new summary until
// the result is empty.
func (store *Store) NewerThan(summary map[string]uint64) []Object {
	store.mutex.RLock()
	defer store.mutex.RUnlock()
	found := map[string]platformer.Object{}
	for name, known := range store.entries {
		alreadyPending := name == configurer.IndexName && summary[pendingIndexKey(known.revision)] != 0
		if known.revision > summary[name] && !alreadyPending {
			found[name] = known.object
		}
	}
	if store.entries[configurer.IndexName].revision > summary[configurer.IndexName] {
		for name := range store.bodies.referenced {
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
		if len(objects) > 0 && size > maxResponseBytes {
			break
		}
		objects = append(objects, Object(object))
	}
	return objects
}

// Merge adopts the objects of a peer that are newer, and returns the names of those
// that changed. It validates each object, but trusts the peer that a valid object is
// a copy of the platform's.
func (store *Store) Merge(objects []Object) []string {
	received := make([]platformer.Object, len(objects))
	for index, object := range objects {
		received[index] = platformer.Object(object)
	}
	return store.mergeAll(received)
}
