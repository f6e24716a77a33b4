package keeper

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"github.com/cuminstream/cuminstream/internal/storer"
	"github.com/cuminstream/cuminstream/pkg/broker"
	"github.com/cuminstream/cuminstream/pkg/partitioner"
)

// compareByHash orders incarnations by a hash, so that the upstreams of one zone,
// which have similar IDs, do not own neighboring keys.
func compareByHash(a, b string) int {
	return cmp.Or(cmp.Compare(hash(a), hash(b)), cmp.Compare(a, b))
}

func hash(incarnation string) uint32 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(incarnation))
	return sum.Sum32()
}

// plan computes a partition for the members and the measured rates, and writes a
// ledger if owners change or recorded previous owners are obsolete. Rates of the last
// seconds come first; those of a longer time are used only if they change nothing.
// The mutex is held.
func (keeper *Keeper) plan(members []partitioner.Member, measured measurements, now time.Time) {
	current := keeper.ledger.partition()
	if len(members) == 0 || (len(current) == 0 && now.Sub(keeper.firstUpstreamAt) < initialPlanDelay) {
		return
	}
	var next partitioner.Partition
	if len(current) == 0 {
		next = partitioner.Initial(members, broker.KeyCount, initialSpansFor(len(members)))
	} else {
		planner := partitioner.Planner{
			Keys: broker.KeyCount, MaxSpans: maxSpansFor(len(members)), MaxMoves: keeper.maxMoves(len(members), now), RateWindow: measured.shortTerm.Window, Tolerance: shortTermTolerance, PreferShortRanges: true,
		}
		next = planner.Plan(current, members, measured.shortTerm.PerSecond)
		if slices.Equal(next, current) {
			planner.RateWindow, planner.Tolerance, planner.PreferShortRanges = measured.longTerm.Window, longTermTolerance, false
			next = planner.Plan(current, members, measured.longTerm.PerSecond)
		}
	}
	if !slices.Equal(next, current) {
		keeper.write(keeper.changeTo(next))
	} else if keeper.previousOwnersObsolete(now) {
		keeper.write(keeper.changeTo(current))
	}
}

// initialSpansFor returns the number of spans per owner in the first partition.
func initialSpansFor(owners int) int {
	return min(max(initialSpans/owners, 1), initialSpansPerOwner)
}

// maxSpansFor returns the number of spans up to which keys are moved to balance load. It
// leaves a service with many owners room for moves.
func maxSpansFor(owners int) int {
	return max(min(maxSpansPerOwner*owners, maxSpans), 2*owners)
}

// maxMoves returns how many moves one plan may make to balance load. It is none while
// an earlier broker may still renew its grants: an owner that has released keys and
// then restarts under the same ID has forgotten the fencing token of the release, and
// would accept a renewal of keys that another upstream holds by then.
func (keeper *Keeper) maxMoves(members int, now time.Time) int {
	if now.Before(keeper.staleRenewalsUntil) {
		return 0
	}
	return max(minMoves, members/membersPerMove)
}

// initialPlanDelay lets upstreams that start together register before the first
// partition is made.
const initialPlanDelay = 1500 * time.Millisecond

// anyRevoking reports whether a previous owner may still hold keys.
func (keeper *Keeper) anyRevoking() bool {
	return slices.ContainsFunc(keeper.assignments, func(assignment *assignment) bool { return assignment.phase == revoking })
}

// obsoleteOwnersDelay is how long a ledger may keep previous owners that hold no
// keys any more: usually further moves follow, whose write also drops them.
const obsoleteOwnersDelay = 2 * time.Second

// previousOwnersObsolete reports whether the ledger has recorded previous owners for
// obsoleteOwnersDelay although they hold no keys any more. A new broker would wait
// for their release or for the expiry of their grants.
func (keeper *Keeper) previousOwnersObsolete(now time.Time) bool {
	recorded := slices.ContainsFunc(keeper.ledger.Shares, func(share Share) bool { return share.Previous != noOwner })
	if !recorded || keeper.anyRevoking() {
		keeper.obsoleteSince = now
		return false
	}
	return now.Sub(keeper.obsoleteSince) >= obsoleteOwnersDelay
}

// raiseFence writes a ledger with a higher fencing token for the assignment, because
// its owner has seen a higher one.
func (keeper *Keeper) raiseFence(assignment *assignment) {
	if keeper.writeInProgress || keeper.unsettled() || assignment.owner == nil || !slices.Contains(keeper.assignments, assignment) {
		return
	}
	next := slices.Clone(keeper.assignments)
	fence := keeper.ledger.LastFence + 1
	for i, candidate := range next {
		if candidate == assignment {
			next[i] = assignment.withKeys(assignment.keys)
			next[i].fence = fence
			next[i].phase = granting
			next[i].due = time.Time{}
		}
	}
	keeper.write(change{assignments: next, lastFence: fence})
}

