package storer_test

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/storer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// fakeStore is a store with one object. While watchSilent, watches return no changes;
// while down, lists and watches fail.
type fakeStore struct {
	storer.Store
	mutex       sync.Mutex
	revision    uint64
	watchSilent bool
	staleBy     uint64 // revisions that stale lists lag behind
	down        bool
	calls       int
	changed     chan struct{}
}

var errDown = errors.New("the store is down")

func (store *fakeStore) List(context.Context, string) ([]storer.Object, storer.Version, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.calls++
	if store.down {
		return nil, storer.Version{}, errDown
	}
	return []storer.Object{{Name: "main", Revision: store.revision}}, storer.Version{Revision: store.revision}, nil
}

func (store *fakeStore) ListStale(context.Context, string) ([]storer.Object, storer.Version, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	at := store.revision - store.staleBy
	return []storer.Object{{Name: "main", Revision: at}}, storer.Version{Revision: at}, nil
}

func (store *fakeStore) Watch(ctx context.Context, _ string, after storer.Version, wait time.Duration) ([]storer.Change, storer.Version, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	store.update(func() { store.calls++ })
	for {
		store.mutex.Lock()
		down, newer, revision := store.down, !store.watchSilent && store.revision > after.Revision, store.revision
		store.mutex.Unlock()
		switch {
		case down:
			return nil, storer.Version{}, errDown
		case newer:
			return []storer.Change{{Object: storer.Object{Name: "main", Revision: revision}}}, storer.Version{Revision: revision}, nil
		}
		select {
		case <-store.changed:
		case <-timer.C:
			return nil, after, nil
		case <-ctx.Done():
			return nil, storer.Version{}, ctx.Err()
		}
	}
}

// update runs change with the mutex locked.
func (store *fakeStore) update(change func()) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	change()
}

// change writes a new revision of the object and wakes a watch.
func (store *fakeStore) change() {
	store.update(func() { store.revision++ })
	store.wake()
}

// wake lets a watch look at the state of the store.
func (store *fakeStore) wake() {
	select {
	case store.changed <- struct{}{}:
	default:
	}
}

// startFollower runs a follower until the end of the test. It returns the follower and
// a function that returns the newest revision that the follower has reported.
func startFollower(t *testing.T, store *fakeStore, poll bool) (*storer.Follower, func() uint64) {
	return startFollowerWith(t, store, poll, func(*storer.Follower) {})
}

// startFollowerWith is startFollower for a follower with other settings.
func startFollowerWith(t *testing.T, store *fakeStore, poll bool, set func(follower *storer.Follower)) (*storer.Follower, func() uint64) {
	var seen atomic.Uint64
	store.revision, store.changed = 1, make(chan struct{}, 1)
	follower := &storer.Follower{
		Store: store, Kind: "config", Clock: clocker.System{}, Log: slog.New(slog.DiscardHandler),
		OnList:     func(objects []storer.Object) { seen.Store(objects[0].Revision) },
		OnChanges:  func(changes []storer.Change) { seen.Store(changes[len(changes)-1].Object.Revision) },
		ShouldPoll: func() bool { return poll },
	}
	set(follower)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		assert.Check(t, follower.Run(ctx))
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	synctest.Wait()
	return follower, seen.Load
}

func TestChangesArriveAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{}
		_, seen := startFollower(t, store, false)
		store.change()
		synctest.Wait()
		assert.Equal(t, seen(), uint64(2))
	})
}

// A watch that fails once, as when its connection is closed, is not an outage: entries
// that are removed soon after it have not lapsed, but their upstreams have left. In the
// benchmark (lochside-gw scale-2) such upstreams got requests for 2.2 s more, beyond
// their drain period of 2 s.
func TestOnlyLongFailuresAreOutages(t *testing.T) {
	for _, test := range []struct {
		poll      bool
		down      time.Duration
		recovered bool
	}{{false, 100 * time.Millisecond, false}, {true, 100 * time.Millisecond, false}, {false, 4 * time.Second, true}, {true, 4 * time.Second, true}} {
		synctest.Test(t, func(t *testing.T) {
			store := &fakeStore{}
			var recovered atomic.Int32
			follower, _ := startFollowerWith(t, store, test.poll, func(follower *storer.Follower) {
				follower.MinOutage = 1740 * time.Millisecond
				follower.OnResponse = func(_ time.Time, ended bool) {
					if ended {
						recovered.Add(1)
					}
				}
			})
			time.Sleep(20 * time.Second)
			store.update(func() { store.down = true })
			store.wake()
			time.Sleep(test.down)
			store.update(func() { store.down = false })
			time.Sleep(2 * time.Second)
			assert.Equal(t, recovered.Load() > 0, test.recovered, "poll %v, down for %v", test.poll, test.down)
			_, ok := follower.RecoveryAge()
			assert.Equal(t, ok, test.recovered)
		})
	}
}

