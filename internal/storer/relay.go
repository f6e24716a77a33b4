package storer

import (
	"cmp"
	"errors"
	"slices"
	"time"
)

// errOutdated means that a list is older than what other VMs have passed on.
var errOutdated = errors.New("the list is older than what is known")

const (
	// maxRecent is the number of changes that a follower can pass on. VMs ask for them
	// every few tenths of a second.
	maxRecent = 256
	// maxRecentBytes bounds their memory. Large objects, such as a configuration with
	// thousands of routes, are read from the store anyway.
	maxRecentBytes = 128 << 10
)

// recent holds the newest changes of a kind, for VMs that do not watch the store.
type recent struct {
	known   map[string]uint64 // revisions of all objects, by name
	changes []Change          // in the order of their revisions
	bytes   int               // of the changes
	after   uint64            // no change above this revision is missing
}

func size(change Change) int {
	return len(change.Object.Name) + len(change.Object.Spec) + len(change.Object.Status)
}

// add records a change.
func (recent *recent) add(change Change) {
	if change.Deleted {
		delete(recent.known, change.Object.Name)
	} else {
		recent.known[change.Object.Name] = change.Object.Revision
	}
	recent.changes = append(recent.changes, change)
	recent.bytes += size(change)
	excess := 0
	for len(recent.changes)-excess > maxRecent || recent.bytes > maxRecentBytes {
		recent.bytes -= size(recent.changes[excess])
		recent.after = recent.changes[excess].Object.Revision
		excess++
	}
	recent.changes = slices.Delete(recent.changes, 0, excess)
}

// replace records a list of all objects at a revision of the store, by its
// differences from what was known. A list does not tell when an object was
// deleted: at that revision at the latest.
func (recent *recent) replace(objects []Object, at uint64) {
	first := recent.known == nil
	present := make(map[string]uint64, len(objects))
	var changes []Change
	for _, object := range objects {
		present[object.Name] = object.Revision
		if object.Revision > recent.known[object.Name] {
			changes = append(changes, Change{Object: object})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Object.Revision, b.Object.Revision) })
	for name := range recent.known {
		if _, ok := present[name]; !ok {
			changes = append(changes, Change{Object: Object{Name: name, Revision: at}, Deleted: true})
		}
	}
	if first {
		recent.known, recent.after = present, at
		return
	}
	for _, change := range changes {
		recent.add(change)
	}
}

// listed records a list. It returns false for one that is older than what is known.
func (follower *Follower) listed(objects []Object, at uint64, began time.Time) bool {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if at < max(follower.revision, follower.complete) {
		return false
	}
	follower.recent.replace(objects, at)
	for _, object := range objects {
		follower.revision = max(follower.revision, object.Revision)
	}
	if changes := follower.recent.changes; len(changes) > 0 {
		follower.revision = max(follower.revision, changes[len(changes)-1].Object.Revision)
	}
	follower.complete, follower.listedAt = at, began
	return true
}

// CompleteRevision returns the revision up to which this follower misses no change.
func (follower *Follower) CompleteRevision() uint64 {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return max(follower.revision, follower.complete)
}

// ChangesSince returns the changes after a revision up to which another VM misses none.
// ok is false when they are not all known any more.
func (follower *Follower) ChangesSince(complete uint64) (changes []Change, ok bool) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if complete >= follower.revision {
		return nil, true
	}
	if follower.recent.known == nil || complete < follower.recent.after {
		return nil, false
	}
	for _, change := range follower.recent.changes {
		if change.Object.Revision > complete {
			changes = append(changes, change)
		}
	}
	return changes, true
}

// Apply applies changes that the store or another VM has told, in the order of
// their revisions, with none left out. Known ones are ignored.
func (follower *Follower) Apply(changes []Change) {
	follower.applying.Lock()
	defer follower.applying.Unlock()
	for _, change := range changes {
		if follower.news(change) {
			follower.OnChange(change)
		}
	}
}

// news records a change, and reports whether it was not known.
func (follower *Follower) news(change Change) bool {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if follower.recent.known == nil || change.Object.Revision <= max(follower.revision, follower.complete) {
		return false
	}
	follower.revision = change.Object.Revision
	follower.recent.add(change)
	return true
}

// RecoveryAge returns how long ago the store was last regained. ok is false when
// it never was.
func (follower *Follower) RecoveryAge() (ago time.Duration, ok bool) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.Clock.Now().Sub(follower.regainedAt), !follower.regainedAt.IsZero()
}

// RecordRecovery records that the store has been regained for VMs that pass changes on:
// entries that lapsed meanwhile may still return.
func (follower *Follower) RecordRecovery(ago time.Duration) {
	now := follower.Clock.Now()
	follower.mutex.Lock()
	news := now.Add(-ago).Sub(follower.regainedAt) > minRegained
	if news {
		follower.regainedAt = now.Add(-ago)
	}
	follower.mutex.Unlock()
	if news && follower.OnResponse != nil {
		follower.OnResponse(now, true)
	}
}

// minRegained is the time between two outages that are told apart. Times that
// pass between VMs are exact to the time of a call.
const minRegained = 500 * time.Millisecond
