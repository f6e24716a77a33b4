package keeper

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cuminstream/cuminstream/internal/storer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// The store can be restored from an old copy, see docs/design/store-era.md. What others
// have written since the copy is then lost, such as a later broker and its grants. A
// ledger is settled in the era that it names: all grants that may be in force are in it.
// In a later era, the broker only renews grants that it holds until it has settled the
// ledger again.

// EraStatus is what a broker's process knows of the era of the store.
type EraStatus struct {
	// Era is the latest one that the process knows.
	Era uint64
	// ClaimedAt is when the process wrote its claim in this era; zero before.
	ClaimedAt time.Time
	// FollowedAt is when the last of all other VMs had confirmed in this era that it follows
	// this broker, so that its process grants no keys; zero before.
	FollowedAt time.Time
	// Undisputed is set if no other process can have become the broker since this one, as
	// all other VMs have confirmed in this era.
	Undisputed bool
	// LastFence and Writes are the highest ones of any ledger that a VM has reported.
	LastFence uint64
	Writes    uint64
}

// fenceReserve is above the number of fencing tokens, and of writes, by which ledgers that
// were lost in one restore can exceed the restored one. Each write takes some
// milliseconds and raises both by one.
const fenceReserve = 1 << 20

// errLedgerAhead means that the stored ledger has a higher fencing token than the one
// that was to replace it. The next attempt starts above it.
var errLedgerAhead = errors.New("the stored ledger has a higher fencing token or write")

// stopMargin is the time in which a process that follows another broker has ended its own
// grant calls.
const stopMargin = 200 * time.Millisecond

// settleRetryInterval is the time between attempts to settle the ledger.
const settleRetryInterval = 200 * time.Millisecond

// GrantLifetime is the longest time from the send of a grant to its expiry.
func GrantLifetime() time.Duration { return maxGrantLifetime(grantTTL) }

// SettledEra returns the era of the store in which the ledger is settled. ok is false
// before the ledger was taken over.
func (keeper *Keeper) SettledEra() (era uint64, ok bool) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	if keeper.ledger == nil {
		return 0, false
	}
	return keeper.ledger.Era, !keeper.unsettled()
}

// unsettled reports whether lost records may have allowed grants that are not in the
// ledger. The mutex is held.
func (keeper *Keeper) unsettled() bool { return keeper.ledger.Era < keeper.era }

// observeEra records that the store has reached the era.
func (keeper *Keeper) observeEra(era uint64, now time.Time) {
	if era <= keeper.era {
		return
	}
	keeper.era = era
	keeper.Log.Warn("store was restored from an old copy, grants are only renewed until the ledger is written again", "service", keeper.Service,
		"term", keeper.Term, "era", era, "settledEra", keeper.ledger.Era, "lastFence", keeper.ledger.LastFence, "writes", keeper.ledger.Writes)
	keeper.settleDue = now
}

// settleAt returns when every grant that lost records may have allowed has expired. ok is
// false as long as this is not known.
func (keeper *Keeper) settleAt(status EraStatus) (at time.Time, ok bool) {
	if status.Era < keeper.era || status.ClaimedAt.IsZero() {
		return at, false
	}
	began := later(status.ClaimedAt, keeper.takenOverAt)
	at = began.Add(keeper.RestoredRenewals + maxGrantLifetime(grantTTL))
	if !status.FollowedAt.IsZero() {
		// Earlier processes of these VMs have ended.
		at = earlier(at, later(began, status.FollowedAt.Add(stopMargin)).Add(maxGrantLifetime(grantTTL)))
	}
	return at, true
}

// checkEra settles the ledger if the store has reached a new era and that is possible. It
// is called after each answer to a grant too, and looks once in a tickInterval. The mutex
// is held.
func (keeper *Keeper) checkEra(now time.Time) {
	if now.Sub(keeper.eraCheckedAt) < tickInterval {
		return
	}
	keeper.eraCheckedAt = now
	status := keeper.Authority.Era()
	keeper.observeEra(status.Era, now)
	if !keeper.unsettled() {
		return
	}
	at, ok := keeper.settleAt(status)
	keeper.settlesAt = at
	if !ok || keeper.writeInProgress || now.Before(keeper.settleDue) {
		return
	}
	undisputed := status.Undisputed && !keeper.restored
	if !undisputed && (now.Before(at) || !keeper.Authority.MayRelyOnExpiry()) {
		return
	}
	keeper.settleDue = now.Add(settleRetryInterval)
	keeper.settle(status, undisputed)
}

