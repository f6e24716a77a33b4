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

// takeOver takes over the ledger in the store. Once it is written with the own term,
// no earlier broker can write it any more.
func (keeper *Keeper) takeOver(ctx context.Context) error {
	for {
		err := keeper.tryTakeOver(ctx)
		if err == nil || errors.Is(err, ErrReplaced) || ctx.Err() != nil {
			return err
		}
		keeper.Log.Warn("ledger not taken over", "service", keeper.Service, "term", keeper.Term, "error", err.Error())
		if err := clocker.Sleep(ctx, keeper.Clock, writeRetry); err != nil {
			return err
		}
	}
}

func (keeper *Keeper) tryTakeOver(ctx context.Context) error {
	object, err := keeper.Store.Get(ctx, KindLedgers, keeper.Service)
	if errors.Is(err, storer.ErrNotFound) {
		first := (&Ledger{Service: keeper.Service}).WithWriter(keeper.BootID, keeper.Term)
		object, err = keeper.Store.Create(ctx, KindLedgers, keeper.Service, first)
		if err != nil {
			return err
		}
		keeper.start(first, object.Revision)
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
		object, err = keeper.Store.Replace(ctx, KindLedgers, keeper.Service, object.Revision, next)
		if err != nil {
			return err
		}
		stored = next
	}
	keeper.start(stored, object.Revision)
	return nil
}

// start begins with the shares of the ledger.
func (keeper *Keeper) start(ledger *Ledger, revision uint64) {
	for _, owner := range ledger.Owners {
		if owner.ServiceTimeMs > 0 {
			keeper.Broker.SetExpectedServiceTime(owner.ID, owner.StartedAt, time.Duration(owner.ServiceTimeMs)*time.Millisecond)
		}
	}
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.ledger, keeper.revision = ledger, revision
	keeper.Log.Info("ledger taken over", "service", keeper.Service, "term", ledger.Term, "writes", ledger.Writes, "revision", revision, "shares", len(ledger.Shares))
	if keeper.OnLedgerWritten != nil {
		keeper.OnLedgerWritten(ledger)
	}
	for _, owner := range ledger.Owners {
		if owner.ServiceTimeMs > 0 {
			keeper.work[owner.name()] = time.Duration(owner.ServiceTimeMs) * time.Millisecond
		}
	}
	now := keeper.Clock.Now()
	// What earlier brokers granted is not known, so the longest time is assumed.
	exposed := now.Add(keeper.StaleRenewals + expiry(hold))
	keeper.inherited = now.Add(keeper.StaleRenewals)
	for i, share := range ledger.Shares {
		to := broker.KeyCount - 1
		if i+1 < len(ledger.Shares) {
			to = ledger.Shares[i+1].From - 1
		}
		tenancy := &tenancy{keys: Range{share.From, to}, fence: share.Fence, phase: granting}
		if share.Owner != noOwner {
			owner := ledger.Owners[share.Owner]
			tenancy.owner, tenancy.exposedUntil = &owner, exposed
		}
		if share.Previous != noOwner {
			tenancy.phase = settling
			tenancy.past = &past{owner: ledger.Owners[share.Previous], fence: share.PreviousFence, until: exposed}
		}
		keeper.tenancies = append(keeper.tenancies, tenancy)
	}
}