// change is a list of all assignments that takes effect once it is in the ledger.
type change struct {
	assignments []*assignment
	lastFence   uint64
}

// changeTo returns the change that assigns the keys to the owners in the partition.
func (keeper *Keeper) changeTo(partition partitioner.Partition) change {
	result := change{lastFence: keeper.ledger.LastFence}
	fence := keeper.ledger.LastFence + 1
	owners := keeper.owners()
	for i, span := range partition {
		to := broker.KeyCount - 1
		if i+1 < len(partition) {
			to = partition[i+1].From - 1
		}
		owner := owners[span.Owner]
		for _, old := range keeper.overlapping(Range{span.From, to}) {
			keys := Range{max(span.From, old.keys.From), min(to, old.keys.To)}
			switch {
			case old.owner != nil && old.owner.incarnation() == span.Owner && keys == old.keys:
				result.assignments = append(result.assignments, old)
			case old.owner != nil && old.owner.incarnation() == span.Owner:
				result.assignments = append(result.assignments, old.withKeys(keys))
			case old.phase == revoking:
				// Both the previous owner and the recorded one may hold the keys: the
				// recorded one as soon as the keys are released, or if an earlier broker
				// has granted them. A ledger records one previous owner only, so the
				// keys are not assigned to a third one yet.
				result.assignments = append(result.assignments, old.withKeys(keys))
			default:
				result.lastFence = fence
				result.assignments = append(result.assignments, old.transfer(keys, owner, fence))
			}
		}
	}
	return result.merged(fence)
}

// merged joins neighboring assignments that the same owner holds. The joined one gets
// a fencing token above both, which the owner receives with the next renewal.
func (change change) merged(fence uint64) change {
	joined := change.assignments[:0:0]
	for _, assignment := range change.assignments {
		if len(joined) > 0 {
			last := joined[len(joined)-1]
			if last.phase == held && assignment.phase == held && last.owner.incarnation() == assignment.owner.incarnation() {
				union := last.withKeys(Range{last.keys.From, assignment.keys.To})
				union.fence, union.due, union.handover = fence, time.Time{}, ""
				union.earliestExpiry = earlier(last.earliestExpiry, assignment.earliestExpiry)
				union.latestExpiry = later(last.latestExpiry, assignment.latestExpiry)
				joined[len(joined)-1] = union
				change.lastFence = fence
				continue
			}
		}
		joined = append(joined, assignment)
	}
	change.assignments = joined
	return change
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// owners returns the assigned owners and the registered upstreams, by incarnation.
func (keeper *Keeper) owners() map[string]*Owner {
	owners := map[string]*Owner{}
	for _, assignment := range keeper.assignments {
		if assignment.owner != nil {
			owners[assignment.owner.incarnation()] = assignment.owner
		}
	}
	for _, upstream := range keeper.upstreams {
		owner := ownerOf(upstream)
		owners[owner.incarnation()] = &owner
	}
	return owners
}

// overlapping returns the assignments of keys in the range. Before the first partition
// that is a single one without an owner.
func (keeper *Keeper) overlapping(keys Range) []*assignment {
	if len(keeper.assignments) == 0 {
		return []*assignment{{keys: Range{0, broker.KeyCount - 1}, phase: granting}}
	}
	var result []*assignment
	for _, assignment := range keeper.assignments {
		if assignment.keys.From <= keys.To && assignment.keys.To >= keys.From {
			result = append(result, assignment)
		}
	}
	return result
}

// ledgerFor returns the ledger that records the assignments of the change.
func (keeper *Keeper) ledgerFor(change change) *Ledger {
	ledger := *keeper.ledger
	// Failed writes use up their number too, so that a write whose answer was lost is
	// not taken for a later one.
	keeper.writes = max(keeper.writes, ledger.Writes) + 1
	ledger.Writes = keeper.writes
	ledger.LastFence = change.lastFence
	ledger.Owners, ledger.Shares = nil, nil
	indexes := map[string]int{}
	index := func(owner *Owner) int {
		if owner == nil {
			return noOwner
		}
		known, ok := indexes[owner.incarnation()]
		if !ok {
			known = len(ledger.Owners)
			indexes[owner.incarnation()] = known
			listed := *owner
			if serviceTime, ok := keeper.serviceTimes[owner.incarnation()]; ok {
				listed.ServiceTimeMs = serviceTime.Milliseconds()
			}
			ledger.Owners = append(ledger.Owners, listed)
		}
		return known
	}
	for _, assignment := range change.assignments {
		share := Share{From: assignment.keys.From, Owner: index(assignment.owner), Fence: assignment.fence, Previous: noOwner}
		if assignment.previous != nil {
			share.Previous, share.PreviousFence = index(&assignment.previous.owner), assignment.previous.fence
		}
		ledger.Shares = append(ledger.Shares, share)
	}
	return &ledger
}

const (
	// maxWriteAttempts bounds the attempts of one write. After the last one the change
	// is dropped, and the next plan makes a new one.
	maxWriteAttempts = 3
	// writeRetryInterval is the time between attempts.
	writeRetryInterval = 100 * time.Millisecond
)

// write writes the ledger for the change to the store, and applies the change once it
// is stored. The mutex is held.
func (keeper *Keeper) write(change change) {
	keeper.writeInProgress = true
	next, version := keeper.ledgerFor(change), keeper.version
	keeper.group.Go(func() error {
		stored, err := keeper.storeLedger(next, version)
		keeper.mutex.Lock()
		defer keeper.mutex.Unlock()
		keeper.endWrite(change, next, stored, err)
		return nil
	})
}

// endWrite applies the change if the ledger was written. The mutex is held.
func (keeper *Keeper) endWrite(change change, next *Ledger, stored storer.Version, err error) {
	keeper.writeInProgress = false
	keeper.plannedAt = keeper.Clock.Now()
	switch {
	case err == nil:
		keeper.apply(change, next, stored)
	case errors.Is(err, ErrReplaced):
		keeper.replaced = true
		keeper.Log.Warn("ledger taken over by another process", "service", keeper.Service, "term", keeper.ledger.Term, "error", err.Error())
	default:
		keeper.Log.Warn("ledger write failed", "service", keeper.Service, "writes", next.Writes, "error", err.Error())
	}
	keeper.signal()
}

// storeLedger replaces the ledger of the given version in the store and returns the
// new version. After an attempt whose outcome is unknown it reads the ledger back,
// because the write may have taken effect.
func (keeper *Keeper) storeLedger(next *Ledger, version storer.Version) (storer.Version, error) {
	var last error
	for range maxWriteAttempts {
		object, err := keeper.Store.Replace(keeper.ctx, KindLedgers, keeper.Service, version, next)
		if err == nil {
			return object.Version(), nil
		}
		last = err
		if !errors.Is(err, storer.ErrRefused) {
			object, err = keeper.Store.Get(keeper.ctx, KindLedgers, keeper.Service)
			if err != nil {
				last = errors.Join(last, err)
			} else if object.Era != version.Era {
				// The change was derived from a ledger that has to be settled first.
				return storer.Version{}, errors.Join(last, storer.ErrEraChanged)
			} else if stored, err := DecodeLedger(object.Spec); err != nil {
				last = errors.Join(last, err)
			} else {
				switch {
				case stored.BootID != next.BootID || stored.Term != next.Term:
					return storer.Version{}, fmt.Errorf("%w: the ledger has term %d", ErrReplaced, stored.Term)
				case stored.Writes == next.Writes:
					return object.Version(), nil
				}
				version = object.Version()
			}
		}
		if err := sleep(keeper.ctx, keeper, writeRetryInterval); err != nil {
			return storer.Version{}, errors.Join(last, err)
		}
	}
	return storer.Version{}, last
}

func sleep(ctx context.Context, keeper *Keeper, d time.Duration) error {
	timer := keeper.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-timer.C():
		return nil
	}
}

