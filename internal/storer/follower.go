package storer

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// Follower keeps up with all objects of one kind. The exported fields are set
// before Run.
type Follower struct {
	Store Store
	Kind  string
	Clock clocker.Clock
	Log   *slog.Logger
	// OnList receives all objects, at the start and whenever the changes between
	// were lost.
	OnList func(objects []Object)
	// OnChange receives one change.
	OnChange func(change Change)
	// OnResponse is called after each answer of the store, with the time at which
	// the call was made and whether the store had been lost before.
	OnResponse func(called time.Time, regained bool)
	// ShouldPoll is whether the follower lists at short intervals instead of watching. A
	// store that drops its history may leave a watch waiting for changes that it
	// no longer knows; some VMs poll and tell the others what they miss.
	ShouldPoll func() bool
	// Relayed is whether other VMs pass on all changes, or may soon do so, given the
	// age of the own list: the follower then does not watch, and only reads a cheap
	// list now and then.
	Relayed func(listedAgo time.Duration) bool
	// DeferRetries is whether other VMs try the store too, and will pass on what they
	// learn: calls that failed are then repeated less often.
	DeferRetries func() bool
	// WatchDelay returns the wait before the next watch after changes, so that changes
	// in quick succession take one call.
	WatchDelay func() time.Duration

	// applying is held while OnList or OnChange runs. It comes before the mutex.
	applying sync.Mutex
	mutex    sync.Mutex
	revision uint64 // of the newest change
	// complete is the revision of the store at the last list. Lists do not show
	// deletions, so that it may be above that of the newest change.
	complete uint64
	kicked   bool
	cancel   context.CancelFunc
	kickedAt time.Time
	lost     time.Time // since when calls fail; zero while they do not
	listedAt time.Time // when the last list that succeeded began
	// regainedAt is when the store was last regained, here or for other VMs.
	regainedAt time.Time
	recent     recent
}

const (
	// watchWait is how long the store holds a watch without changes: nearly the
	// longest time that it allows, because each watch is a priced call.
	watchWait = 29 * time.Second
	// pollInterval is the time between two lists of a follower that polls.
	pollInterval = 700 * time.Millisecond
	// cheapInterval is the time between two cheap lists of a follower that others
	// pass changes on to. They only make up for faults of the relay.
	cheapInterval = 10 * time.Second
	// relayCheck is the time between two looks whether others still do so.
	relayCheck = 200 * time.Millisecond
	// kickInterval bounds how often a watch is given up because others know more.
	kickInterval = 300 * time.Millisecond
	// minBackoff and maxBackoff bound the wait after a call that failed.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// deferredBackoff is the wait while other VMs try the store: each call has a price,
	// also one that is refused, and they are many.
	deferredBackoff = 3 * time.Second
)

// Revision returns the revision of the newest change that was received.
func (follower *Follower) Revision() uint64 {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.revision
}

// ObserveRevision tells the follower that another VM has received a change with the
// revision. If it is newer than the own ones, the objects are listed anew.
func (follower *Follower) ObserveRevision(revision uint64) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	now := follower.Clock.Now()
	if revision <= max(follower.revision, follower.complete) || follower.cancel == nil || now.Sub(follower.kickedAt) < kickInterval {
		return
	}
	follower.Log.Info("watch is behind other VMs", "kind", follower.Kind, "revision", follower.revision, "others", revision)
	follower.kicked, follower.kickedAt = true, now
	follower.cancel()
}

// FailingFor returns for how long calls have failed; 0 while they do not.
func (follower *Follower) FailingFor() time.Duration {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if follower.lost.IsZero() {
		return 0
	}
	return follower.Clock.Now().Sub(follower.lost)
}

func (follower *Follower) setLost(since time.Time) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.lost = since
}

func (follower *Follower) setRegained() {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.regainedAt = follower.Clock.Now()
}

// Relist ends the watch, so that a follower that is to poll begins at once.
func (follower *Follower) Relist() {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if follower.cancel != nil {
		follower.kicked = true
		follower.cancel()
	}
}

// ListAge returns how long ago the last list that succeeded began. ok is false
// while the follower has listed nothing.
func (follower *Follower) ListAge() (ago time.Duration, ok bool) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.Clock.Now().Sub(follower.listedAt), !follower.listedAt.IsZero()
}

// begin returns the context of one call, which ObserveRevision or Relist can cancel.
func (follower *Follower) begin(ctx context.Context) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.cancel, follower.kicked = cancel, false
	return ctx
}

// end ends the call and reports whether ObserveRevision or Relist cancelled it.
func (follower *Follower) end() bool {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.cancel()
	return follower.kicked
}

