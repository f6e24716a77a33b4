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
	// planPeriod is the time between two balancing rounds.
	planPeriod = 5 * time.Second
	// trigger and aim are the hysteresis of a balancing round, as max/mean.
	trigger = 1.25
	aim     = 1.1
	// decisionTimeout bounds the copy of an assignment, which is then decided
	// anew.
	decisionTimeout = 500 * time.Millisecond
	// decisionPause follows a copy that failed.
	decisionPause  = 100 * time.Millisecond
	persistTimeout = 2 * time.Second
	// persistPause follows an attempt at the platform, so that many moves make
	// few writes.
	persistPause = time.Second
)

// decisions changes the assignment whenever the state of the upstreams, the
// load or the document asks for it.
func (dispatcher *Dispatcher) decisions(tenure *tenure) {
	for {
		select {
		case <-tenure.ctx.Done():
			return
		case <-tenure.decide:
		}
		if dispatcher.decide(tenure) {
			continue
		}
		if clocker.Sleep(tenure.ctx, dispatcher.Clock, decisionPause) != nil {
			return
		}
		tenure.wake()
	}
}

// decide copies the next assignment and new losses to a majority, and then puts
// the assignment into effect. It returns false when the copy failed.
func (dispatcher *Dispatcher) decide(tenure *tenure) bool {
	next, reasons, entries := dispatcher.proposal(tenure)
	if entries.Assignment == nil && len(entries.Suspects) == 0 {
		return true
	}
	ctx, cancel := clocker.WithTimeout(tenure.ctx, dispatcher.Clock, decisionTimeout)
	defer cancel()
	if err := tenure.lease.Replicate(ctx, entries); err != nil {
		copyFailures.WithLabelValues("assignment").Inc()
		return false
	}
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if dispatcher.tenure != tenure {
		return true
	}
	tenure.unsaved = tenure.unsaved[len(entries.Suspects):]
	dispatcher.wakeAll()
	if entries.Assignment != nil {
		dispatcher.effect(tenure, next, reasons)
	}
	return true
}

// proposal returns the next assignment with the reason of each move, and the
// entries to copy. The entries are empty when nothing changes.
func (dispatcher *Dispatcher) proposal(tenure *tenure) (replicator.Assignment, map[place]string, replicator.Entries) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	var entries replicator.Entries
	if dispatcher.tenure != tenure {
		return replicator.Assignment{}, nil, entries
	}
	entries.Suspects = slices.Clone(tenure.unsaved)
	next, reasons := dispatcher.plan(tenure)
	if sameAssignment(next, dispatcher.ownership.assignment) {
		return next, nil, entries
	}
	tenure.proposed = max(tenure.proposed, next.Version) + 1
	next.Term, next.Version = tenure.term, tenure.proposed
	entries.Assignment = &next
	return next, reasons, entries
}

func sameAssignment(a, b replicator.Assignment) bool {
	return maps.Equal(a.Shards, b.Shards) && maps.Equal(a.HotKeys, b.HotKeys)
}

// plan returns the assignment as it should be.
func (dispatcher *Dispatcher) plan(tenure *tenure) (replicator.Assignment, map[place]string) {
	now := dispatcher.Clock.Now()
	balance := now.Sub(tenure.planned) >= planPeriod
	next := dispatcher.withHomes()
	hot := map[string]placer.Item{}
	if balance {
		tenure.planned = now
		dispatcher.compareSpeeds()
	}
	next = dispatcher.withKeyRules(next, hot, balance)
	input := dispatcher.input(next, hot, now)
	input.Trigger, input.Target = math.Inf(1), aim
	if balance && dispatcher.busy() {
		input.Trigger = trigger
	}
	if balance {
		dispatcher.loads.decay()
	}
	reasons := map[place]string{}
	for _, move := range placer.Plan(input) {
		moved := place{shard: move.Shard, key: move.HotKey}
		if move.HotKey != "" {
			moved.shard = dispatcher.shardOf(move.HotKey)
			next.HotKeys[move.HotKey] = move.To
		} else {
			next.Shards[move.Shard] = move.To
		}
		reasons[moved] = dispatcher.reason(move.From)
	}
	return next, reasons
}

// reason tells why a place leaves an upstream.
func (dispatcher *Dispatcher) reason(from string) string {
	upstream := dispatcher.upstreams[from]
	switch {
	case from == "":
		return "new"
	case upstream == nil:
		return "removed"
	case upstream.health == lost:
		return "lost"
	case upstream.draining():
		return "drain"
	}
	return "balance"
}

// withHomes returns a copy of the assignment in effect with exactly the shards
// that are homed here.
func (dispatcher *Dispatcher) withHomes() replicator.Assignment {
	next := dispatcher.ownership.assignment
	next.Shards, next.HotKeys = cloned(next.Shards), cloned(next.HotKeys)
	if dispatcher.homes == nil {
		return next
	}
	for shard := range dispatcher.homes {
		if _, ok := next.Shards[shard]; !ok {
			next.Shards[shard] = ""
		}
	}
	maps.DeleteFunc(next.Shards, func(shard uint32, _ string) bool { return !dispatcher.homes[shard] })
	maps.DeleteFunc(next.HotKeys, func(key, _ string) bool { return !dispatcher.homes[dispatcher.shardOf(key)] })
	return next
}

