package storer_test

import (
	"context"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/storer"
)

// restore restores the store from a copy, with the objects and the revision that it had
// then.
func (store *objectStore) restore(present map[string]uint64, revision uint64) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.era++
	store.present, store.revision, store.changes = maps.Clone(present), revision, nil
}

// restorable starts a store with an object "old" that a copy has, and a source and a
// follower that relies on it. Both have seen an object "new" that the copy lacks.
func restorable(ctx context.Context) (store *objectStore, restore func(), followers [2]*storer.Follower, views [2]*followerView) {
	store = newObjectStore()
	store.put("old")
	copied, at := maps.Clone(store.present), store.revision
	store.put("old")
	store.put("new")
	followers[0], views[0] = store.startFollower(ctx, false)
	followers[1], views[1] = store.startFollower(ctx, true)
	time.Sleep(50 * time.Millisecond)
	return store, func() { store.restore(copied, at) }, followers, views
}

// Guards against a follower that takes objects of the restored store for older than those
// it has, and lists without end or never, because the revisions went back.
func TestFollowerListsAgainAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		store, restore, followers, views := restorable(ctx)
		calls := store.callCount()
		restore()
		time.Sleep(100 * time.Millisecond)
		assert.DeepEqual(t, views[0].get(), map[string]uint64{"old": 1})
		relayChanges(followers[0], followers[1])
		time.Sleep(100 * time.Millisecond)
		assert.DeepEqual(t, views[1].get(), map[string]uint64{"old": 1})
		assert.Assert(t, store.callCount()-calls <= 4, "%d calls", store.callCount()-calls)

		// Changes that reuse revisions are followed and relayed as usual.
		store.put("other")
		time.Sleep(100 * time.Millisecond)
		relayChanges(followers[0], followers[1])
		assert.DeepEqual(t, views[1].get(), map[string]uint64{"old": 1, "other": 2})
		stop()
		time.Sleep(time.Second)
	})
}

// Guards against a change of an earlier era that is applied to objects of a later one: its
// revision is above those that the restored store has reached.
func TestChangesOfAnEarlierEraAreNotApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		_, restore, followers, views := restorable(ctx)
		early := followers[0].CompleteRevision()
		changes := []storer.Change{{Object: storer.Object{Name: "lost", Revision: early.Revision + 1}}}
		restore()
		time.Sleep(100 * time.Millisecond)
		followers[0].Apply(changes)
		followers[0].Advance(storer.Version{Revision: 1000})
		assert.DeepEqual(t, views[0].get(), map[string]uint64{"old": 1})
		assert.Equal(t, followers[0].CompleteRevision(), storer.Version{Era: 1, Revision: 1})
		_, _, ok := followers[0].ChangesSince(early)
		assert.Assert(t, !ok, "changes relayed to a VM of an earlier era")
		_, _, ok = followers[1].ChangesSince(followers[0].CompleteRevision())
		assert.Assert(t, !ok, "changes relayed to a VM of a later era")
		stop()
		time.Sleep(time.Second)
	})
}

// Guards against an endless series of lists without a pause when the store's answers no
// longer tell the era.
func TestListsOfAnEarlierEraAreRetriedSlowly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		store, restore, followers, views := restorable(ctx)
		restore()
		time.Sleep(100 * time.Millisecond)
		store.mutex.Lock()
		store.era = 0
		store.mutex.Unlock()
		followers[0].Relist()
		before := store.callCount()
		time.Sleep(10 * time.Second)
		assert.Assert(t, store.callCount()-before < 60, "%d calls", store.callCount()-before)
		assert.Assert(t, followers[0].FailingFor() > 0)
		assert.DeepEqual(t, views[0].get(), map[string]uint64{"old": 1})
		stop()
		time.Sleep(time.Second)
	})
}

// Entries that the copy lacks have not been removed: the end of an outage is reported
// before the list that lacks them, so that they are kept until they are written again.
func TestRestoreCountsAsOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		_, restore, followers, views := restorable(ctx)
		restore()
		time.Sleep(100 * time.Millisecond)
		views[0].mutex.Lock()
		assert.DeepEqual(t, views[0].atRecovery, map[string]uint64{"old": 2, "new": 3})
		views[0].mutex.Unlock()
		age, ok := followers[0].RecoveryAge()
		assert.Assert(t, ok && age < time.Second)
		stop()
		time.Sleep(time.Second)
	})
}
