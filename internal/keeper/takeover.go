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
	if errors.Is(err, storer.ErrNotFound) {
		created := (&Ledger{Service: keeper.Service}).WithWriter(keeper.BootID, keeper.Term)
		object, err = keeper.Store.Create(ctx, KindLedgers, keeper.Service, created)
		if err != nil {
			return err
		}
		keeper.restore(created, object.Version())
		return nil
	}
	if err != nil {
		return err
	}
	stored, err := DecodeLedger(object.Spec)
	if err != nil {
		return err
	}
	if stored.Term > keeper.Term {
		return fmt.Errorf("%w: the ledger has term %d", ErrReplaced, stored.Term)
	}
	if stored.BootID != keeper.BootID || stored.Term != keeper.Term {
		next := stored.WithWriter(keeper.BootID, keeper.Term)
		object, err = keeper.Store.Replace(ctx, KindLedgers, keeper.Service, object.Version(), next)
		if err != nil {
			return err
		}
		stored = next
	}
	keeper.restore(stored, object.Version())
	return nil
}

// restore sets the assignments from the shares of the ledger.
func (keeper *Keeper) restore(ledger *Ledger, version storer.Version) {
	for _, owner := range ledger.Owners {
		if owner.ServiceTimeMs > 0 {
			keeper.Broker.SetExpectedServiceTime(owner.ID, owner.StartedAt, time.Duration(owner.ServiceTimeMs)*time.Millisecond)
		}
	}
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.ledger, keeper.version = ledger, version
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
