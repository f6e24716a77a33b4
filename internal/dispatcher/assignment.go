package dispatcher

import (
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cuminstream/cuminstream/internal/replicator"
	"github.com/cuminstream/cuminstream/internal/timeliner"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/placer"
)

const (
	// balanceInterval is the time between two balancing rounds.
	balanceInterval = 5 * time.Second
	// A balancing round moves load if the ratio of the highest to the mean load
	// is above balanceTrigger, and tries to reach balanceTarget. The difference
	// is a hysteresis.
	balanceTrigger = 1.25
	balanceTarget  = 1.1
	// assignmentCopyTimeout limits the replication of an assignment. After a
	// timeout, a new assignment is planned.
	assignmentCopyTimeout = 500 * time.Millisecond
	// assignmentRetryDelay is the pause after a failed replication.
	assignmentRetryDelay = 100 * time.Millisecond
	// persistTimeout limits one write of the assignment to the platform.
	persistTimeout = 2 * time.Second
	// persistInterval is the pause after each write to the platform, so that
	// many moves cause few writes.
	persistInterval = time.Second
)

// planLoop updates the assignment whenever requestPlan was called, until the
// lease term ends.
func (dispatcher *Dispatcher) planLoop(leaseTerm *leaseTerm) {
	for {
		select {
		case <-leaseTerm.ctx.Done():
			return
		case <-leaseTerm.planSignal:
		}
		if dispatcher.updateAssignment(leaseTerm) {
			continue
		}
		if clocker.Sleep(leaseTerm.ctx, dispatcher.Clock, assignmentRetryDelay) != nil {
			return
		}
		leaseTerm.requestPlan()
	}
}

// updateAssignment replicates the next assignment and new losses to a majority,
// and then applies the assignment. It returns false if the replication failed.
func (dispatcher *Dispatcher) updateAssignment(leaseTerm *leaseTerm) bool {
	next, reasons, entries := dispatcher.proposeAssignment(leaseTerm)
	if entries.Assignment == nil && len(entries.Suspects) == 0 {
		return true
	}
	ctx, cancel := clocker.WithTimeout(leaseTerm.ctx, dispatcher.Clock, assignmentCopyTimeout)
	defer cancel()
	if err := leaseTerm.lease.Replicate(ctx, entries); err != nil {
		copyFailures.WithLabelValues("assignment").Inc()
		return false
	}
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if dispatcher.leaseTerm != leaseTerm {
		return true
	}
	leaseTerm.unreplicatedLosses = leaseTerm.unreplicatedLosses[len(entries.Suspects):]
	dispatcher.requestRenewals()
	if entries.Assignment != nil {
		dispatcher.applyAssignment(leaseTerm, next, reasons)
	}
	return true
}

// proposeAssignment returns the next assignment with the reason for each move,
// and the entries to replicate. The entries are empty if nothing changes.
func (dispatcher *Dispatcher) proposeAssignment(leaseTerm *leaseTerm) (replicator.Assignment, map[placementUnit]string, replicator.Entries) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	var entries replicator.Entries
	if dispatcher.leaseTerm != leaseTerm {
		return replicator.Assignment{}, nil, entries
	}
	entries.Suspects = slices.Clone(leaseTerm.unreplicatedLosses)
	next, reasons := dispatcher.planAssignment(leaseTerm)
	if sameAssignment(next, dispatcher.ownership.assignment) {
		return next, nil, entries
	}
	leaseTerm.highestVersion = max(leaseTerm.highestVersion, next.Version) + 1
	next.Term, next.Version = leaseTerm.term, leaseTerm.highestVersion
	entries.Assignment = &next
	return next, reasons, entries
}

func sameAssignment(a, b replicator.Assignment) bool {
	return maps.Equal(a.Shards, b.Shards) && maps.Equal(a.HotKeys, b.HotKeys)
}

// planAssignment returns the desired assignment with the reason for each move.
// It balances the load if balanceInterval has passed since the last round.
func (dispatcher *Dispatcher) planAssignment(leaseTerm *leaseTerm) (replicator.Assignment, map[placementUnit]string) {
	now := dispatcher.Clock.Now()
	balance := now.Sub(leaseTerm.balancedAt) >= balanceInterval
	next := dispatcher.homeAssignment()
	hot := map[string]placer.Item{}
	if balance {
		leaseTerm.balancedAt = now
		dispatcher.compareSpeeds()
	}
	next = dispatcher.planHotKeys(next, hot, balance)
	input := dispatcher.placerInput(next, hot, now)
	input.Trigger, input.Target = math.Inf(1), balanceTarget
	if balance && dispatcher.loadSufficient() {
		input.Trigger = balanceTrigger
	}
	if balance {
		dispatcher.loads.decay()
	}
	reasons := map[placementUnit]string{}
	for _, move := range placer.Plan(input) {
		moved := placementUnit{shard: move.Shard, key: move.HotKey}
		if move.HotKey != "" {
			moved.shard = dispatcher.shardOf(move.HotKey)
			next.HotKeys[move.HotKey] = move.To
		} else {
			next.Shards[move.Shard] = move.To
		}
		reasons[moved] = dispatcher.moveReason(move.From)
	}
	return next, reasons
}