// withKeyRules places the pinned keys, and adds the keys that the placer shall
// place apart from their shard to hot.
func (dispatcher *Dispatcher) withKeyRules(next replicator.Assignment, hot map[string]placer.Item, balance bool) replicator.Assignment {
	found := dispatcher.loads.hot(len(dispatcher.upstreams), hotFraction/2)
	enters := dispatcher.loads.hot(len(dispatcher.upstreams), hotFraction)
	busy := dispatcher.busy()
	for key, owner := range next.HotKeys {
		_, ruled := dispatcher.pins[key]
		_, warm := found[key]
		// A move back without load has no gain.
		if ruled || !dispatcher.unpinned[key] && (warm || !balance || !busy) {
			hot[key] = placer.Item{Owner: owner, Load: found[key]}
			continue
		}
		dispatcher.cool(next, key, owner)
	}
	for key, load := range enters {
		owner, homed := next.Shards[dispatcher.shardOf(key)]
		if _, known := next.HotKeys[key]; !known && homed && balance && busy {
			hot[key] = placer.Item{Owner: owner, Load: load}
		}
	}
	for key, rule := range dispatcher.pins {
		dispatcher.pin(next, hot, key, rule.Upstream, found[key])
	}
	return next
}

// pin gives the key to the upstream of its rule while that is available.
func (dispatcher *Dispatcher) pin(next replicator.Assignment, hot map[string]placer.Item, key, name string, load float64) {
	owner, homed := next.Shards[dispatcher.shardOf(key)]
	if !homed {
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

// cool returns a key to the owner of its shard, and forgets it once that has
// taken effect.
func (dispatcher *Dispatcher) cool(next replicator.Assignment, key, owner string) {
	shard := dispatcher.shardOf(key)
	home := next.Shards[shard]
	held := dispatcher.ownership.held
	if owner == home && held[place{shard: shard, key: key}] == home && held[place{shard: shard}] == home {
		delete(next.HotKeys, key)
		delete(dispatcher.unpinned, key)
		return
	}
	next.HotKeys[key] = home
}

func (dispatcher *Dispatcher) input(next replicator.Assignment, hot map[string]placer.Item, now time.Time) placer.Input {
	input := placer.Input{Shards: map[uint32]placer.Item{}, HotKeys: hot}
	apart := map[uint32]float64{}
	for key, item := range hot {
		apart[dispatcher.shardOf(key)] += item.Load
	}
	for shard, owner := range next.Shards {
		load := max(dispatcher.loads.shards[shard]-apart[shard], 0)
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

// busy reports whether the load is large enough for a comparison.
func (dispatcher *Dispatcher) busy() bool {
	slots := 0
	for _, upstream := range dispatcher.upstreams {
		slots += upstream.spec.Slots
	}
	return dispatcher.loads.total() >= minUtilization*loadWindow*float64(slots)
}

func (dispatcher *Dispatcher) compareSpeeds() {
	speeds := map[string]*speed{}
	for name, upstream := range dispatcher.upstreams {
		if upstream.health == up {
			speeds[name] = &upstream.speed
		}
	}
	for name, relative := range relativeSpeeds(speeds) {
		upstream := dispatcher.upstreams[name]
		if slow := relative < 1; slow != (upstream.relative < 1) {
			kind := map[bool]string{true: "upstreamSlow", false: "upstreamNotSlow"}[slow]
			dispatcher.record(timeliner.Event{Kind: kind, Upstream: name, Detail: fmt.Sprintf("speed %.2f of the median", relative)})
		}
		upstream.relative = relative
	}
}

// effect puts a copied assignment into effect.
func (dispatcher *Dispatcher) effect(tenure *tenure, next replicator.Assignment, reasons map[place]string) {
	changed := dispatcher.ownership.apply(next, dispatcher.shardOf)
	for _, place := range changed {
		moves.WithLabelValues(reasons[place]).Inc()
	}
	dispatcher.record(timeliner.Event{Kind: "assignmentChanged", Detail: fmt.Sprintf("version %d, %d places", next.Version, len(changed))})
	concerned := map[place]bool{}
	for _, place := range changed {
		concerned[place] = true
	}
	for _, upstream := range dispatcher.upstreams {
		dispatcher.reroute(upstream, func(ticket *ticket) bool {
			place, _ := dispatcher.ownership.target(ticket.request.Key, ticket.request.Shard)
			return concerned[place]
		})
	}
	tenure.offer()
}

// offer lets the platform have the newest assignment.
func (tenure *tenure) offer() {
	select {
	case tenure.persist <- struct{}{}:
	default:
	}
}

// persisting offers the newest assignment to the platform until it is stored.
func (dispatcher *Dispatcher) persisting(tenure *tenure) {
	for {
		select {
		case <-tenure.ctx.Done():
			return
		case <-tenure.persist:
		}
		for dispatcher.Persist != nil && !dispatcher.store(tenure) {
			if clocker.Sleep(tenure.ctx, dispatcher.Clock, persistPause) != nil {
				return
			}
		}
		if clocker.Sleep(tenure.ctx, dispatcher.Clock, persistPause) != nil {
			return
		}
	}
}

func (dispatcher *Dispatcher) store(tenure *tenure) bool {
	dispatcher.mutex.Lock()
	assignment := dispatcher.ownership.assignment
	dispatcher.mutex.Unlock()
	ctx, cancel := clocker.WithTimeout(tenure.ctx, dispatcher.Clock, persistTimeout)
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
