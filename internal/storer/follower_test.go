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

// store is a store of one kind. While silent, watches hear nothing; while down,
// all calls fail.
type store struct {
	storer.Store
	mutex    sync.Mutex
	revision uint64
	silent   bool
	stale    uint64 // how much older stale lists are
	down     bool
	calls    int
	changed  chan struct{}
}

var errDown = errors.New("the store is down")

func (store *store) List(context.Context, string) ([]storer.Object, uint64, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.calls++
	if store.down {
		return nil, 0, errDown
	}
	return []storer.Object{{Name: "main", Revision: store.revision}}, store.revision, nil
}

func (store *store) ListStale(context.Context, string) ([]storer.Object, uint64, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	at := store.revision - store.stale
	return []storer.Object{{Name: "main", Revision: at}}, at, nil
}

func (store *store) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) ([]storer.Change, uint64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	store.set(func() { store.calls++ })
	for {
		store.mutex.Lock()
		down, news, revision := store.down, !store.silent && store.revision > after, store.revision
		store.mutex.Unlock()
		switch {
		case down:
			return nil, 0, errDown
		case news:
			return []storer.Change{{Object: storer.Object{Name: "main", Revision: revision}}}, revision, nil
		}
		select {
		case <-store.changed:
		case <-timer.C:
			return nil, after, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// set changes the store and wakes its watch.
func (store *store) set(change func()) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	change()
}

func (store *store) change() {
	store.set(func() { store.revision++ })
	select {
	case store.changed <- struct{}{}:
	default:
	}
}

func follow(t *testing.T, store *store, poll bool) (*storer.Follower, func() uint64) {
	var seen atomic.Uint64
	store.revision, store.changed = 1, make(chan struct{}, 1)
	follower := &storer.Follower{
		Store: store, Kind: "config", Clock: clocker.System{}, Log: slog.New(slog.DiscardHandler),
		OnList:     func(objects []storer.Object) { seen.Store(objects[0].Revision) },
		OnChange:   func(change storer.Change) { seen.Store(change.Object.Revision) },
		ShouldPoll: func() bool { return poll },
	}
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
		store := &store{}
		_, seen := follow(t, store, false)
		store.change()
		synctest.Wait()
		assert.Equal(t, seen(), uint64(2))
	})
}

// After an outage everything is listed anew, because changes may have been
// dropped without a word.
func TestListAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &store{}
		follower, seen := follow(t, store, false)
		store.set(func() { store.down = true })
		time.Sleep(30 * time.Second) // the watch ends
		assert.Assert(t, follower.FailingFor() > 0)
		store.set(func() { store.revision, store.down = 7, false })
		time.Sleep(time.Second)
		assert.Equal(t, seen(), uint64(7))
		assert.Equal(t, follower.FailingFor(), time.Duration(0))
	})
}

// A watch that hears nothing is given up when another VM has seen more. Seen as
// CONFIG on scale-1 of both sites, where a configuration stayed unseen for 5 s.
func TestSilentWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &store{}
		follower, seen := follow(t, store, false)
		store.set(func() { store.silent = true })
		store.change()
		time.Sleep(time.Second)
		assert.Equal(t, seen(), uint64(1))
		follower.ObserveRevision(1)
		synctest.Wait()
		assert.Equal(t, seen(), uint64(1), "nothing newer is known")
		follower.ObserveRevision(2)
		synctest.Wait()
		assert.Equal(t, seen(), uint64(2))
	})
}

// A VM that polls needs no watch to hear of changes.
func TestPolling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &store{silent: true}
		_, seen := follow(t, store, true)
		store.change()
		time.Sleep(800 * time.Millisecond)
		assert.Equal(t, seen(), uint64(2))
	})
}

// A follower that others pass changes on to makes cheap lists now and then, which
// make up for faults of the relay, and never goes back to older data than it has.
func TestCheapLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &store{}
		follower, seen := follow(t, store, false)
		follower.Relayed = func(time.Duration) bool { return true }
		follower.Relist()
		synctest.Wait()
		store.change()
		time.Sleep(11 * time.Second)
		assert.Equal(t, seen(), uint64(2))
		store.set(func() { store.stale = 1 })
		time.Sleep(30 * time.Second)
		assert.Equal(t, seen(), uint64(2))
	})
}

// Calls cost money: without changes a follower makes three calls a minute.
func TestCallsWithoutChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &store{}
		follow(t, store, false)
		time.Sleep(time.Minute)
		store.set(func() { assert.Assert(t, store.calls <= 5, "%d calls", store.calls) })
	})
}

// deletions is a store whose newest change is a deletion, which lists do not show.
type deletions struct {
	storer.Store
	calls atomic.Int32
}

func (store *deletions) List(context.Context, string) ([]storer.Object, uint64, error) {
	store.calls.Add(1)
	return []storer.Object{{Name: "main", Revision: 378}}, 400, nil
}

func (store *deletions) Watch(ctx context.Context, _ string, _ uint64, wait time.Duration) ([]storer.Change, uint64, error) {
	store.calls.Add(1)
	select {
	case <-time.After(wait):
		return nil, 400, nil
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// On lochside-gw-grown, an upstream that had gone made each VM list all upstreams
// anew with every report: others had received the deletion, which no list shows.
func TestDeletionBeforeTheListIsNotMissed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &deletions{}
		follower := &storer.Follower{
			Store: store, Kind: "servers", Clock: clocker.System{}, Log: slog.New(slog.DiscardHandler),
			OnList: func([]storer.Object) {}, OnChange: func(storer.Change) {},
		}
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go func() { _ = follower.Run(ctx) }()
		time.Sleep(time.Second)
		for range 10 {
			follower.ObserveRevision(388)
			time.Sleep(400 * time.Millisecond)
		}
		assert.Equal(t, store.calls.Load(), int32(2), "calls of the store")
		follower.ObserveRevision(401)
		time.Sleep(400 * time.Millisecond)
		assert.Equal(t, store.calls.Load(), int32(4), "a change after the list is missed")
		stop()
		synctest.Wait()
	})
}
