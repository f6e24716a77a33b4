package keeper

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cuminstream/cuminstream/internal/storer"
	"github.com/cuminstream/cuminstream/pkg/broker"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// takeOver writes this process into the ledger in the store as its writer, until that
// succeeds. From then on, writes of earlier brokers are refused.
func (keeper *Keeper) takeOver(ctx context.Context) error {
	for {
		err := keeper.tryTakeOver(ctx)
		if err == nil || errors.Is(err, ErrReplaced) || ctx.Err() != nil {
			return err
		}
		keeper.Log.Warn("ledger takeover failed", "service", keeper.Service, "term", keeper.Term, "error", err.Error())
		if err := clocker.Sleep(ctx, keeper.Clock, writeRetryInterval); err != nil {
			return err
		}
	}
}

// tryTakeOver makes one attempt to take over the ledger. It creates the ledger if
// there is none, and returns ErrReplaced if the ledger has a later term.
func (keeper *Keeper) tryTakeOver(ctx context.Context) error {
	object, err := keeper.Store.Get(ctx, KindLedgers, keeper.Service)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return err
	}
	version := object.Version()
	var stored *Ledger
	if err == nil {
		if stored, err = DecodeLedger(object.Spec); err != nil {
			return err
		}
		if stored.Term > keeper.Term {
			return fmt.Errorf("%w: the ledger has term %d", ErrReplaced, stored.Term)
		}
	}
	ledger, restored := keeper.baseLedger(stored, object.Era)
	if stored == nil || stored.BootID != keeper.BootID || stored.Term != keeper.Term {
		if ledger, version, err = keeper.takeLedger(ctx, ledger, version); err != nil {
			return err
		}
	}
	if version.Era != object.Era {
		return storer.ErrEraChanged
	}
	keeper.restore(ledger, version, restored)
	return nil
}

// restore sets the assignments from the shares of the ledger. If the store was restored
// from an old copy since the ledger was settled, no keys are granted until it is settled
// again.
func (keeper *Keeper) restore(ledger *Ledger, version storer.Version, restored bool) {
	for _, owner := range ledger.Owners {
		if owner.ServiceTimeMs > 0 {
			keeper.Broker.SetExpectedServiceTime(owner.ID, owner.StartedAt, time.Duration(owner.ServiceTimeMs)*time.Millisecond)
		}
	}
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.ledger, keeper.version, keeper.era, keeper.restored = ledger, version, version.Era, restored
	keeper.takenOverAt = keeper.Clock.Now()
	if restored {
		keeper.Log.Warn("ledger was restored from an old copy, keys wait until all grants that may have been made have expired", "service", keeper.Service, "term", ledger.Term,
			"era", version.Era, "settledEra", ledger.Era, "waitMs", (keeper.RestoredRenewals + maxGrantLifetime(grantTTL)).Milliseconds())
	}
	keeper.Log.Info("ledger taken over", "service", keeper.Service, "term", ledger.Term, "writes", ledger.Writes, "revision", version, "shares", len(ledger.Shares))
	if keeper.OnLedgerWritten != nil {
		keeper.OnLedgerWritten(ledger)
	}
	for _, owner := range ledger.Owners {
		if owner.ServiceTimeMs > 0 {
			keeper.serviceTimes[owner.incarnation()] = time.Duration(owner.ServiceTimeMs) * time.Millisecond
		}
	}
	now := keeper.Clock.Now()
	// What earlier brokers have granted is not known, so the latest time is assumed.
	latestExpiry := now.Add(keeper.StaleRenewals + maxGrantLifetime(grantTTL))
	keeper.staleRenewalsUntil = now.Add(keeper.StaleRenewals)
	for i, share := range ledger.Shares {
		to := broker.KeyCount - 1
		if i+1 < len(ledger.Shares) {
			to = ledger.Shares[i+1].From - 1
		}
		assignment := &assignment{keys: Range{share.From, to}, fence: share.Fence, phase: granting}
		if share.Owner != noOwner {
			owner := ledger.Owners[share.Owner]
			assignment.owner, assignment.latestExpiry = &owner, latestExpiry
		}
		if share.Previous != noOwner {
			assignment.phase = revoking
			assignment.previous = &previousOwner{owner: ledger.Owners[share.Previous], fence: share.PreviousFence, latestExpiry: latestExpiry}
		}
		keeper.assignments = append(keeper.assignments, assignment)
	}
}
