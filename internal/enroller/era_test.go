package enroller_test

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/enroller"
	"github.com/cuminstream/cuminstream/internal/storer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// eraStore is a store that can be restored from an old copy.
type eraStore struct {
	storer.Store
	mutex    sync.Mutex
	era      uint64
	revision uint64
	objects  map[string]storer.Object
}

func (store *eraStore) Get(_ context.Context, kind, name string) (storer.Object, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	object, ok := store.objects[kind+"/"+name]
	object.Era = store.era
	if !ok {
		return object, storer.ErrNotFound
	}
	return object, nil
}

func (store *eraStore) Create(ctx context.Context, kind, name string, spec any) (storer.Object, error) {
	if object, err := store.Get(ctx, kind, name); err == nil {
		return object, storer.ErrConflict
	}
	return store.write(kind, name, spec)
}

func (store *eraStore) Replace(ctx context.Context, kind, name string, version storer.Version, spec any) (storer.Object, error) {
	if object, err := store.Get(ctx, kind, name); err != nil || object.Version() != version {
		return object, storer.ErrConflict
	}
	return store.write(kind, name, spec)
}

func (store *eraStore) write(kind, name string, spec any) (storer.Object, error) {
	data, err := json.Marshal(spec)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.revision++
	object := storer.Object{Kind: kind, Name: name, Era: store.era, Revision: store.revision, Spec: data}
	store.objects[kind+"/"+name] = object
	return object, err
}

// restore restores the store from a copy that is older than all objects.
func (store *eraStore) restore() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.objects, store.revision = map[string]storer.Object{}, 0
	store.era++
}

func (store *eraStore) enroller(name string) *enroller.Enroller {
	return &enroller.Enroller{Name: name, Self: enroller.VM{Boot: name}, Store: store, Clock: clocker.System{}, Log: slog.New(slog.DiscardHandler)}
}

// Guards against a second link key beside the one that running VMs use, which would split
// them from VMs that start after a restore, and against VMs that are no longer registered.
func TestRestoredStoreGetsKeyAndEntriesAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &eraStore{era: 1, objects: map[string]storer.Object{}}
		old := store.enroller("old")
		old.FirstStart = true
		key, err := old.LinkKey(t.Context())
		assert.NilError(t, err)
		assert.NilError(t, old.Register(t.Context()))
		ctx, stop := context.WithCancel(t.Context())
		go func() { _ = old.Run(ctx) }()

		store.restore()
		time.AfterFunc(time.Second, func() { old.ObserveEra(2) })
		newKey, err := store.enroller("new").LinkKey(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(newKey, key))
		time.Sleep(time.Second)
		_, err = store.Get(t.Context(), enroller.KindVMs, "old")
		assert.NilError(t, err)

		// A VM that has waited in vain has created another key.
		store.restore()
		otherKey, err := store.enroller("impatient").LinkKey(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, !bytes.Equal(otherKey, key))
		old.ObserveEra(3)
		time.Sleep(time.Second)
		newKey, err = store.enroller("newer").LinkKey(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(newKey, key))
		stop()
		synctest.Wait()
	})
}

// Guards against a majority of the few VMs whose entries an old copy has.
func TestMissingEntriesAreKeptAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &eraStore{}
		created := store.enroller("a")
		ctx, stop := context.WithCancel(t.Context())
		go func() { _ = created.Run(ctx) }()
		follower := created.NewFollower()
		list := func(names ...string) {
			var objects []storer.Object
			for _, name := range names {
				objects = append(objects, storer.Object{Name: name, Spec: []byte(`{}`)})
			}
			follower.OnList(objects)
		}
		list("a", "b", "c")
		list("a", "b")
		assert.DeepEqual(t, created.VMs(), []string{"a", "b"})
		list("a", "b", "c")
		follower.ObserveEra(1)
		list("a")
		assert.DeepEqual(t, created.VMs(), []string{"a", "b", "c"})
		list("a", "b")
		time.Sleep(19 * time.Second)
		assert.DeepEqual(t, created.VMs(), []string{"a", "b", "c"})
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, created.VMs(), []string{"a", "b"})
		stop()
		synctest.Wait()
	})
}