// After an outage all objects are listed again, because the store may have dropped
// changes without reporting it.
func TestListAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{}
		follower, seen := startFollower(t, store, false)
		store.update(func() { store.down = true })
		time.Sleep(30 * time.Second) // until the watch has ended
		assert.Assert(t, follower.FailingFor() > 0)
		store.update(func() { store.revision, store.down = 7, false })
		time.Sleep(time.Second)
		assert.Equal(t, seen(), uint64(7))
		assert.Equal(t, follower.FailingFor(), time.Duration(0))
	})
}

// Guards against a watch that misses changes: it is cancelled when another VM has a
// newer revision. On scale-1 of both sites, where it broke the rule CONFIG, a VM did
// not receive a configuration for 5 s.
func TestSilentWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{}
		follower, seen := startFollower(t, store, false)
		store.update(func() { store.watchSilent = true })
		store.change()
		time.Sleep(time.Second)
		assert.Equal(t, seen(), uint64(1))
		follower.ObserveRevision(storer.Version{Revision: 1})
		synctest.Wait()
		assert.Equal(t, seen(), uint64(1), "no newer revision was observed")
		follower.ObserveRevision(storer.Version{Revision: 2})
		synctest.Wait()
		assert.Equal(t, seen(), uint64(2))
	})
}

// A follower that polls receives changes without a watch.
func TestPolling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{watchSilent: true}
		_, seen := startFollower(t, store, true)
		store.change()
		time.Sleep(800 * time.Millisecond)
		assert.Equal(t, seen(), uint64(2))
	})
}

// A follower that relies on relayed changes reads stale lists from time to time, which
// make up for faults of the relay, and never goes back to older data than it has.
func TestStaleLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{}
		follower, seen := startFollower(t, store, false)
		follower.Relayed = func(time.Duration) bool { return true }
		follower.Relist()
		synctest.Wait()
		store.change()
		time.Sleep(11 * time.Second)
		assert.Equal(t, seen(), uint64(2))
		store.update(func() { store.staleBy = 1 })
		time.Sleep(30 * time.Second)
		assert.Equal(t, seen(), uint64(2))
	})
}

// Calls are billed: without changes a follower makes about three a minute.
func TestCallsWithoutChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{}
		startFollower(t, store, false)
		time.Sleep(time.Minute)
		store.update(func() { assert.Assert(t, store.calls <= 5, "%d calls", store.calls) })
	})
}

// storeWithDeletion is a store at revision 400. Its newest object has revision 378, as
// the changes since were deletions, which lists do not show.
type storeWithDeletion struct {
	storer.Store
	calls atomic.Int32
}

func (store *storeWithDeletion) List(context.Context, string) ([]storer.Object, storer.Version, error) {
	store.calls.Add(1)
	return []storer.Object{{Name: "main", Revision: 378}}, storer.Version{Revision: 400}, nil
}

func (store *storeWithDeletion) Watch(ctx context.Context, _ string, _ storer.Version, wait time.Duration) ([]storer.Change, storer.Version, error) {
	store.calls.Add(1)
	select {
	case <-time.After(wait):
		return nil, storer.Version{Revision: 400}, nil
	case <-ctx.Done():
		return nil, storer.Version{}, ctx.Err()
	}
}

// Guards against listing all objects again for a deletion before the last list. On
// lochside-gw-grown, each VM listed all upstreams at every report from a VM that had
// received the deletion of an upstream, because its own list did not show the
// deletion's revision.
func TestDeletionBeforeListCausesNoRelist(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &storeWithDeletion{}
		follower := &storer.Follower{
			Store: store, Kind: "servers", Clock: clocker.System{}, Log: slog.New(slog.DiscardHandler),
			OnList: func([]storer.Object) {}, OnChanges: func([]storer.Change) {},
		}
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go func() { _ = follower.Run(ctx) }()
		time.Sleep(time.Second)
		for range 10 {
			follower.ObserveRevision(storer.Version{Revision: 388})
			time.Sleep(400 * time.Millisecond)
		}
		assert.Equal(t, store.calls.Load(), int32(2), "calls to the store")
		follower.ObserveRevision(storer.Version{Revision: 401})
		time.Sleep(400 * time.Millisecond)
		assert.Equal(t, store.calls.Load(), int32(4), "a change after the list causes a new list")
		stop()
		synctest.Wait()
	})
}
