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

// objects is a store of one kind with deletions. While slow, lists return what was
// there when they were asked for, 100 ms later.
type objects struct {
	storer.Store
	mutex    sync.Mutex
	revision uint64
	present  map[string]uint64
	changes  []storer.Change
	slow     bool
	calls    int
}

func newObjects() *objects { return &objects{present: map[string]uint64{}} }

func (objects *objects) put(name string) {
	objects.mutex.Lock()
	defer objects.mutex.Unlock()
	objects.revision++
	objects.present[name] = objects.revision
	objects.changes = append(objects.changes, storer.Change{Object: storer.Object{Name: name, Revision: objects.revision}})
}

func (objects *objects) remove(name string) {
	objects.mutex.Lock()
	defer objects.mutex.Unlock()
	if _, ok := objects.present[name]; !ok {
		return
	}
	objects.revision++
	delete(objects.present, name)
	objects.changes = append(objects.changes, storer.Change{Object: storer.Object{Name: name, Revision: objects.revision}, Deleted: true})
}

func (objects *objects) List(context.Context, string) ([]storer.Object, uint64, error) {
	objects.mutex.Lock()
	objects.calls++
	var list []storer.Object
	for name, revision := range objects.present {
		list = append(list, storer.Object{Name: name, Revision: revision})
	}
	at, slow := objects.revision, objects.slow
	objects.mutex.Unlock()
	if slow {
		time.Sleep(100 * time.Millisecond)
	}
	return list, at, nil
}

func (objects *objects) count() int {
	objects.mutex.Lock()
	defer objects.mutex.Unlock()
	return objects.calls
}

func (objects *objects) ListStale(ctx context.Context, kind string) ([]storer.Object, uint64, error) {
	return objects.List(ctx, kind)
}

func (objects *objects) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) ([]storer.Change, uint64, error) {
	objects.mutex.Lock()
	objects.calls++
	objects.mutex.Unlock()
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ctx.Err() != nil {
			return nil, 0, ctx.Err()
		}
		objects.mutex.Lock()
		var changes []storer.Change
		for _, change := range objects.changes {
			if change.Object.Revision > after {
				changes = append(changes, change)
			}
		}
		at := objects.revision
		objects.mutex.Unlock()
		if len(changes) > 0 {
			return changes, at, nil
		}
	}
	return nil, after, nil
}

// view is what a follower's owner holds.
type view struct {
	mutex sync.Mutex
	names map[string]uint64
}

func (view *view) get() map[string]uint64 {
	view.mutex.Lock()
	defer view.mutex.Unlock()
	return maps.Clone(view.names)
}

// view starts a follower, of which relayed tells whether it watches the store.
func (objects *objects) view(ctx context.Context, relayed bool) (*storer.Follower, *view) {
	view := &view{}
	follower := &storer.Follower{
		Store: objects, Kind: "kind", Clock: clocker.System{}, Log: slog.New(slog.DiscardHandler),
		Relayed: func(time.Duration) bool { return relayed },
		OnList: func(list []storer.Object) {
			view.mutex.Lock()
			defer view.mutex.Unlock()
			view.names = map[string]uint64{}
			for _, object := range list {
				view.names[object.Name] = object.Revision
			}
		},
		OnChange: func(change storer.Change) {
			view.mutex.Lock()
			defer view.mutex.Unlock()
			if change.Deleted {
				delete(view.names, change.Object.Name)
			} else {
				view.names[change.Object.Name] = change.Object.Revision
			}
		},
	}
	go func() { _ = follower.Run(ctx) }()
	return follower, view
}

// pass passes on what the second follower misses, as an answer to a report does.
func pass(from, to *storer.Follower) {
	if changes, ok := from.ChangesSince(to.CompleteRevision()); ok {
		to.Apply(changes)
	}
	to.ObserveRevision(from.Revision())
}

