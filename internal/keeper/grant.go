package keeper

import (
	"errors"
	"time"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// settle takes the keys back from the past owner.
func (keeper *Keeper) settle(tenancy *tenancy, now time.Time) {
	past := tenancy.past
	holder := past.owner
	if known, ok := keeper.upstreams[past.owner.ID]; ok {
		// A new life of the upstream may have taken a renewal that was meant for the
		// one before, so that it must release the keys too.
		holder.Address = known.Address
	}
	unanswered := keeper.unanswered(past.owner, tenancy.keys, now)
	if (tenancy.released && !now.Before(unanswered)) || keeper.outlasted(tenancy, now) {
		keeper.Log.Info("keys have no other holder", "service", keeper.Service, "from", tenancy.keys.From, "to", tenancy.keys.To,
			"pastOwner", past.owner.ID, "released", tenancy.released, "addressReused", keeper.replaced(past.owner), "handover", tenancy.handover != "")
		tenancy.phase, tenancy.past, tenancy.due = granting, nil, now
		keeper.signal()
		return
	}
	if tenancy.released {
		tenancy.due = now.Add(min(retryInterval, unanswered.Sub(now)))
		return
	}
	tenancy.calling = true
	keeper.group.Go(func() error {
		ctx, cancel := clocker.WithTimeout(keeper.ctx, keeper.Clock, releaseTimeout)
		defer cancel()
		// With the next owner's fence, the upstream refuses what an earlier broker
		// may still send with the past one.
		handover, err := keeper.Granter.Release(ctx, holder, tenancy.keys, tenancy.fence)
		keeper.mutex.Lock()
		defer keeper.mutex.Unlock()
		if tenancy.phase != settling {
			return nil // the past owner proved to have ended
		}
		tenancy.calling = false
		now := keeper.Clock.Now()
		tenancy.due = now
		if err != nil {
			tenancy.due = now.Add(retryInterval)
			keeper.Log.Warn("release failed", "service", keeper.Service, "upstream", past.owner.ID, "from", tenancy.keys.From,
				"to", tenancy.keys.To, "fence", tenancy.fence, "error", err.Error(), "heldAtMostUntil", past.until)
		} else {
			tenancy.released, tenancy.handover = true, handover
		}
		keeper.signal()
		return nil
	})
}

// grant gives the keys to their owner, or renews its grant.
func (keeper *Keeper) grant(tenancy *tenancy, now time.Time) {
	owner := *tenancy.owner
	name := owner.name()
	grant := Grant{Keys: tenancy.keys, Fence: tenancy.fence, TTL: min(hold, keeper.MaxGrantTTL), Handover: tenancy.handover}
	tenancy.calling, keeper.busy[name] = true, true
	sent := &sentGrant{owner: name, keys: grant.Keys, end: now.Add(expiry(grant.TTL))}
	keeper.sent[sent] = struct{}{}
	tenancy.exposedUntil = later(tenancy.exposedUntil, sent.end)
	keeper.group.Go(func() error {
		ctx, cancel := clocker.WithTimeout(keeper.ctx, keeper.Clock, grantTimeout)
		defer cancel()
		err := keeper.Granter.Grant(ctx, owner, grant)
		keeper.mutex.Lock()
		defer keeper.mutex.Unlock()
		tenancy.calling = false
		delete(keeper.busy, name)
		if err == nil || errors.Is(err, ErrFenced) {
			delete(keeper.sent, sent)
		}
		keeper.granted(tenancy, now, err)
		keeper.signal()
		return nil
	})
}

// unanswered returns when the last unanswered grant of the keys to the owner has
// run out.
func (keeper *Keeper) unanswered(owner Owner, keys Range, now time.Time) time.Time {
	var last time.Time
	for sent := range keeper.sent {
		switch {
		case !now.Before(sent.end):
			delete(keeper.sent, sent)
		case sent.owner == owner.name() && sent.keys.From <= keys.To && sent.keys.To >= keys.From:
			last = later(last, sent.end)
		}
	}
	return last
}

// granted records the answer to a grant that was sent at the given time.
func (keeper *Keeper) granted(tenancy *tenancy, sent time.Time, err error) {
	now := keeper.Clock.Now()
	if err == nil {
		if tenancy.phase == granting {
			keeper.Log.Info("keys granted", "service", keeper.Service, "upstream", tenancy.owner.ID, "from", tenancy.keys.From,
				"to", tenancy.keys.To, "fence", tenancy.fence, "warm", tenancy.handover != "", "term", keeper.ledger.Term)
		}
		first := tenancy.phase == granting
		tenancy.phase, tenancy.failures = held, 0
		tenancy.heldUntil = sent.Add(time.Duration(float64(min(hold, keeper.MaxGrantTTL)) / slowClock))
		tenancy.due = sent.Add(renewInterval)
		if first {
			keeper.group.Go(func() error { keeper.Broker.Redispatch(); return nil })
		}
		return
	}
	tenancy.failures++
	tenancy.due = now.Add(retryInterval)
	if errors.Is(err, ErrFenced) {
		tenancy.due = now.Add(renewInterval)
		keeper.refence(tenancy)
	}
	if tenancy.failures <= 2 || tenancy.failures%10 == 0 {
		keeper.Log.Warn("grant failed", "service", keeper.Service, "upstream", tenancy.owner.ID, "from", tenancy.keys.From, "to", tenancy.keys.To,
			"fence", tenancy.fence, "failures", tenancy.failures, "heldUntil", tenancy.heldUntil, "error", err.Error())
	}
}
