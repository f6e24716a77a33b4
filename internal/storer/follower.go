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

// Follower keeps its owner up to date with all objects of one kind. It gets changes
// by a watch, by polling, or from other VMs. The exported fields must be set before
// Run.
type Follower struct {
	Store Store
	Kind  string
	Clock clocker.Clock
	Log   *slog.Logger
	// OnList receives all objects after each list: at the start, when polling, and
	// whenever changes may have been missed.
	OnList func(objects []Object)
	// OnChanges receives the changes between two lists, all those that have arrived
	// together in one call.
	OnChanges func(changes []Change)
	// OnResponse is called after each successful step, with the time at which the step
	// began and whether it ended an outage. RecordRecovery calls it as well.
	OnResponse func(called time.Time, recovered bool)
	// MinOutage is the shortest time without a response of the store that counts as an
	// outage, in which entries of others may have lapsed.
	MinOutage time.Duration
	// ShouldPoll reports whether to list at short intervals instead of watching. If the
	// store drops its change history, a watch may wait for changes that the store no
	// longer has. Some VMs therefore poll and tell the others what they have missed.
	ShouldPoll func() bool
	// Relayed reports whether other VMs relay all changes, or may soon do so, given the
	// age of this follower's list. The follower then does not watch, and only reads a
	// stale list from time to time.
	Relayed func(listAge time.Duration) bool
	// RelyingVMs returns how many VMs rely on relayed changes; nil for few. The more
	// there are, the more rarely each reads a stale list.
	RelyingVMs func() int
	// DeferRetries reports whether other VMs retry the store as well and will relay
	// what they read. Failed calls are then repeated less often.
	DeferRetries func() bool
	// WatchDelay returns the time to wait between changes and the next watch, so that
	// one call returns all changes in quick succession.
	WatchDelay func() time.Duration

	// callbackMutex is held while OnList or OnChanges runs. It is locked before mutex.
	callbackMutex sync.Mutex
	mutex         sync.Mutex
	revision      Version // of the newest change
	// listRevision is the version of the store at the last list. It may be above
	// revision, because a list does not show deletions.
	listRevision  Version
	advancedTo    Version // see Advance; no reason to ignore a list
	era           uint64  // the latest one of the store that is known, see ObserveEra
	interrupted   bool    // the current call was cancelled in order to list
	cancelCall    context.CancelFunc
	interruptedAt time.Time // when ObserveRevision last interrupted a call
	failingSince  time.Time // when calls began to fail; zero while they succeed
	listedAt      time.Time // when the last successful list began
	// maybeLostSince is since when the store may have been away if the current call fails.
	// Only Run uses it.
	maybeLostSince time.Time
	// recoveredAt is when an outage of the store last ended, as seen by this VM or by
	// the VM that relays changes.
	recoveredAt time.Time
	history     changeHistory
}

const (
	// watchTimeout is how long the store holds a watch without changes. It is close to
	// the longest time that the store allows, because each watch is a billed call.
	watchTimeout = 29 * time.Second
	// pollInterval is the time between the lists of a follower that polls.
	pollInterval = 700 * time.Millisecond
	// staleListInterval is the time between the stale lists of a follower that gets its
	// changes from other VMs, for up to staleListVMs of them; it grows with their number,
	// so that the store's load does not. Stale lists only make up for faults of the relay.
	staleListInterval = 10 * time.Second
	staleListVMs      = 32
	// relayCheckInterval is how often the follower checks whether other VMs relay
	// changes.
	relayCheckInterval = 200 * time.Millisecond
	// interruptInterval is the least time between two calls that are cancelled because
	// other VMs have newer changes.
	interruptInterval = 300 * time.Millisecond
	// minBackoff and maxBackoff bound the wait after a failed call, before jitter.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// deferredBackoff is the wait, before jitter, while other VMs retry the store. Each
	// call is billed, including refused ones, and there are many VMs.
	deferredBackoff = 3 * time.Second
)

// Revision returns the version of the newest change that was received.
func (follower *Follower) Revision() Version {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.revision
}

