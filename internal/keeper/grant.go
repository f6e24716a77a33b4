package keeper

import (
	"errors"
	"time"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// revoke asks the previous owner to release the keys, and lets them be granted to
// the next owner once no grant to the previous one can be in force.
func (keeper *Keeper) revoke(assignment *assignment, now time.Time) {
	previous := assignment.previous
	holder := previous.owner
	if known, ok := keeper.upstreams[previous.owner.ID]; ok {
		// A new incarnation of the upstream may have accepted a renewal that was meant
		// for the one before, so it must release the keys too.
		holder.Address = known.Address
	}
	unansweredExpiry := keeper.unansweredExpiry(previous.owner, assignment.keys, now)
	if (assignment.released && !now.Before(unansweredExpiry)) || keeper.previousGrantsEnded(assignment, now) {
		keeper.Log.Info("keys have no other holder", "service", keeper.Service, "from", assignment.keys.From, "to", assignment.keys.To,
			"pastOwner", previous.owner.ID, "released", assignment.released, "addressReused", keeper.addressReused(previous.owner), "handover", assignment.handover != "")
		assignment.phase, assignment.previous, assignment.due = granting, nil, now
		keeper.signal()
		return
	}
	if assignment.released {
		assignment.due = now.Add(min(retryInterval, unansweredExpiry.Sub(now)))
		return
	}
	assignment.calling = true
	keeper.group.Go(func() error {
		ctx, cancel := clocker.WithTimeout(keeper.ctx, keeper.Clock, releaseTimeout)
		defer cancel()
		// The release carries the next owner's fencing token, so that the upstream
		// refuses grants with the previous one that an earlier broker may still send.
		handover, err := keeper.Granter.Release(ctx, holder, assignment.keys, assignment.fence)
		keeper.mutex.Lock()
		defer keeper.mutex.Unlock()
		if assignment.phase != revoking {
			return nil // the grants of the previous owner ended meanwhile
		}
		assignment.calling = false
		now := keeper.Clock.Now()
		assignment.due = now
		if err != nil {
			assignment.due = now.Add(retryInterval)
			keeper.Log.Warn("release failed", "service", keeper.Service, "upstream", previous.owner.ID, "from", assignment.keys.From,
				"to", assignment.keys.To, "fence", assignment.fence, "error", err.Error(), "heldAtMostUntil", previous.latestExpiry)
		} else {
			assignment.released, assignment.handover = true, handover
		}
		keeper.signal()
		return nil
	})
}

// sendGrant grants the keys to their owner, or renews its grant.
//
// A connection is used only if this process was certainly the broker after the connection was
// opened. If another process has become the broker since, and has made the upstream release
// keys, then either the process at the other end knows the higher fencing token of the release,
// or it has ended, and the connection with it. On a new connection, an upstream that has
// restarted under its ID would accept a grant of a broker that was replaced without noticing.
func (keeper *Keeper) sendGrant(assignment *assignment, now time.Time) {
	owner := *assignment.owner
	incarnation := owner.incarnation()
	grant := Grant{Keys: assignment.keys, Fence: assignment.fence, TTL: min(grantTTL, keeper.MaxGrantTTL), Handover: assignment.handover}
	assignment.calling, keeper.grantInFlight[incarnation] = true, true
	unanswered := &unansweredGrant{incarnation: incarnation, keys: grant.Keys, latestExpiry: now.Add(maxGrantLifetime(grant.TTL))}
	keeper.unansweredGrants[unanswered] = struct{}{}
	assignment.latestExpiry = later(assignment.latestExpiry, unanswered.latestExpiry)
	keeper.group.Go(func() error {
		ctx, cancel := clocker.WithTimeout(keeper.ctx, keeper.Clock, grantTimeout)
		defer cancel()
		err := keeper.Granter.Grant(ctx, owner, grant, keeper.Authority.Confirm)
		keeper.mutex.Lock()
		defer keeper.mutex.Unlock()
		assignment.calling = false
		delete(keeper.grantInFlight, incarnation)
		if err == nil || errors.Is(err, ErrFenced) {
			delete(keeper.unansweredGrants, unanswered)
		}
		keeper.handleGrantResult(assignment, now, grant.TTL, err)
		keeper.signal()
		return nil
	})
}

// unansweredExpiry returns when the last unanswered grant to the owner of any of the
// keys expires at the latest, and drops unanswered grants that have expired.
func (keeper *Keeper) unansweredExpiry(owner Owner, keys Range, now time.Time) time.Time {
	var last time.Time
	for unanswered := range keeper.unansweredGrants {
		switch {
		case !now.Before(unanswered.latestExpiry):
			delete(keeper.unansweredGrants, unanswered)
		case unanswered.incarnation == owner.incarnation() && unanswered.keys.From <= keys.To && unanswered.keys.To >= keys.From:
			last = later(last, unanswered.latestExpiry)
		}
	}
	return last
}

// handleGrantResult records the result of a call for a grant with the ttl that was made at
// the time sent.
func (keeper *Keeper) handleGrantResult(assignment *assignment, sent time.Time, ttl time.Duration, err error) {
	now := keeper.Clock.Now()
	if err == nil {
		if assignment.phase == granting {
			keeper.Log.Info("keys granted", "service", keeper.Service, "upstream", assignment.owner.ID, "from", assignment.keys.From,
				"to", assignment.keys.To, "fence", assignment.fence, "warm", assignment.handover != "", "term", keeper.ledger.Term)
		}
		if assignment.failures > 0 && assignment.phase == held {
			keeper.Log.Info("grant accepted after failures", "service", keeper.Service, "upstream", assignment.owner.ID, "from", assignment.keys.From,
				"to", assignment.keys.To, "fence", assignment.fence, "failures", assignment.failures, "term", keeper.ledger.Term)
		}
		first := assignment.phase == granting
		assignment.phase, assignment.failures = held, 0
		assignment.earliestExpiry = sent.Add(time.Duration(float64(ttl) / clockDriftAllowance))
		assignment.due = sent.Add(min(renewInterval, ttl/3))
		if first {
			keeper.group.Go(func() error { keeper.Broker.Redispatch(); return nil })
		}
		return
	}
	assignment.failures++
	assignment.due = now.Add(retryInterval)
	if errors.Is(err, ErrFenced) {
		assignment.due = now.Add(renewInterval)
		keeper.raiseFence(assignment)
	}
	if assignment.failures <= 2 || assignment.failures%10 == 0 {
		keeper.Log.Warn("grant failed", "service", keeper.Service, "upstream", assignment.owner.ID, "from", assignment.keys.From, "to", assignment.keys.To,
			"fence", assignment.fence, "failures", assignment.failures, "heldUntil", assignment.earliestExpiry, "error", err.Error())
	}
}
