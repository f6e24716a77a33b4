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

// compareNames orders owners by a hash, so that the upstreams of one zone, whose
// names are alike, do not get neighbouring keys.
func compareNames(a, b string) int {
	return cmp.Or(cmp.Compare(hash(a), hash(b)), cmp.Compare(a, b))
}

func hash(name string) uint32 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(name))
	return sum.Sum32()
}

// plan looks for keys that need another owner and records the new owners in the
// ledger. The mutex is held.
func (keeper *Keeper) plan(members []partitioner.Member, load load, now time.Time) {
	current := keeper.ledger.partition()
	if len(members) == 0 || (len(current) == 0 && now.Sub(keeper.first) < firstWait) {
		return
	}
	var next partitioner.Partition
	if len(current) == 0 {
		next = partitioner.Initial(members, broker.KeyCount, spansPerOwner)
	} else {
		planner := partitioner.Planner{
			Keys: broker.KeyCount, MaxSpans: maxSpansPerOwner * len(members), MaxMoves: max(minMoves, len(members)/membersPerMove), RateWindow: load.fast.Window, Tolerance: hotTolerance, PreferShortRanges: true,
		}
		next = planner.Plan(current, members, load.fast.PerSecond)
		if slices.Equal(next, current) {
			planner.RateWindow, planner.Tolerance, planner.PreferShortRanges = load.slow.Window, steadyTolerance, false
			next = planner.Plan(current, members, load.slow.PerSecond)
		}
	}
	if !slices.Equal(next, current) {
		keeper.write(keeper.assign(next))
	} else if keeper.settled(now) {
		keeper.write(keeper.assign(current))
	}
}

// firstWait lets upstreams that start together register before the first keys
// are given out.
const firstWait = 1500 * time.Millisecond

// moving reports whether keys are on their way between owners.
func (keeper *Keeper) moving() bool {
	return slices.ContainsFunc(keeper.tenancies, func(tenancy *tenancy) bool { return tenancy.phase == settling })
}

// settledWait is how long a ledger may name past owners that have released their
// keys: further moves usually follow, whose write also drops these names.
const settledWait = 2 * time.Second

// settled reports whether the ledger has named past owners for some time that
// have released their keys. A next broker would wait for them.
func (keeper *Keeper) settled(now time.Time) bool {
	recorded := slices.ContainsFunc(keeper.ledger.Shares, func(share Share) bool { return share.Previous != noOwner })
	if !recorded || keeper.moving() {
		keeper.settledAt = now
		return false
	}
	return now.Sub(keeper.settledAt) >= settledWait
}

// refence asks for a higher fence for the share, whose owner has seen one.
func (keeper *Keeper) refence(tenancy *tenancy) {
	if keeper.writing || tenancy.owner == nil || !slices.Contains(keeper.tenancies, tenancy) {
		return
	}
	next := slices.Clone(keeper.tenancies)
	fence := keeper.ledger.LastFence + 1
	for i, candidate := range next {
		if candidate == tenancy {
			next[i] = tenancy.split(tenancy.keys)
			next[i].fence = fence
			next[i].phase = granting
			next[i].due = time.Time{}
		}
	}
	keeper.write(change{tenancies: next, lastFence: fence})
}

// change is a list of tenancies that takes effect when it is in the ledger.
type change struct {
	tenancies []*tenancy
	lastFence uint64
}

// assign returns the change that gives the keys the owners of the partition.
func (keeper *Keeper) assign(partition partitioner.Partition) change {
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
			case old.owner != nil && old.owner.name() == span.Owner && keys == old.keys:
				result.tenancies = append(result.tenancies, old)
			case old.owner != nil && old.owner.name() == span.Owner:
				result.tenancies = append(result.tenancies, old.split(keys))
			case old.phase == settling:
				// The past owner and, as soon as it has released the keys or if an
				// earlier broker granted them, the recorded one may hold them: they
				// move no further yet, because a ledger names one past owner.
				result.tenancies = append(result.tenancies, old.split(keys))
			default:
				result.lastFence = fence
				result.tenancies = append(result.tenancies, old.transfer(keys, owner, fence))
			}
		}
	}
	return result.merged(fence)
}