// ObserveRevision tells the follower that another VM has received a change with the
// given version. If this follower has missed it, all objects are listed again.
func (follower *Follower) ObserveRevision(version Version) {
	follower.ObserveEra(version.Era)
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	now := follower.Clock.Now()
	if !version.After(latest(follower.revision, follower.listRevision, follower.advancedTo)) || follower.cancelCall == nil || now.Sub(follower.interruptedAt) < interruptInterval {
		return
	}
	follower.Log.Info("watch is behind other VMs, listing all objects", "kind", follower.Kind, "revision", follower.revision, "others", version)
	follower.interrupted, follower.interruptedAt = true, now
	follower.cancelCall()
}

// FailingFor returns for how long calls have been failing; 0 while they succeed.
func (follower *Follower) FailingFor() time.Duration {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if follower.failingSince.IsZero() {
		return 0
	}
	return follower.Clock.Now().Sub(follower.failingSince)
}

func (follower *Follower) setFailingSince(since time.Time) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.failingSince = since
}

func (follower *Follower) markRecovered() {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.recoveredAt = follower.Clock.Now()
}

// Relist cancels the current call and lists all objects. A follower that must start to
// poll does so at once.
func (follower *Follower) Relist() {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if follower.cancelCall != nil {
		follower.interrupted = true
		follower.cancelCall()
	}
}

// ListAge returns how long ago the last successful list began. ok is false before
// the first one.
func (follower *Follower) ListAge() (age time.Duration, ok bool) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.Clock.Now().Sub(follower.listedAt), !follower.listedAt.IsZero()
}

// beginCall returns the context of one call, which ObserveRevision or Relist can cancel.
func (follower *Follower) beginCall(ctx context.Context) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.cancelCall, follower.interrupted = cancel, false
	return ctx
}

// endCall ends a call and reports whether ObserveRevision or Relist cancelled it.
func (follower *Follower) endCall() bool {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.cancelCall()
	return follower.interrupted
}

// Run follows the objects until ctx is done. Its error is always nil.
func (follower *Follower) Run(ctx context.Context) error {
	listed, revision := false, Version{}
	failures, lostSince := 0, time.Time{}
	for ctx.Err() == nil {
		called := follower.Clock.Now()
		next, err := follower.step(follower.beginCall(ctx), listed, revision)
		interrupted := follower.endCall()
		if ctx.Err() != nil {
			break
		}
		switch {
		case err != nil && interrupted:
			listed = false
			continue
		case err == nil:
			listed, revision = true, next
			recovered := false
			if failures > 0 {
				lostFor := follower.Clock.Now().Sub(lostSince)
				recovered = lostFor >= follower.MinOutage
				follower.Log.Info("store regained", "kind", follower.Kind, "failures", failures, "revision", next, "lostForMs", lostFor.Milliseconds(), "outage", recovered)
			}
			if recovered {
				follower.markRecovered()
			}
			if follower.OnResponse != nil {
				follower.OnResponse(called, recovered)
			}
			failures = 0
			follower.setFailingSince(time.Time{})
			continue
		case errors.Is(err, errStaleList):
			listed = false
			continue
		case errors.Is(err, ErrEraChanged):
			// Not a failure. Its list follows at once, and logs the new era.
			listed = false
			continue
		case errors.Is(err, ErrHistoryGone):
			follower.Log.Info("store no longer has the change history, listing all objects", "kind", follower.Kind, "revision", revision)
			listed = false
			continue
		}
		// During an outage the store may drop changes without reporting it.
		listed = false
		if failures == 0 {
			lostSince = follower.maybeLostSince
			follower.setFailingSince(follower.Clock.Now())
			follower.Log.Warn("store lost", "kind", follower.Kind, "revision", revision, "error", err.Error())
		}
		failures++
		if err := follower.backOff(ctx, failures); err != nil {
			break
		}
		// Relayed changes continue from the revision that this follower has, so no
		// list is needed.
		listed = follower.isRelayed()
	}
	return nil
}

