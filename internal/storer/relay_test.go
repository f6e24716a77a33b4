package storer_test

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cuminstream/cuminstream/internal/storer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// objectStore is a store of one kind with deletions. While slow, a list takes 100 ms
// and returns the objects as they were at its start. If betweenPages is set, the next
// list has two pages, the second with the names from "n" on, and calls it in between.
type objectStore struct {
	storer.Store
	mutex    sync.Mutex
	era      uint64
	revision uint64
	present  map[string]uint64
	changes  []storer.Change
	slow     bool
	calls    int

	betweenPages func()
}

func newObjectStore() *objectStore { return &objectStore{present: map[string]uint64{}} }

func (store *objectStore) put(name string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.revision++
	store.present[name] = store.revision
	store.changes = append(store.changes, storer.Change{Object: storer.Object{Name: name, Era: store.era, Revision: store.revision}})
}

func (store *objectStore) remove(name string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if _, ok := store.present[name]; !ok {
		return
	}
	store.revision++
	delete(store.present, name)
	store.changes = append(store.changes, storer.Change{Object: storer.Object{Name: name, Era: store.era, Revision: store.revision}, Deleted: true})
}

func (store *objectStore) List(context.Context, string) ([]storer.Object, storer.Version, error) {
	store.mutex.Lock()
	store.calls++
	at, slow, betweenPages := storer.Version{Era: store.era, Revision: store.revision}, store.slow, store.betweenPages
	store.betweenPages = nil
	list := store.page(func(name string) bool { return name < "n" || betweenPages == nil })
	if betweenPages != nil {
		store.mutex.Unlock()
		betweenPages()
		store.mutex.Lock()
		list = append(list, store.page(func(name string) bool { return name >= "n" })...)
	}
	store.mutex.Unlock()
	if slow {
		time.Sleep(100 * time.Millisecond)
	}
	return list, at, nil
}

// page returns the objects whose names pass the filter. The mutex must be held.
func (store *objectStore) page(filter func(name string) bool) []storer.Object {
	var page []storer.Object
	for name, revision := range store.present {
		if filter(name) {
			page = append(page, storer.Object{Name: name, Era: store.era, Revision: revision})
		}
	}
	return page
}

func (store *objectStore) callCount() int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.calls
}

func (store *objectStore) ListStale(ctx context.Context, kind string) ([]storer.Object, storer.Version, error) {
	return store.List(ctx, kind)
}

func (store *objectStore) Watch(ctx context.Context, _ string, after storer.Version, wait time.Duration) ([]storer.Change, storer.Version, error) {
	store.mutex.Lock()
	store.calls++
	store.mutex.Unlock()
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ctx.Err() != nil {
			return nil, storer.Version{}, ctx.Err()
		}
		store.mutex.Lock()
		var changes []storer.Change
		for _, change := range store.changes {
			if change.Object.Version().After(after) {
				changes = append(changes, change)
			}
		}
		at := storer.Version{Era: store.era, Revision: store.revision}
		store.mutex.Unlock()
		if at.Era > after.Era {
			return nil, storer.Version{}, storer.ErrEraChanged
		}
		if len(changes) > 0 {
			return changes, at, nil
		}
	}
	return nil, after, nil
}

// followerView holds the objects that a follower has reported, as revisions by name.
type followerView struct {
	mutex sync.Mutex
	names map[string]uint64
	// atRecovery is names when the end of an outage was last reported.
	atRecovery map[string]uint64
}

func (view *followerView) get() map[string]uint64 {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return maps.Clone(view.names)
}

// startFollower starts a follower. If relayed, it does not watch the store.
func (store *objectStore) startFollower(ctx context.Context, relayed bool) (*storer.Follower, *followerView) {
	return store.startFollowerAmong(ctx, relayed, 1)
}

// startFollowerAmong is startFollower for one of the given number of VMs.
func (store *objectStore) startFollowerAmong(ctx context.Context, relayed bool, vms int) (*storer.Follower, *followerView) {
	view := &followerView{}
	follower := &storer.Follower{
		Store: store, Kind: "kind", Clock: clocker.System{}, Log: slog.New(slog.DiscardHandler),
		Relayed: func(time.Duration) bool { return relayed }, RelyingVMs: func() int { return vms },
		OnResponse: func(_ time.Time, recovered bool) {
			view.mutex.Lock()
			defer view.mutex.Unlock()
			if recovered {
				view.atRecovery = maps.Clone(view.names)
			}
		},
		OnList: func(list []storer.Object) {
			view.mutex.Lock()
			defer view.mutex.Unlock()
			view.names = map[string]uint64{}
			for _, object := range list {
				view.names[object.Name] = object.Revision
			}
		},
		OnChanges: func(changes []storer.Change) {
			view.mutex.Lock()
			defer view.mutex.Unlock()
			for _, change := range changes {
				if change.Deleted {
					delete(view.names, change.Object.Name)
				} else {
					view.names[change.Object.Name] = change.Object.Revision
				}
			}
		},
	}
	go func() { _ = follower.Run(ctx) }()
	return follower, view
}

