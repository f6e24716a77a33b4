package syncer

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/platformer"
	"github.com/cuminstream/cuminstream/internal/timeliner"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

const (
	// watchTimeout is the duration of a watch. It bounds the time until a silently
	// broken connection is noticed.
	watchTimeout = 10 * time.Second

	// minWatchInterval limits a watcher to 10 reads per second and prefix, so that
	// two watchers in each of 8 zones stay below 640 reads/s.
	minWatchInterval = 100 * time.Millisecond

	roleCheckInterval = 250 * time.Millisecond // between checks of IsWatcher

	initialRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = 2 * time.Second

	// relistInterval is the mean time between full lists, which recover a change
	// that the platform's watch skipped.
	relistInterval = 10 * time.Minute
)

// Run watches the platform while IsWatcher returns true, until ctx is done.
func (store *Store) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, prefix := range []string{ConfigPrefix, GroupsPrefix, HomesPrefix, AssignmentsPrefix} {
		group.Go(func() error {
			watcher := &watcher{store: store, prefix: prefix, retryDelay: initialRetryDelay}
			watcher.run(ctx)
			return nil
		})
	}
	return group.Wait()
}

// watcher lists and watches the objects of one prefix.
type watcher struct {
	store      *Store
	prefix     string
	sequence   uint64
	listed     bool
	relistAt   time.Time
	retryDelay time.Duration
}

func (watcher *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := roleCheckInterval
		if watcher.store.IsWatcher == nil || watcher.store.IsWatcher() {
			pause = watcher.runOnce(ctx)
		}
		if clocker.Sleep(ctx, watcher.store.Clock, pause) != nil {
			return
		}
	}
}

// runOnce lists or watches once, and returns the delay before the next call.
func (watcher *watcher) runOnce(ctx context.Context) time.Duration {
	err := watcher.listOrWatch(ctx)
	if ctx.Err() != nil {
		return 0
	}
	watcher.store.recordHealth(watcher.prefix, err)
	if err != nil {
		if errors.Is(err, platformer.ErrSequenceGone) {
			watcher.listed = false
		}
		pause := watcher.retryDelay/2 + rand.N(watcher.retryDelay)
		watcher.retryDelay = min(2*watcher.retryDelay, maxRetryDelay)
		return pause
	}
	watcher.retryDelay = initialRetryDelay
	return minWatchInterval
}

// listOrWatch lists the objects if no list was read yet, the sequence was lost or a
// relist is due, and watches for changes otherwise. For the prefix of the
// configuration, it first reads the bodies that are missing.
func (watcher *watcher) listOrWatch(ctx context.Context) error {
	var missingErr error
	if watcher.prefix == ConfigPrefix {
		missingErr = watcher.store.readMissing(ctx)
	}
	clock := watcher.store.Clock
	if watcher.listed && clock.Now().Before(watcher.relistAt) {
		wait := watchTimeout
		if watcher.retryDelay > initialRetryDelay || missingErr != nil {
			wait = 0 // after an error, find out at once whether the platform is back
		}
		objects, sequence, err := watcher.store.API.Watch(ctx, watcher.prefix, watcher.sequence, wait)
		if err != nil {
			return err
		}
		if sequence < watcher.sequence {
			return platformer.ErrSequenceGone
		}
		watcher.store.mergeAll(objects)
		watcher.sequence = sequence
		return missingErr
	}
	objects, sequence, err := watcher.store.API.List(ctx, watcher.listPrefix())
	if err != nil {
		return err
	}
	watcher.store.mergeAll(objects)
	watcher.sequence, watcher.listed = sequence, true
	watcher.relistAt = clock.Now().Add(relistInterval/2 + rand.N(relistInterval))
	return missingErr
}

// listPrefix returns the prefix to list. It leaves out section bodies: the platform
// keeps every body that was ever written, and the store reads those it needs by name.
func (watcher *watcher) listPrefix() string {
	if watcher.prefix == ConfigPrefix {
		return configurer.IndexName
	}
	return watcher.prefix
}

// readMissing reads the bodies that pending indexes lack. An error for one body does
// not keep the others or a newer index from being read.
func (store *Store) readMissing(ctx context.Context) error {
	store.mutex.RLock()
	names := store.bodies.missing()
	store.mutex.RUnlock()
	var lastErr error
	for _, name := range names {
		object, err := store.API.Get(ctx, name)
		if err != nil {
			lastErr = err
			continue
		}
		store.mergeAll([]platformer.Object{object})
	}
	return lastErr
}

// recordHealth counts failures, and records an event when the platform becomes
// unavailable or available again.
func (store *Store) recordHealth(prefix string, err error) {
	if err != nil {
		WatchFailuresTotal.WithLabelValues(prefix).Inc()
	}
	store.mutex.Lock()
	before := len(store.failingPrefixes)
	if err == nil {
		delete(store.failingPrefixes, prefix)
	} else if !errors.Is(err, platformer.ErrSequenceGone) && !errors.Is(err, platformer.ErrNotFound) {
		store.failingPrefixes[prefix] = true
	}
	after := len(store.failingPrefixes)
	store.mutex.Unlock()
	switch {
	case before == 0 && after > 0:
		store.Recorder.Record(timeliner.Event{Kind: "platformLost", Detail: err.Error()})
	case before > 0 && after == 0:
		store.Recorder.Record(timeliner.Event{Kind: "platformBack"})
	}
}
