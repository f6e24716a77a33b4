package storer

import (
	"errors"
	"slices"
	"time"
)

var (
	// errStaleList means that a list is older than the changes that were received.
	errStaleList = errors.New("the list is older than the changes received")
	// errEarlierEra means that a list is from an earlier era than the latest one that is
	// known. Unlike a list that is only stale, it may stay so.
	errEarlierEra = errors.New("the list is from an earlier era of the store")
)

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
	revisions     map[string]Version // versions of all objects by name; nil before the first list
	changes       []Change           // by ascending version, of one era
	bytes         int                // total size of changes
	completeSince Version            // changes holds every change above this version
}

func changeSize(change Change) int {
	return len(change.Object.Name) + len(change.Object.Spec) + len(change.Object.Status)
}

// add appends a change and drops the oldest ones that exceed the bounds.
func (history *changeHistory) add(change Change) {
	if change.Deleted {
		delete(history.revisions, change.Object.Name)
	} else {
		history.revisions[change.Object.Name] = change.Object.Version()
	}
	history.changes = append(history.changes, change)
	history.bytes += changeSize(change)
	excess := 0
	for len(history.changes)-excess > maxHistory || history.bytes > maxHistoryBytes {
		history.bytes -= changeSize(history.changes[excess])
		history.completeSince = history.changes[excess].Object.Version()
		excess++
	}
	history.changes = slices.Delete(history.changes, 0, excess)
}

// addList appends the differences between a list of all objects and the objects known
// so far. version is that of the store at the time of the list. A list does not tell
// when an object was deleted, so deletions get this version, the latest possible.
// Objects that changed while a list of several pages was read have a higher revision.
// Other changes with revisions in between may be missing from the list, so these changes
// are left to the next list or watch. The first list of an era begins a new history.
func (history *changeHistory) addList(objects []Object, version Version) {
	first := history.revisions == nil || version.Era > history.completeSince.Era
	present := make(map[string]Version, len(objects))
	var changes []Change
	for _, object := range objects {
		present[object.Name] = earliest(object.Version(), version)
		if object.Version().After(version) {
			continue
		}
		if object.Version().After(history.revisions[object.Name]) {
			changes = append(changes, Change{Object: object})
		}
	}
	if first {
		*history = changeHistory{revisions: present, completeSince: version}
		return
	}
	slices.SortFunc(changes, func(a, b Change) int { return a.Object.Version().Compare(b.Object.Version()) })
	for name := range history.revisions {
		if _, ok := present[name]; !ok {
			changes = append(changes, Change{Object: Object{Name: name, Era: version.Era, Revision: version.Revision}, Deleted: true})
		}
	}
	for _, change := range changes {
		history.add(change)
	}
}

// recordList records a list that began at the given time, and reports whether it is the
// first one after a restore of the store. If the list is older than the changes received,
// it changes nothing and returns errStaleList or errEarlierEra.
func (follower *Follower) recordList(objects []Object, version Version, began time.Time) (restored bool, err error) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	known := latest(follower.revision, follower.listRevision)
	if version.Era < max(known.Era, follower.era) {
		return false, errEarlierEra
	}
	if known.After(version) {
		return false, errStaleList
	}
	restored = follower.history.revisions != nil && version.Era > known.Era
	if restored {
		follower.Log.Warn("store was restored from an old copy, objects are read anew", "kind", follower.Kind, "era", version.Era, "revision", version.Revision, "previously", known)
		follower.revision, follower.advancedTo = Version{Era: version.Era}, Version{}
		follower.recoveredAt = follower.Clock.Now()
	}
	follower.era = version.Era
	follower.history.addList(objects, version)
	for _, object := range objects {
		follower.revision = latest(follower.revision, earliest(object.Version(), version))
	}
	if changes := follower.history.changes; len(changes) > 0 {
		follower.revision = latest(follower.revision, changes[len(changes)-1].Object.Version())
	}
	follower.listRevision, follower.listedAt = version, began
	return restored, nil
}

// Era returns the latest era of the store that this follower knows.
func (follower *Follower) Era() uint64 {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.era
}

// ObserveEra tells the follower that the store has reached the era. If the follower's
// objects are of an earlier one, it lists at once.
func (follower *Follower) ObserveEra(era uint64) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if era <= follower.era {
		return
	}
	follower.era = era
	if follower.cancelCall != nil {
		follower.interrupted = true
		follower.cancelCall()
	}
}

// isBehindEra reports whether the objects were listed in an earlier era than the latest
// one that is known.
func (follower *Follower) isBehindEra() bool {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.listRevision.Era < follower.era
}

// CompleteRevision returns the version up to which this follower has every change.
func (follower *Follower) CompleteRevision() Version {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return latest(follower.revision, follower.listRevision, follower.advancedTo)
}

// ChangesSince returns the changes after the given version, the CompleteRevision of
// another VM, and the version up to which that VM has every change once it has these.
// ok is false if the history does not hold all of them.
func (follower *Follower) ChangesSince(version Version) (changes []Change, completeTo Version, ok bool) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if version.Era != follower.listRevision.Era && follower.history.revisions != nil {
		return nil, Version{}, false // one of the VMs has to list in the other one's era
	}
	if !follower.revision.After(version) {
		return nil, latest(version, follower.listRevision), true
	}
	if follower.history.revisions == nil || follower.history.completeSince.After(version) {
		return nil, Version{}, false
	}
	for _, change := range follower.history.changes {
		if change.Object.Version().After(version) {
			changes = append(changes, change)
		}
	}
	return changes, latest(follower.revision, follower.listRevision), true
}

// Advance records that all changes up to the version have been applied. A watch that
// begins at a revision soon after which nothing has changed would be refused once the
// store has dropped its history of that time.
func (follower *Follower) Advance(version Version) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if follower.history.revisions != nil && version.Era == follower.listRevision.Era {
		follower.advancedTo = latest(follower.advancedTo, version)
	}
}

// Apply reports changes from the store or another VM to OnChanges. They must be
// complete and in the order of their revisions. Those already received are ignored.
func (follower *Follower) Apply(changes []Change) {
	follower.callbackMutex.Lock()
	defer follower.callbackMutex.Unlock()
	follower.mutex.Lock()
	received := latest(follower.revision, follower.listRevision)
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

// recordChange records a change and reports whether it is new. received is the version of
// the newest change before those that arrived together with this one, of which several can
// have one revision: the deletions that a list shows all have that of the list.
func (follower *Follower) recordChange(change Change, received Version) bool {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	version := change.Object.Version()
	if follower.history.revisions == nil || version.Era != follower.listRevision.Era || !version.After(received) {
		return false
	}
	follower.revision = version
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