// relayChanges sends the second follower the changes that it misses, as the response to
// a report does.
func relayChanges(from, to *storer.Follower) {
	if changes, completeTo, ok := from.ChangesSince(to.CompleteRevision()); ok {
		to.Apply(changes)
		to.Advance(completeTo)
	}
	to.ObserveRevision(from.Revision())
}

// For any sequence of changes, and of relays from either of two sources, a follower that
// does not watch the store holds the same objects as the store after the next relays.
func TestRelayedViewsAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 60).Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			defer func() {
				stop()
				time.Sleep(time.Second) // lets the calls in progress end
			}()
			store := newObjectStore()
			store.put("first")
			one, _ := store.startFollower(ctx, false)
			two, _ := store.startFollower(ctx, false)
			last, seen := store.startFollower(ctx, true)
			time.Sleep(50 * time.Millisecond)
			names := []string{"a", "b", "c"}
			for i, step := range steps {
				switch {
				case step < 4:
					store.put(names[step%3])
				case step < 7:
					store.remove(names[step%3])
				case step == 7:
					relayChanges(one, last)
				case step == 8:
					relayChanges(two, last)
				default:
					time.Sleep(time.Duration(i%3) * 10 * time.Millisecond)
				}
			}
			time.Sleep(500 * time.Millisecond)
			relayChanges(two, last)
			relayChanges(one, last)
			time.Sleep(400 * time.Millisecond)
			store.mutex.Lock()
			present := maps.Clone(store.present)
			store.mutex.Unlock()
			assert.DeepEqual(t, seen.get(), present)
		})
	})
}

// Guards against an old list that undoes a newer change: the change is relayed while the
// response to the list is on its way.
func TestOldListDoesNotUndoARelayedChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		store := newObjectStore()
		store.put("main")
		source, _ := store.startFollower(ctx, false)
		last, seen := store.startFollower(ctx, true)
		time.Sleep(50 * time.Millisecond)
		store.mutex.Lock()
		store.slow = true
		store.mutex.Unlock()
		last.Relist()
		time.Sleep(50 * time.Millisecond)
		store.put("main")
		time.Sleep(20 * time.Millisecond)
		relayChanges(source, last)
		assert.Equal(t, seen.get()["main"], uint64(2))
		for range 40 {
			time.Sleep(10 * time.Millisecond)
			assert.Equal(t, seen.get()["main"], uint64(2))
		}
		stop()
		time.Sleep(time.Second)
	})
}

// Guards against a change that is lost because it falls between two pages of a list: the
// object is on the first page, and a later change on the second one is already known.
func TestChangeBetweenPagesIsNotLost(t *testing.T) {
	for _, lister := range []string{"the source", "the other follower"} {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			store := newObjectStore()
			store.put("a")
			store.put("z")
			changes := func() {
				store.put("a")
				store.put("z")
			}
			source, sourceSeen := store.startFollower(ctx, false)
			last, seen := store.startFollower(ctx, true)
			time.Sleep(50 * time.Millisecond)
			store.mutex.Lock()
			store.betweenPages = changes
			store.mutex.Unlock()
			if lister == "the source" {
				source.Relist()
			} else {
				last.Relist()
			}
			want := map[string]uint64{"a": 3, "z": 4}
			for range 3 {
				time.Sleep(300 * time.Millisecond)
				relayChanges(source, last)
			}
			assert.DeepEqual(t, sourceSeen.get(), want)
			assert.DeepEqual(t, seen.get(), want)
			stop()
			time.Sleep(time.Second)
		})
	}
}

// Guards against deletions that are lost on the way to another VM: those that the source
// sees only in a list have the list's revision, as the newest change in it has. The VM
// that missed them went on sending requests to upstreams that had left.
func TestDeletionsInAListAreRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		store := newObjectStore()
		for _, name := range []string{"gone", "gone too", "main"} {
			store.put(name)
		}
		source, _ := store.startFollower(ctx, false)
		last, seen := store.startFollower(ctx, true)
		time.Sleep(52 * time.Millisecond)
		source.Relist()
		store.remove("gone")
		store.remove("gone too")
		store.put("main")
		time.Sleep(20 * time.Millisecond)
		relayChanges(source, last)
		assert.DeepEqual(t, seen.get(), map[string]uint64{"main": 6})
		stop()
		time.Sleep(time.Second)
	})
}

