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
	// watchTimeout bounds the time for which a silently broken connection goes
	// unnoticed.
	watchTimeout = 10 * time.Second

	// batchPause limits the reads of a watcher to 10 a second for each prefix,
	// so that two watchers in each of 8 zones stay below 640 reads/s.
	batchPause = 100 * time.Millisecond

	rolePause = 250 * time.Millisecond // between two looks at Watches

	firstRetry = 100 * time.Millisecond
	maxRetry   = 2 * time.Second

	// relistInterval bounds the damage of a platform that skips a change.
	relistInterval = 10 * time.Minute
)

// Run watches the platform while Watches says so, until ctx is done.
func (store *Store) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, prefix := range []string{ConfigPrefix, GroupsPrefix, HomesPrefix, AssignmentsPrefix} {
		group.Go(func() error {
			watcher := &watcher{store: store, prefix: prefix, retry: firstRetry}
			watcher.run(ctx)
			return nil
		})
	}
	return group.Wait()
}

// watcher follows the objects of one prefix.
type watcher struct {
	store    *Store
	prefix   string
	sequence uint64
	listed   bool
	relistAt time.Time
	retry    time.Duration
}

func (watcher *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := rolePause
		if watcher.store.IsWatcher == nil || watcher.store.IsWatcher() {
			pause = watcher.round(ctx)
		}
		if clocker.Sleep(ctx, watcher.store.Clock, pause) != nil {
			return
		}
	}
}

// round lists or watches once, and returns the pause before the next round.
func (watcher *watcher) round(ctx context.Context) time.Duration {
	err := watcher.step(ctx)
	if ctx.Err() != nil {
		return 0
	}
	watcher.store.noteHealth(watcher.prefix, err)
	if err != nil {
		if errors.Is(err, platformer.ErrSequenceGone) {
			watcher.listed = false
		}
		pause := watcher.retry/2 + rand.N(watcher.retry)
		watcher.retry = min(2*watcher.retry, maxRetry)
		return pause
	}
	watcher.retry = firstRetry
	return batchPause
}

func (watcher *watcher) step(ctx context.Context) error {
	var missing error
	if watcher.prefix == ConfigPrefix {
		missing = watcher.store.readMissing(ctx)
	}
	clock := watcher.store.Clock
	if watcher.listed && clock.Now().Before(watcher.relistAt) {
		wait := watchTimeout
		if watcher.retry > firstRetry || missing != nil {
			wait = 0 // shows at once whether the platform is back
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
		return missing
	}
	objects, sequence, err := watcher.store.API.List(ctx, watcher.listPrefix())
	if err != nil {
		return err
	}
	watcher.store.mergeAll(objects)
	watcher.sequence, watcher.listed = sequence, true
	watcher.relistAt = clock.Now().Add(relistInterval/2 + rand.N(relistInterval))
	return missing
}

// listPrefix leaves out section bodies: the platform keeps all that ever were,
// and the store reads the few that it needs by name.
func (watcher *watcher) listPrefix() string {
	if watcher.prefix == ConfigPrefix {
		return configurer.IndexName
	}
	return watcher.prefix
}

// readMissing reads the bodies that pending indexes lack. A body that cannot be
// read does not keep the others or a newer index from being read.
func (store *Store) readMissing(ctx context.Context) error {
	store.mutex.RLock()
	names := store.bodies.missing()
	store.mutex.RUnlock()
	var failure error
	for _, name := range names {
		object, err := store.API.Get(ctx, name)
		if err != nil {
			failure = err
			continue
		}
		store.mergeAll([]platformer.Object{object})
	}
	return failure
}

// noteHealth counts failures, and records when the platform's state changes.
func (store *Store) noteHealth(prefix string, err error) {
	if err != nil {
		WatchFailuresTotal.WithLabelValues(prefix).Inc()
	}
	store.mutex.Lock()
	before := len(store.failing)
	if err == nil {
		delete(store.failing, prefix)
	} else if !errors.Is(err, platformer.ErrSequenceGone) && !errors.Is(err, platformer.ErrNotFound) {
		store.failing[prefix] = true
	}
	after := len(store.failing)
	store.mutex.Unlock()
	switch {
	case before == 0 && after > 0:
		store.Recorder.Record(timeliner.Event{Kind: "platformLost", Detail: err.Error()})
	case before > 0 && after == 0:
		store.Recorder.Record(timeliner.Event{Kind: "platformBack"})
	}
}