// apply puts a change into effect whose ledger is stored. Answers that arrived during
// the write are recorded in the current assignments, from which the change was
// derived; assignments that the change leaves alone are the same objects.
func (keeper *Keeper) apply(change change, ledger *Ledger, version storer.Version) {
	moved := 0
	for _, assignment := range change.assignments {
		keeper.refresh(assignment)
		if assignment.phase == revoking || (assignment.phase == granting && assignment.latestExpiry.IsZero()) {
			moved += assignment.keys.To - assignment.keys.From + 1
		}
	}
	keeper.assignments, keeper.ledger, keeper.version = change.assignments, ledger, version
	keeper.Log.Info("ledger written", "service", keeper.Service, "term", ledger.Term, "writes", ledger.Writes, "revision", version,
		"shares", len(ledger.Shares), "owners", len(ledger.Owners), "lastFence", ledger.LastFence, "movingKeys", moved)
	if keeper.OnLedgerWritten != nil {
		keeper.OnLedgerWritten(ledger)
	}
}

// refresh brings an assignment that was derived before the write up to date: its keys
// may have been released, granted or renewed during the write.
func (keeper *Keeper) refresh(changed *assignment) {
	for _, old := range keeper.overlapping(changed.keys) {
		switch {
		case old == changed || old.owner == nil:
		case changed.owner != nil && old.owner.incarnation() == changed.owner.incarnation():
			changed.latestExpiry = later(changed.latestExpiry, old.latestExpiry)
			if changed.fence == old.fence {
				changed.earliestExpiry = later(changed.earliestExpiry, old.earliestExpiry)
			}
			if changed.phase == revoking && old.phase != revoking {
				changed.phase, changed.previous, changed.handover = old.phase, nil, old.handover
			}
		case changed.previous != nil:
			changed.previous.latestExpiry = later(changed.previous.latestExpiry, old.latestExpiry)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