// backOff waits before a failed call is repeated. The wait ends early when other VMs
// relay changes again.
func (follower *Follower) backOff(ctx context.Context, failures int) error {
	wait := min(minBackoff<<min(failures-1, 8), maxBackoff)
	wait = wait/2 + rand.N(wait)
	if err := clocker.Sleep(ctx, follower.Clock, wait); err != nil {
		return err
	}
	if wait < maxBackoff/2 || follower.DeferRetries == nil {
		return nil // the first retries tell an outage from a lost response
	}
	remaining := deferredBackoff/2 + rand.N(deferredBackoff)
	for waited := time.Duration(0); waited < remaining && follower.DeferRetries() && !follower.isRelayed(); waited += relayCheckInterval {
		if err := clocker.Sleep(ctx, follower.Clock, relayCheckInterval); err != nil {
			return err
		}
	}
	return nil
}

// step makes the next call, or waits for relayed changes, and returns the revision to
// continue from.
func (follower *Follower) step(ctx context.Context, listed bool, revision Version) (Version, error) {
	if !listed || follower.isBehindEra() {
		return follower.list(ctx, follower.Store.List)
	}
	if follower.ShouldPoll != nil && follower.ShouldPoll() {
		age, _ := follower.ListAge()
		if err := clocker.Sleep(ctx, follower.Clock, max(pollInterval-age, 0)); err != nil {
			return Version{}, err
		}
		return follower.list(ctx, follower.Store.List)
	}
	if follower.isRelayed() {
		return follower.awaitRelay(ctx, revision)
	}
	changes, next, err := follower.Store.Watch(ctx, follower.Kind, latest(revision, follower.CompleteRevision()), watchTimeout)
	if err != nil {
		// The store may end a watch early. How long it waited says nothing about an outage.
		follower.maybeLostSince = follower.Clock.Now()
		return Version{}, err
	}
	if next.Era != follower.CompleteRevision().Era {
		return Version{}, ErrEraChanged
	}
	follower.Apply(changes)
	if len(changes) > 0 && follower.WatchDelay != nil {
		if err := clocker.Sleep(ctx, follower.Clock, follower.WatchDelay()); err != nil {
			return Version{}, err
		}
	}
	return latest(next, revision), nil
}

// list reads all objects and reports them to OnList. If another VM has relayed a newer
// change in the meantime, the list is discarded and the error is errStaleList.
func (follower *Follower) list(ctx context.Context, read func(context.Context, string) ([]Object, Version, error)) (Version, error) {
	began := follower.Clock.Now()
	follower.maybeLostSince = began
	objects, next, err := read(ctx, follower.Kind)
	if err != nil {
		return Version{}, err
	}
	follower.callbackMutex.Lock()
	defer follower.callbackMutex.Unlock()
	restored, err := follower.recordList(objects, next, began)
	if err != nil {
		return Version{}, err
	}
	if restored && follower.OnResponse != nil {
		// Entries that the copy lacks are written again.
		follower.OnResponse(began, true)
	}
	follower.OnList(objects)
	return next, nil
}

// isRelayed reports whether this follower has a list and other VMs relay all changes
// since.
func (follower *Follower) isRelayed() bool {
	if follower.Relayed == nil {
		return false
	}
	ago, ok := follower.ListAge()
	return ok && follower.Relayed(ago)
}

// awaitRelay waits while other VMs relay changes. After an interval it reads a stale
// list, which is ignored if it is older than the changes received.
func (follower *Follower) awaitRelay(ctx context.Context, revision Version) (Version, error) {
	interval := staleListInterval
	if follower.RelyingVMs != nil {
		interval = max(interval, interval*time.Duration(follower.RelyingVMs())/staleListVMs)
	}
	for waited := time.Duration(0); waited < interval; waited += relayCheckInterval {
		if err := clocker.Sleep(ctx, follower.Clock, relayCheckInterval); err != nil {
			return Version{}, err
		}
		if !follower.isRelayed() {
			return latest(revision, follower.Revision()), nil
		}
	}
	next, err := follower.list(ctx, follower.Store.ListStale)
	if errors.Is(err, errStaleList) || errors.Is(err, errEarlierEra) {
		return latest(revision, follower.Revision()), nil
	}
	return next, err
}
