package storer

import (
	"cmp"
	"errors"
	"slices"
	"time"
)

// errStaleList means that a list is older than the changes that were received.
var errStaleList = errors.New("the list is older than the changes received")

const (
	// maxHistory is the number of changes that a follower keeps to relay. VMs ask for
	// them every few tenths of a second.
	maxHistory = 2048
	// maxHistoryBytes bounds the size of these changes. Large objects, such as a
	// configuration with thousands of routes, are read from the store instead.
	maxHistoryBytes = 512 << 10
)

// changeHistory holds the newest changes of a kind, to be relayed to VMs that do not
// watch the store.
type changeHistory struct {
	revisions     map[string]uint64 // revisions of all objects by name; nil before the first list
	changes       []Change          // by ascending revision
	bytes         int               // total size of changes
	completeSince uint64            // changes holds every change above this revision
}

func changeSize(change Change) int {
	return len(change.Object.Name) + len(change.Object.Spec) + len(change.Object.Status)
}

// add appends a change and drops the oldest ones that exceed the bounds.
func (history *changeHistory) add(change Change) {
	if change.Deleted {
		delete(history.revisions, change.Object.Name)
	} else {
		history.revisions[change.Object.Name] = change.Object.Revision
	}
	history.changes = append(history.changes, change)
	history.bytes += changeSize(change)
	excess := 0
	for len(history.changes)-excess > maxHistory || history.bytes > maxHistoryBytes {
		history.bytes -= changeSize(history.changes[excess])
		history.completeSince = history.changes[excess].Object.Revision
		excess++
	}
	history.changes = slices.Delete(history.changes, 0, excess)
}

// addList appends the differences between a list of all objects and the objects known
// so far. revision is that of the store at the time of the list. A list does not tell
// when an object was deleted, so deletions get this revision, the latest possible.
// Objects that changed while a list of several pages was read have a higher revision.
// Other changes with revisions in between may be missing from the list, so these changes
// are left to the next list or watch.
func (history *changeHistory) addList(objects []Object, revision uint64) {
	first := history.revisions == nil
	present := make(map[string]uint64, len(objects))
	var changes []Change
	for _, object := range objects {
		present[object.Name] = min(object.Revision, revision)
		if object.Revision > revision {
			continue
		}
		if object.Revision > history.revisions[object.Name] {
			changes = append(changes, Change{Object: object})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Object.Revision, b.Object.Revision) })
	for name := range history.revisions {
		if _, ok := present[name]; !ok {
			changes = append(changes, Change{Object: Object{Name: name, Revision: revision}, Deleted: true})
		}
	}
	if first {
		history.revisions, history.completeSince = present, revision
		return
	}
	for _, change := range changes {
		history.add(change)
	}
}

// recordList records a list that began at the given time. It returns false, and
// changes nothing, if the list is older than the changes received.
func (follower *Follower) recordList(objects []Object, revision uint64, began time.Time) bool {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if revision < max(follower.revision, follower.listRevision) {
		return false
	}
	follower.history.addList(objects, revision)
	for _, object := range objects {
		follower.revision = max(follower.revision, min(object.Revision, revision))
	}
	if changes := follower.history.changes; len(changes) > 0 {
		follower.revision = max(follower.revision, changes[len(changes)-1].Object.Revision)
	}
	follower.listRevision, follower.listedAt = revision, began
	return true
}

// CompleteRevision returns the revision up to which this follower has every change.
func (follower *Follower) CompleteRevision() uint64 {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return max(follower.revision, follower.listRevision, follower.advancedTo)
}

// ChangesSince returns the changes after the given revision, the CompleteRevision of
// another VM, and the revision up to which that VM has every change once it has these.
// ok is false if the history does not hold all of them.
func (follower *Follower) ChangesSince(revision uint64) (changes []Change, completeTo uint64, ok bool) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if revision >= follower.revision {
		return nil, max(revision, follower.listRevision), true
	}
	if follower.history.revisions == nil || revision < follower.history.completeSince {
		return nil, 0, false
	}
	for _, change := range follower.history.changes {
		if change.Object.Revision > revision {
			changes = append(changes, change)
		}
	}
	return changes, max(follower.revision, follower.listRevision), true
}

// Advance records that all changes up to the revision have been applied. A watch that
// begins at a revision soon after which nothing has changed would be refused once the
// store has dropped its history of that time.
func (follower *Follower) Advance(revision uint64) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if follower.history.revisions != nil {
		follower.advancedTo = max(follower.advancedTo, revision)
	}
}

// Apply reports changes from the store or another VM to OnChanges. They must be
// complete and in the order of their revisions. Those already received are ignored.
func (follower *Follower) Apply(changes []Change) {
	follower.callbackMutex.Lock()
	defer follower.callbackMutex.Unlock()
	follower.mutex.Lock()
	received := max(follower.revision, follower.listRevision)
	follower.mutex.Unlock()
	var applied []Change
	for _, change := range changes {
		if follower.recordChange(change, received) {
			applied = append(applied, change)
		}
	}
	if len(applied) > 0 {
		follower.OnChanges(applied)
	}
}

// recordChange records a change and reports whether it is new. received is the revision of
// the newest change before those that arrived together with this one, of which several can
// have one revision: the deletions that a list shows all have that of the list.
func (follower *Follower) recordChange(change Change, received uint64) bool {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if follower.history.revisions == nil || change.Object.Revision <= received {
		return false
	}
	follower.revision = change.Object.Revision
	follower.history.add(change)
	return true
}

// RecoveryAge returns how long ago the last outage of the store ended. ok is false if
// there was none.
func (follower *Follower) RecoveryAge() (age time.Duration, ok bool) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.Clock.Now().Sub(follower.recoveredAt), !follower.recoveredAt.IsZero()
}

// RecordRecovery records that an outage of the store ended the given time ago for the
// VM that relays changes, and reports it to OnResponse: entries that lapsed during the
// outage may still return.
func (follower *Follower) RecordRecovery(ago time.Duration) {
	now := follower.Clock.Now()
	follower.mutex.Lock()
	isNew := now.Add(-ago).Sub(follower.recoveredAt) > minRecoveryGap
	if isNew {
		follower.recoveredAt = now.Add(-ago)
	}
	follower.mutex.Unlock()
	if isNew && follower.OnResponse != nil {
		follower.OnResponse(now, true)
	}
}

// minRecoveryGap is the least time between the ends of two outages that are told apart.
// The times that VMs exchange are off by up to the duration of a call.
const minRecoveryGap = 500 * time.Millisecond