// merged joins neighbouring shares that one owner holds. The joined share gets a
// fence above both, and the next renewal tells the owner.
func (change change) merged(fence uint64) change {
	joined := change.tenancies[:0:0]
	for _, tenancy := range change.tenancies {
		if len(joined) > 0 {
			last := joined[len(joined)-1]
			if last.phase == held && tenancy.phase == held && last.owner.name() == tenancy.owner.name() {
				union := last.split(Range{last.keys.From, tenancy.keys.To})
				union.fence, union.due, union.handover = fence, time.Time{}, ""
				union.heldUntil = earlier(last.heldUntil, tenancy.heldUntil)
				union.exposedUntil = later(last.exposedUntil, tenancy.exposedUntil)
				joined[len(joined)-1] = union
				change.lastFence = fence
				continue
			}
		}
		joined = append(joined, tenancy)
	}
	change.tenancies = joined
	return change
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// owners returns all upstreams that can be named, by name.
func (keeper *Keeper) owners() map[string]*Owner {
	owners := map[string]*Owner{}
	for _, tenancy := range keeper.tenancies {
		if tenancy.owner != nil {
			owners[tenancy.owner.name()] = tenancy.owner
		}
	}
	for _, upstream := range keeper.upstreams {
		owner := ownerOf(upstream)
		owners[owner.name()] = &owner
	}
	return owners
}

// overlapping returns the tenancies that have keys of the range. Before the
// first partition that is one without an owner.
func (keeper *Keeper) overlapping(keys Range) []*tenancy {
	if len(keeper.tenancies) == 0 {
		return []*tenancy{{keys: Range{0, broker.KeyCount - 1}, phase: granting}}
	}
	var result []*tenancy
	for _, tenancy := range keeper.tenancies {
		if tenancy.keys.From <= keys.To && tenancy.keys.To >= keys.From {
			result = append(result, tenancy)
		}
	}
	return result
}

// record returns the ledger for the tenancies.
func (keeper *Keeper) record(change change) *Ledger {
	ledger := *keeper.ledger
	// Each try has a number of its own, so that a write whose answer was lost is
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
		known, ok := indexes[owner.name()]
		if !ok {
			known = len(ledger.Owners)
			indexes[owner.name()] = known
			listed := *owner
			if work, ok := keeper.work[owner.name()]; ok {
				listed.ServiceTimeMs = work.Milliseconds()
			}
			ledger.Owners = append(ledger.Owners, listed)
		}
		return known
	}
	for _, tenancy := range change.tenancies {
		share := Share{From: tenancy.keys.From, Owner: index(tenancy.owner), Fence: tenancy.fence, Previous: noOwner}
		if tenancy.past != nil {
			share.Previous, share.PreviousFence = index(&tenancy.past.owner), tenancy.past.fence
		}
		ledger.Shares = append(ledger.Shares, share)
	}
	return &ledger
}

const (
	// writeTries bounds the tries of one write; the next plan starts anew.
	writeTries = 3
	// writeRetry is the time between tries.
	writeRetry = 100 * time.Millisecond
)

// write stores the ledger for the change, and then applies the change.
func (keeper *Keeper) write(change change) {
	keeper.writing = true
	next, revision := keeper.record(change), keeper.revision
	keeper.group.Go(func() error {
		stored, err := keeper.replace(next, revision)
		keeper.mutex.Lock()
		defer keeper.mutex.Unlock()
		keeper.writing = false
		keeper.planned = keeper.Clock.Now()
		switch {
		case err == nil:
			keeper.apply(change, next, stored)
		case errors.Is(err, ErrReplaced):
			keeper.deposed = true
			keeper.Log.Warn("deposed as broker", "service", keeper.Service, "term", keeper.ledger.Term, "error", err.Error())
		default:
			keeper.Log.Warn("ledger not written", "service", keeper.Service, "writes", next.Writes, "error", err.Error())
		}
		keeper.signal()
		return nil
	})
}

// replace writes the ledger. After an answer was lost it reads the ledger back,
// because the write may have taken effect.
func (keeper *Keeper) replace(next *Ledger, revision uint64) (uint64, error) {
	var last error
	for range writeTries {
		object, err := keeper.Store.Replace(keeper.ctx, KindLedgers, keeper.Service, revision, next)
		if err == nil {
			return object.Revision, nil
		}
		last = err
		if !errors.Is(err, storer.ErrRefused) {
			object, err = keeper.Store.Get(keeper.ctx, KindLedgers, keeper.Service)
			if err != nil {
				last = errors.Join(last, err)
			} else if stored, err := DecodeLedger(object.Spec); err != nil {
				last = errors.Join(last, err)
			} else {
				switch {
				case stored.BootID != next.BootID || stored.Term != next.Term:
					return 0, fmt.Errorf("%w: the ledger has term %d", ErrReplaced, stored.Term)
				case stored.Writes == next.Writes:
					return object.Revision, nil
				}
				revision = object.Revision
			}
		}
		if err := sleep(keeper.ctx, keeper, writeRetry); err != nil {
			return 0, errors.Join(last, err)
		}
	}
	return 0, last
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

// apply puts a change into effect whose ledger is stored. Answers that arrived
// meanwhile are in the current tenancies, from which the change was derived;
// unchanged ones are the same objects.
func (keeper *Keeper) apply(change change, ledger *Ledger, revision uint64) {
	moved := 0
	for _, tenancy := range change.tenancies {
		keeper.refresh(tenancy)
		if tenancy.phase == settling || (tenancy.phase == granting && tenancy.exposedUntil.IsZero()) {
			moved += tenancy.keys.To - tenancy.keys.From + 1
		}
	}
	keeper.tenancies, keeper.ledger, keeper.revision = change.tenancies, ledger, revision
	keeper.Log.Info("ledger written", "service", keeper.Service, "term", ledger.Term, "writes", ledger.Writes, "revision", revision,
		"shares", len(ledger.Shares), "owners", len(ledger.Owners), "lastFence", ledger.LastFence, "movingKeys", moved)
	if keeper.OnLedgerWritten != nil {
		keeper.OnLedgerWritten(ledger)
	}
}

// refresh brings a tenancy that was derived before the write up to date with
// what happened during the write: its keys may have been released, granted or
// renewed.
func (keeper *Keeper) refresh(changed *tenancy) {
	for _, old := range keeper.overlapping(changed.keys) {
		switch {
		case old == changed || old.owner == nil:
		case changed.owner != nil && old.owner.name() == changed.owner.name():
			changed.exposedUntil = later(changed.exposedUntil, old.exposedUntil)
			if changed.fence == old.fence {
				changed.heldUntil = later(changed.heldUntil, old.heldUntil)
			}
			if changed.phase == settling && old.phase != settling {
				changed.phase, changed.past, changed.handover = old.phase, nil, old.handover
			}
		case changed.past != nil:
			changed.past.until = later(changed.past.until, old.exposedUntil)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
