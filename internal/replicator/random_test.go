package replicator

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// event is a fault to inject in a randomized run.
type event struct {
	After time.Duration
	Kind  string
	VM    int
	Other int
	For   time.Duration
}

func drawEvents(t *rapid.T) []event {
	kinds := []string{"pause", "restart", "isolate", "cutLink", "slow", "release", "lossy", "replace"}
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
		return event{
			After: time.Duration(rapid.IntRange(0, 1000).Draw(t, "after")) * time.Millisecond,
			Kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
			VM:    rapid.IntRange(0, 4).Draw(t, "vm"),
			Other: rapid.IntRange(0, 4).Draw(t, "other"),
			For:   time.Duration(rapid.IntRange(0, 2500).Draw(t, "for")) * time.Millisecond,
		}
	}), 5, 20).Draw(t, "events")
}

// scenario injects the events into a cluster, in which every VM that considers
// itself the holder replicates entries, and replaces candidates.
type scenario struct {
	cluster      *cluster
	record       Record // as stored on the platform
	scheduled    map[time.Duration][]func()
	leaving      string
	joining      string
	replacements int // number of completed replacements
}

// runScenario runs the events and returns the violations and counts of what happened.
func runScenario(t *testing.T, seed uint64, events []event) (violations []string, began, acked, replaced int) {
	synctest.Test(t, func(*testing.T) {
		cluster := newCluster(seed, "a", "b", "c", "d")
		cluster.loss, cluster.duplicate = 0.01, 0.05
		scenario := &scenario{cluster: cluster, record: record(threeVMs...), scheduled: map[time.Duration][]func(){}}
		cluster.startFormed(scenario.record)
		scenario.advance(1500 * time.Millisecond)
		for _, event := range events {
			scenario.advance(event.After)
			scenario.apply(event)
		}
		scenario.advance(6 * time.Second)
		if cluster.servingNode() == nil {
			cluster.addViolation("no VM serves the group after the last fault has ended")
		}
		violations, began, acked, replaced = cluster.violations, cluster.beginCount, len(cluster.acknowledged), scenario.replacements
		if !cluster.history.linearizable() {
			violations = append(violations, "the register is not linearizable")
		}
		cluster.stop()
	})
	return violations, began, acked, replaced
}

func (scenario *scenario) advance(d time.Duration) {
	for range d / step {
		cluster := scenario.cluster
		cluster.run(step)
		now := cluster.clock.Now().Sub(epoch)
		for _, function := range scenario.scheduled[now] {
			function()
		}
		if now%(50*time.Millisecond) == 0 {
			for _, node := range cluster.nodes {
				if node.resume == nil {
					cluster.replicateEntry(node)
				}
			}
		}
		if now%(100*time.Millisecond) == 0 {
			scenario.continueReplacement()
		}
	}
}

func (scenario *scenario) schedule(after time.Duration, function func()) {
	at := scenario.cluster.clock.Now().Sub(epoch) + (after/step+1)*step
	scenario.scheduled[at] = append(scenario.scheduled[at], function)
}

// pickVM returns the VM with the number. The number after the last one stands for
// the holder.
func (scenario *scenario) pickVM(number int) string {
	names := scenario.cluster.names
	if number < len(names) {
		return names[number]
	}
	if serving := scenario.cluster.servingNode(); serving != nil {
		return serving.name
	}
	return names[0]
}

func (scenario *scenario) apply(event event) {
	cluster := scenario.cluster
	name, other := scenario.pickVM(event.VM), scenario.pickVM(event.Other)
	node := cluster.nodes[name]
	switch event.Kind {
	case "pause":
		cluster.pause(node)
		scenario.schedule(event.For, func() { cluster.unpause(node) })
	case "restart":
		// The loss of the state of more than one candidate at a time is not tolerated.
		if scenario.allSynchronized() {
			cluster.start(name, scenario.record)
		}
	case "isolate":
		cluster.isolate(name, true)
		scenario.schedule(event.For, func() { cluster.isolate(name, false) })
	case "cutLink":
		cluster.setCut(name, other, true)
		scenario.schedule(event.For, func() { cluster.setCut(name, other, false) })
	case "slow":
		cluster.update(func() { cluster.slow[name] = event.For / 10 })
		scenario.schedule(event.For, func() { cluster.update(func() { cluster.slow[name] = 0 }) })
	case "lossy":
		cluster.update(func() { cluster.loss = 0.3 })
		scenario.schedule(event.For, func() { cluster.update(func() { cluster.loss = 0.01 }) })
	case "release":
		if serving := cluster.servingNode(); serving != nil {
			cluster.running.Go(func() error { return serving.group.Release(serving.ctx, "") })
		}
	case "replace":
		scenario.replace(name)
	}
}

// allSynchronized reports whether all candidates of both lists are synchronized.
func (scenario *scenario) allSynchronized() bool {
	for _, vm := range scenario.record.members() {
		if !scenario.cluster.nodes[vm].group.Synchronized() {
			return false
		}
	}
	return true
}

// replace lets the holder invite the VM that is not a candidate. It takes the place
// of other once it can join.
func (scenario *scenario) replace(other string) {
	serving := scenario.cluster.servingNode()
	if serving == nil || len(scenario.record.Previous) > 0 || !slices.Contains(scenario.record.Candidates, other) {
		return
	}
	for _, joining := range scenario.cluster.names {
		if !slices.Contains(scenario.record.Candidates, joining) {
			scenario.leaving, scenario.joining = other, joining
			serving.group.Invite(joining)
			return
		}
	}
}

// continueReplacement writes the next record of a replacement once the holder is
// ready for it.
func (scenario *scenario) continueReplacement() {
	serving := scenario.cluster.servingNode()
	if serving == nil || serving.group.NewestRecord().Revision != scenario.record.Revision {
		return
	}
	record := scenario.record
	switch {
	case len(record.Previous) > 0:
		if serving.group.CandidatesReady() {
			record.Previous = nil
			scenario.write(serving, record)
			scenario.replacements++
		}
	case scenario.joining != "" && serving.name != scenario.leaving && serving.group.CanJoin(scenario.joining):
		record.Previous = record.Candidates
		record.Candidates = slices.Clone(record.Candidates)
		record.Candidates[slices.Index(record.Candidates, scenario.leaving)] = scenario.joining
		scenario.joining = ""
		scenario.write(serving, record)
	}
}

func (scenario *scenario) write(serving *node, record Record) {
	record.Revision++
	scenario.record = record
	serving.group.Adopt(record)
}

// Guards against two valid leases, terms that decrease, acknowledged entries that are
// missing in the state of a later holder, and assignments that return to an older
// version, under random faults.
func TestRandomFaults(t *testing.T) {
	var runs, began, acked, replaced int
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		events := drawEvents(r)
		violations, begins, acks, replacements := runScenario(t, seed, events)
		runs, began, acked, replaced = runs+1, began+begins, acked+acks, replaced+replacements
		if len(violations) > 0 {
			r.Fatalf("%d violations, first ones: %s", len(violations), strings.Join(violations[:min(3, len(violations))], "; "))
		}
	})
	t.Logf("%d runs, %d begins, %d acknowledged entries, %d candidates replaced", runs, began, acked, replaced)
}