// Run follows the objects until ctx is done.
func (follower *Follower) Run(ctx context.Context) error {
	listed, at := false, uint64(0)
	failures := 0
	for ctx.Err() == nil {
		called := follower.Clock.Now()
		next, err := follower.once(follower.begin(ctx), listed, at)
		kicked := follower.end()
		if ctx.Err() != nil {
			break
		}
		switch {
		case err != nil && kicked:
			listed = false
			continue
		case err == nil:
			listed, at = true, next
			if failures > 0 {
				follower.setRegained()
				follower.Log.Info("store regained", "kind", follower.Kind, "failures", failures, "revision", next)
			}
			if follower.OnResponse != nil {
				follower.OnResponse(called, failures > 0)
			}
			failures = 0
			follower.setLost(time.Time{})
			continue
		case errors.Is(err, errOutdated):
			listed = false
			continue
		case errors.Is(err, ErrHistoryGone):
			follower.Log.Info("store has dropped its history", "kind", follower.Kind, "revision", at)
			listed = false
			continue
		}
		// The store may have dropped changes meanwhile without saying so.
		listed = false
		if failures == 0 {
			follower.setLost(follower.Clock.Now())
			follower.Log.Warn("store lost", "kind", follower.Kind, "revision", at, "error", err.Error())
		}
		failures++
		if err := follower.backOff(ctx, failures); err != nil {
			break
		}
		// What others pass on continues from what is known here.
		listed = follower.relayed()
	}
	return nil
}

// backOff waits before a call that has failed is repeated. The wait ends when others
// pass changes on again.
func (follower *Follower) backOff(ctx context.Context, failures int) error {
	wait := min(minBackoff<<min(failures-1, 8), maxBackoff)
	wait = wait/2 + rand.N(wait)
	if err := clocker.Sleep(ctx, follower.Clock, wait); err != nil {
		return err
	}
	if wait < maxBackoff/2 || follower.DeferRetries == nil {
		return nil // the first calls, which tell an outage from a lost answer
	}
	rest := deferredBackoff/2 + rand.N(deferredBackoff)
	for waited := time.Duration(0); waited < rest && follower.DeferRetries() && !follower.relayed(); waited += relayCheck {
		if err := clocker.Sleep(ctx, follower.Clock, relayCheck); err != nil {
			return err
		}
	}
	return nil
}

func (follower *Follower) once(ctx context.Context, listed bool, at uint64) (uint64, error) {
	if !listed {
		return follower.list(ctx, follower.Store.List)
	}
	if follower.ShouldPoll != nil && follower.ShouldPoll() {
		if err := clocker.Sleep(ctx, follower.Clock, pollInterval); err != nil {
			return 0, err
		}
		return follower.list(ctx, follower.Store.List)
	}
	if follower.relayed() {
		return follower.await(ctx, at)
	}
	changes, next, err := follower.Store.Watch(ctx, follower.Kind, max(at, follower.Revision()), watchWait)
	if err != nil {
		return 0, err
	}
	follower.Apply(changes)
	if len(changes) > 0 && follower.WatchDelay != nil {
		if err := clocker.Sleep(ctx, follower.Clock, follower.WatchDelay()); err != nil {
			return 0, err
		}
	}
	return max(next, at), nil
}

// list reads all objects. A list from before a change that another VM has passed
// on meanwhile is not applied, and read again unless it was a cheap one.
func (follower *Follower) list(ctx context.Context, read func(context.Context, string) ([]Object, uint64, error)) (uint64, error) {
	began := follower.Clock.Now()
	objects, next, err := read(ctx, follower.Kind)
	if err != nil {
		return 0, err
	}
	follower.applying.Lock()
	defer follower.applying.Unlock()
	if !follower.listed(objects, next, began) {
		return 0, errOutdated
	}
	follower.OnList(objects)
	return next, nil
}

// relayed reports whether this follower need not watch.
func (follower *Follower) relayed() bool {
	if follower.Relayed == nil {
		return false
	}
	ago, ok := follower.ListAge()
	return ok && follower.Relayed(ago)
}

// await waits while other VMs pass changes on. After some time it reads a list
// that may be old, and ignores one that is older than what is known.
func (follower *Follower) await(ctx context.Context, at uint64) (uint64, error) {
	for waited := time.Duration(0); waited < cheapInterval; waited += relayCheck {
		if err := clocker.Sleep(ctx, follower.Clock, relayCheck); err != nil {
			return 0, err
		}
		if !follower.relayed() {
			return max(at, follower.Revision()), nil
		}
	}
	next, err := follower.list(ctx, follower.Store.ListStale)
	if errors.Is(err, errOutdated) {
		return max(at, follower.Revision()), nil
	}
	return next, err
}