// A source does not relay changes if its history lacks any that the other VM misses,
// because it saw them only in a list or has dropped them.
func TestChangesAfterGapAreNotRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		store := newObjectStore()
		store.put("main")
		store.put("other")
		store.remove("other")
		source, _ := store.startFollower(ctx, false)
		time.Sleep(50 * time.Millisecond)
		store.put("main")
		time.Sleep(50 * time.Millisecond)
		_, _, ok := source.ChangesSince(storer.Version{Revision: 2})
		assert.Assert(t, !ok, "the history lacks the deletion at revision 3")
		changes, _, ok := source.ChangesSince(storer.Version{Revision: 3})
		assert.Assert(t, ok)
		assert.Equal(t, len(changes), 1)
		for range 3000 {
			store.put("main")
		}
		time.Sleep(50 * time.Millisecond)
		_, _, ok = source.ChangesSince(storer.Version{Revision: 4})
		assert.Assert(t, !ok, "more changes than the history holds")
		stop()
		time.Sleep(time.Second)
	})
}

// Guards against a watch from a revision whose history the store has dropped: a VM that
// loses the relay then needs a list of all objects. Changes of other kinds had moved the
// revision on, and the relay knew that none concerned this one.
func TestWatchContinuesWhereTheRelayEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		store := newObjectStore()
		store.put("main")
		source, _ := store.startFollower(ctx, false)
		last, _ := store.startFollower(ctx, true)
		time.Sleep(50 * time.Millisecond)
		store.mutex.Lock()
		store.revision = 90 // changes of other kinds
		store.mutex.Unlock()
		source.Relist()
		time.Sleep(50 * time.Millisecond)
		relayChanges(source, last)
		assert.Equal(t, last.Revision(), storer.Version{Revision: 1})
		assert.Equal(t, last.CompleteRevision(), storer.Version{Revision: 90})
		stop()
		time.Sleep(time.Second)
	})
}

// Followers that rely on relayed changes make hardly any calls.
func TestRelayedFollowersDoNotWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		store := newObjectStore()
		store.put("main")
		source, _ := store.startFollower(ctx, false)
		time.Sleep(50 * time.Millisecond)
		before := store.callCount()
		last, seen := store.startFollower(ctx, true)
		for range 20 {
			store.put("main")
			time.Sleep(time.Second)
			relayChanges(source, last)
		}
		assert.Equal(t, seen.get()["main"], uint64(21))
		// One list at the start and two stale ones, besides the watches of the source.
		assert.Assert(t, store.callCount()-before-20 <= 3, "%d calls", store.callCount()-before-20)
		stop()
		time.Sleep(time.Second)
	})
}

// The stale lists of many VMs together must not grow with their number: 195 VMs had read
// four kinds each every 10 s, which cost 8 calls a second.
func TestStaleListsDoNotGrowWithTheFleet(t *testing.T) {
	for _, test := range []struct{ vms, lists int }{{9, 11}, {320, 2}} {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			store := newObjectStore()
			store.put("main")
			_, _ = store.startFollowerAmong(ctx, true, test.vms)
			time.Sleep(112 * time.Second)
			assert.Assert(t, store.callCount()-1 <= test.lists, "%d VMs: %d stale lists", test.vms, store.callCount()-1)
			stop()
			time.Sleep(time.Second)
		})
	}
}

// Guards against a history that takes the memory of the VM when large configurations
// with thousands of routes are written often: large changes are not kept.
func TestLargeChangesAreNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		store := newObjectStore()
		store.put("main")
		source, _ := store.startFollower(ctx, false)
		time.Sleep(50 * time.Millisecond)
		source.Apply([]storer.Change{{Object: storer.Object{Name: "main", Revision: 2, Spec: make([]byte, 600<<10)}}})
		_, _, ok := source.ChangesSince(storer.Version{Revision: 1})
		assert.Assert(t, !ok)
		source.Apply([]storer.Change{{Object: storer.Object{Name: "main", Revision: 3, Spec: make([]byte, 1000)}}})
		changes, _, ok := source.ChangesSince(storer.Version{Revision: 2})
		assert.Assert(t, ok && len(changes) == 1)
		stop()
		time.Sleep(time.Second)
	})
}