// moveReason returns the reason why a placement unit leaves the upstream, as a
// value of the metric's label.
func (dispatcher *Dispatcher) moveReason(from string) string {
	upstream := dispatcher.upstreams[from]
	switch {
	case from == "":
		return "new"
	case upstream == nil:
		return "removed"
	case upstream.health == healthLost:
		return "lost"
	case upstream.draining():
		return "drain"
	}
	return "balance"
}

// homeAssignment returns a copy of the current assignment with exactly the
// shards whose home is this group.
func (dispatcher *Dispatcher) homeAssignment() replicator.Assignment {
	next := dispatcher.ownership.assignment
	next.Shards, next.HotKeys = cloneOrEmpty(next.Shards), cloneOrEmpty(next.HotKeys)
	if dispatcher.homeShards == nil {
		return next
	}
	for shard := range dispatcher.homeShards {
		if _, ok := next.Shards[shard]; !ok {
			next.Shards[shard] = ""
		}
	}
	maps.DeleteFunc(next.Shards, func(shard uint32, _ string) bool { return !dispatcher.homeShards[shard] })
	maps.DeleteFunc(next.HotKeys, func(key, _ string) bool { return !dispatcher.homeShards[dispatcher.shardOf(key)] })
	return next
}

// planHotKeys assigns the pinned keys, and adds the keys that the placer has to
// place separately from their shard to hot. A key becomes hot at hotFraction
// and stays hot down to half of it.
func (dispatcher *Dispatcher) planHotKeys(next replicator.Assignment, hot map[string]placer.Item, balance bool) replicator.Assignment {
	staysHot := dispatcher.loads.hotKeys(len(dispatcher.upstreams), hotFraction/2)
	becomesHot := dispatcher.loads.hotKeys(len(dispatcher.upstreams), hotFraction)
	loadSufficient := dispatcher.loadSufficient()
	for key, owner := range next.HotKeys {
		_, hasRule := dispatcher.keyRules[key]
		_, stays := staysHot[key]
		// Without load, returning the key to its shard gains nothing.
		if hasRule || !dispatcher.removedRules[key] && (stays || !balance || !loadSufficient) {
			hot[key] = placer.Item{Owner: owner, Load: staysHot[key]}
			continue
		}
		dispatcher.returnToShard(next, key, owner)
	}
	for key, load := range becomesHot {
		owner, isHome := next.Shards[dispatcher.shardOf(key)]
		if _, known := next.HotKeys[key]; !known && isHome && balance && loadSufficient {
			hot[key] = placer.Item{Owner: owner, Load: load}
		}
	}
	for key, rule := range dispatcher.keyRules {
		dispatcher.placePinnedKey(next, hot, key, rule.Upstream, staysHot[key])
	}
	return next
}

// placePinnedKey assigns the key to the upstream of its rule, or lets the
// placer place it if that upstream is not available.
func (dispatcher *Dispatcher) placePinnedKey(next replicator.Assignment, hot map[string]placer.Item, key, name string, load float64) {
	owner, isHome := next.Shards[dispatcher.shardOf(key)]
	if !isHome {
		return
	}
	if pinned := dispatcher.upstreams[name]; pinned != nil && pinned.available() {
		next.HotKeys[key] = name
		delete(hot, key)
		return
	}
	if known, ok := next.HotKeys[key]; ok {
		owner = known
	} else {
		next.HotKeys[key] = owner
	}
	hot[key] = placer.Item{Owner: owner, Load: load}
}

// returnToShard assigns the key to the owner of its shard. Once that upstream
// holds both, the key is no longer assigned separately.
func (dispatcher *Dispatcher) returnToShard(next replicator.Assignment, key, owner string) {
	shard := dispatcher.shardOf(key)
	shardOwner := next.Shards[shard]
	holders := dispatcher.ownership.holders
	if owner == shardOwner && holders[placementUnit{shard: shard, key: key}] == shardOwner && holders[placementUnit{shard: shard}] == shardOwner {
		delete(next.HotKeys, key)
		delete(dispatcher.removedRules, key)
		return
	}
	next.HotKeys[key] = shardOwner
}