// Whatever changes, and from whichever of two others it hears, a VM that does not
// watch the store holds the same objects after the next reports.
func TestRelayedViewsAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 60).Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			defer func() {
				stop()
				time.Sleep(time.Second) // calls that are under way
			}()
			objects := newObjects()
			objects.put("first")
			one, _ := objects.view(ctx, false)
			two, _ := objects.view(ctx, false)
			last, seen := objects.view(ctx, true)
			time.Sleep(50 * time.Millisecond)
			names := []string{"a", "b", "c"}
			for i, step := range steps {
				switch {
				case step < 4:
					objects.put(names[step%3])
				case step < 7:
					objects.remove(names[step%3])
				case step == 7:
					pass(one, last)
				case step == 8:
					pass(two, last)
				default:
					time.Sleep(time.Duration(i%3) * 10 * time.Millisecond)
				}
			}
			time.Sleep(500 * time.Millisecond)
			pass(two, last)
			pass(one, last)
			time.Sleep(400 * time.Millisecond)
			objects.mutex.Lock()
			present := maps.Clone(objects.present)
			objects.mutex.Unlock()
			assert.DeepEqual(t, seen.get(), present)
		})
	})
}

// A list that was read before a change must not undo it when the change is passed
// on while the list is on its way.
func TestOldListDoesNotUndoARelayedChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		objects := newObjects()
		objects.put("main")
		source, _ := objects.view(ctx, false)
		last, seen := objects.view(ctx, true)
		time.Sleep(50 * time.Millisecond)
		objects.mutex.Lock()
		objects.slow = true
		objects.mutex.Unlock()
		last.Relist() // lists
		time.Sleep(50 * time.Millisecond)
		objects.put("main")
		time.Sleep(20 * time.Millisecond)
		pass(source, last)
		assert.Equal(t, seen.get()["main"], uint64(2))
		for range 40 {
			time.Sleep(10 * time.Millisecond)
			assert.Equal(t, seen.get()["main"], uint64(2))
		}
		stop()
		time.Sleep(time.Second)
	})
}

// Changes that a source has not seen one by one are not passed on.
func TestGapsAreNotPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		objects := newObjects()
		objects.put("main")
		objects.put("other")
		objects.remove("other")
		source, _ := objects.view(ctx, false)
		time.Sleep(50 * time.Millisecond)
		objects.put("main")
		time.Sleep(50 * time.Millisecond)
		_, ok := source.ChangesSince(2)
		assert.Assert(t, !ok, "the deletion at revision 3 was not seen")
		changes, ok := source.ChangesSince(3)
		assert.Assert(t, ok)
		assert.Equal(t, len(changes), 1)
		for range 300 {
			objects.put("main")
		}
		time.Sleep(50 * time.Millisecond)
		_, ok = source.ChangesSince(4)
		assert.Assert(t, !ok, "more changes than are kept")
		stop()
		time.Sleep(time.Second)
	})
}

// Without watches, VMs make hardly any calls.
func TestRelayedFollowersDoNotWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		objects := newObjects()
		objects.put("main")
		source, _ := objects.view(ctx, false)
		time.Sleep(50 * time.Millisecond)
		before := objects.count()
		last, seen := objects.view(ctx, true)
		for range 20 {
			objects.put("main")
			time.Sleep(time.Second)
			pass(source, last)
		}
		assert.Equal(t, seen.get()["main"], uint64(21))
		// One list at the start and two cheap ones, beside the watches of the source.
		assert.Assert(t, objects.count()-before-20 <= 3, "%d calls", objects.count()-before-20)
		stop()
		time.Sleep(time.Second)
	})
}

// Large changes are not kept: a storm of configurations with thousands of routes would
// take the memory of the VM.
func TestLargeChangesAreNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		objects := newObjects()
		objects.put("main")
		source, _ := objects.view(ctx, false)
		time.Sleep(50 * time.Millisecond)
		source.Apply([]storer.Change{{Object: storer.Object{Name: "main", Revision: 2, Spec: make([]byte, 200<<10)}}})
		_, ok := source.ChangesSince(1)
		assert.Assert(t, !ok)
		source.Apply([]storer.Change{{Object: storer.Object{Name: "main", Revision: 3, Spec: make([]byte, 1000)}}})
		changes, ok := source.ChangesSince(2)
		assert.Assert(t, ok && len(changes) == 1)
		stop()
		time.Sleep(time.Second)
	})
}