// settle writes the ledger that is in force into the new era. If other brokers may have
// granted keys under records that were lost, all keys get a fencing token above theirs.
func (keeper *Keeper) settle(status EraStatus, undisputed bool) {
	result := change{lastFence: max(keeper.ledger.LastFence, status.LastFence, keeper.storedFence)}
	keeper.writes = max(keeper.writes, keeper.ledger.Writes, status.Writes)
	if undisputed {
		result.assignments = append(result.assignments, keeper.assignments...)
	} else {
		reserve := fenceReserve * (keeper.era - keeper.ledger.Era)
		result.lastFence += reserve
		keeper.writes += reserve
		for _, assignment := range keeper.assignments {
			raised := assignment.withKeys(assignment.keys)
			raised.fence, raised.due = result.lastFence, time.Time{}
			result.assignments = append(result.assignments, raised)
		}
	}
	next := keeper.ledgerFor(result)
	next.Era = keeper.era
	keeper.writeInProgress = true
	keeper.group.Go(func() error {
		stored, err := keeper.storeSettled(next)
		keeper.mutex.Lock()
		defer keeper.mutex.Unlock()
		if err == nil {
			keeper.Log.Info("ledger settled in a new era", "service", keeper.Service, "term", next.Term, "era", next.Era, "undisputed", undisputed, "lastFence", next.LastFence)
			keeper.restored, keeper.settlesAt = false, time.Time{}
		}
		keeper.endWrite(result, next, stored, err)
		return nil
	})
}

// storeSettled replaces whatever ledger the new era has, and returns the version of the
// written one. The error is ErrReplaced if another process has written a ledger in this
// era, or one of a later term.
func (keeper *Keeper) storeSettled(next *Ledger) (storer.Version, error) {
	var last error
	for range maxWriteAttempts {
		version, err := keeper.trySettle(next)
		if err == nil || errors.Is(err, ErrReplaced) || errors.Is(err, storer.ErrEraChanged) || errors.Is(err, errLedgerAhead) {
			return version, err
		}
		last = err
		if err := clocker.Sleep(keeper.ctx, keeper.Clock, writeRetryInterval); err != nil {
			return storer.Version{}, errors.Join(last, err)
		}
	}
	return storer.Version{}, last
}

func (keeper *Keeper) trySettle(next *Ledger) (storer.Version, error) {
	object, err := keeper.Store.Get(keeper.ctx, KindLedgers, keeper.Service)
	switch {
	case errors.Is(err, storer.ErrNotFound):
		object, err = keeper.Store.Create(keeper.ctx, KindLedgers, keeper.Service, next)
	case err != nil:
		return storer.Version{}, err
	default:
		stored, decodeErr := DecodeLedger(object.Spec)
		if decodeErr != nil {
			return storer.Version{}, decodeErr
		}
		own := stored.BootID == next.BootID && stored.Term == next.Term
		switch {
		case object.Era != next.Era:
			return storer.Version{}, storer.ErrEraChanged
		case stored.Term > next.Term, stored.Era == object.Era && !own:
			return storer.Version{}, fmt.Errorf("%w: the ledger has term %d in era %d", ErrReplaced, stored.Term, object.Era)
		case own && stored.Writes == next.Writes:
			return object.Version(), nil
		case stored.LastFence > next.LastFence, stored.Writes > next.Writes:
			// A write of this process whose outcome it does not know is in the copy.
			keeper.mutex.Lock()
			keeper.storedFence, keeper.writes = max(keeper.storedFence, stored.LastFence), max(keeper.writes, stored.Writes)
			keeper.mutex.Unlock()
			return storer.Version{}, errLedgerAhead
		}
		object, err = keeper.Store.Replace(keeper.ctx, KindLedgers, keeper.Service, object.Version(), next)
	}
	if err == nil && object.Era != next.Era {
		err = storer.ErrEraChanged
	}
	return object.Version(), err
}

// baseLedger returns the ledger from which to continue after a takeover, given the stored
// one, or nil if there is none, and the era in which it was read. restored is set if later
// records may have been lost. Of a restored ledger and a later one that this VM knows,
// the later one is more likely to name upstreams that are warm for their keys.
func (keeper *Keeper) baseLedger(stored *Ledger, era uint64) (base *Ledger, restored bool) {
	if stored == nil {
		if era == 0 || (keeper.Known == nil && !keeper.AfterRestore) {
			return &Ledger{Service: keeper.Service, LastFence: fenceReserve * era, Era: era}, false
		}
		stored = &Ledger{Service: keeper.Service}
	}
	if stored.Era >= era {
		return stored, false
	}
	base = stored
	if keeper.Known != nil && keeper.Known.Writes > stored.Writes {
		known := *keeper.Known
		known.Era, known.LastFence = stored.Era, max(known.LastFence, stored.LastFence)
		base = &known
	}
	return base, true
}

// takeLedger writes this process into the ledger as its writer. version is the one of the
// stored ledger, without a revision if there is none.
func (keeper *Keeper) takeLedger(ctx context.Context, base *Ledger, version storer.Version) (*Ledger, storer.Version, error) {
	next := base.WithWriter(keeper.BootID, keeper.Term)
	var object storer.Object
	var err error
	if version.Revision == 0 {
		object, err = keeper.Store.Create(ctx, KindLedgers, keeper.Service, next)
	} else {
		object, err = keeper.Store.Replace(ctx, KindLedgers, keeper.Service, version, next)
	}
	return next, object.Version(), err
}