// placerInput returns the loads and capacities for the placer.
func (dispatcher *Dispatcher) placerInput(next replicator.Assignment, hot map[string]placer.Item, now time.Time) placer.Input {
	input := placer.Input{Shards: map[uint32]placer.Item{}, HotKeys: hot}
	hotLoad := map[uint32]float64{}
	for key, item := range hot {
		hotLoad[dispatcher.shardOf(key)] += item.Load
	}
	for shard, owner := range next.Shards {
		load := max(dispatcher.loads.shards[shard]-hotLoad[shard], 0)
		input.Shards[shard] = placer.Item{Owner: owner, Load: load}
	}
	for name, upstream := range dispatcher.upstreams {
		input.Upstreams = append(input.Upstreams, placer.Upstream{
			Name: name, Capacity: upstream.capacity(now), Available: upstream.available(),
		})
	}
	slices.SortFunc(input.Upstreams, func(a, b placer.Upstream) int { return strings.Compare(a.Name, b.Name) })
	return input
}

// loadSufficient reports whether the load is high enough for balancing.
func (dispatcher *Dispatcher) loadSufficient() bool {
	slots := 0
	for _, upstream := range dispatcher.upstreams {
		slots += upstream.spec.Slots
	}
	return dispatcher.loads.total() >= minUtilization*loadWindow*float64(slots)
}

// compareSpeeds updates the relative speeds of the upstreams.
func (dispatcher *Dispatcher) compareSpeeds() {
	timesByUpstream := map[string]*serviceTimes{}
	for name, upstream := range dispatcher.upstreams {
		if upstream.health == healthUp {
			timesByUpstream[name] = &upstream.serviceTimes
		}
	}
	for name, relative := range relativeSpeeds(timesByUpstream) {
		upstream := dispatcher.upstreams[name]
		if slow := relative < 1; slow != (upstream.relativeSpeed < 1) {
			kind := map[bool]string{true: "upstreamSlow", false: "upstreamNotSlow"}[slow]
			dispatcher.recordEvent(timeliner.Event{Kind: kind, Upstream: name, Detail: fmt.Sprintf("speed %.2f of the median", relative)})
		}
		upstream.relativeSpeed = relative
	}
}

// applyAssignment puts a replicated assignment into effect and routes the
// queued calls of changed placement units again.
func (dispatcher *Dispatcher) applyAssignment(leaseTerm *leaseTerm, next replicator.Assignment, reasons map[placementUnit]string) {
	changed := dispatcher.ownership.apply(next, dispatcher.shardOf)
	for _, unit := range changed {
		moves.WithLabelValues(reasons[unit]).Inc()
	}
	dispatcher.recordEvent(timeliner.Event{Kind: "assignmentChanged", Detail: fmt.Sprintf("version %d, %d places", next.Version, len(changed))})
	changedSet := map[placementUnit]bool{}
	for _, unit := range changed {
		changedSet[unit] = true
	}
	for _, upstream := range dispatcher.upstreams {
		dispatcher.reroute(upstream, func(call *call) bool {
			unit, _ := dispatcher.ownership.assignedOwner(call.request.Key, call.request.Shard)
			return changedSet[unit]
		})
	}
	leaseTerm.requestPersist()
}

// requestPersist makes persistLoop write the newest assignment.
func (leaseTerm *leaseTerm) requestPersist() {
	select {
	case leaseTerm.persistSignal <- struct{}{}:
	default:
	}
}

// persistLoop writes the newest assignment to the platform after each
// requestPersist, and repeats a write that failed.
func (dispatcher *Dispatcher) persistLoop(leaseTerm *leaseTerm) {
	for {
		select {
		case <-leaseTerm.ctx.Done():
			return
		case <-leaseTerm.persistSignal:
		}
		for dispatcher.Persist != nil && !dispatcher.tryPersist(leaseTerm) {
			if clocker.Sleep(leaseTerm.ctx, dispatcher.Clock, persistInterval) != nil {
				return
			}
		}
		if clocker.Sleep(leaseTerm.ctx, dispatcher.Clock, persistInterval) != nil {
			return
		}
	}
}

// tryPersist writes the current assignment to the platform once, and reports
// whether that succeeded.
func (dispatcher *Dispatcher) tryPersist(leaseTerm *leaseTerm) bool {
	dispatcher.mutex.Lock()
	assignment := dispatcher.ownership.assignment
	dispatcher.mutex.Unlock()
	ctx, cancel := clocker.WithTimeout(leaseTerm.ctx, dispatcher.Clock, persistTimeout)
	defer cancel()
	if err := dispatcher.persist(ctx, assignment); err != nil {
		persistFailures.Inc()
		return false
	}
	return true
}

func (dispatcher *Dispatcher) persist(ctx context.Context, assignment replicator.Assignment) error {
	return dispatcher.Persist(ctx, assignment)
}
