package replicator

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// event is one fault of a randomized run.
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

// scenario plays the events, with work on every VM that believes to serve, and
// returns the faults that were noticed.
type scenario struct {
	world    *world
	platform Record // the newest record
	heals    map[time.Duration][]func()
	leaving  string
	joining  string
	cleared  int // replacements that were completed
}

func runScenario(t *testing.T, seed uint64, events []event) (faults []string, began, acked, replaced int) {
	synctest.Test(t, func(*testing.T) {
		world := newWorld(seed, "a", "b", "c", "d")
		world.loss, world.duplicate = 0.01, 0.05
		scenario := &scenario{world: world, platform: record(three...), heals: map[time.Duration][]func(){}}
		world.form(scenario.platform)
		scenario.advance(1500 * time.Millisecond)
		for _, event := range events {
			scenario.advance(event.After)
			scenario.apply(event)
		}
		scenario.advance(6 * time.Second)
		if world.serving() == nil {
			world.fault("nobody serves after the last fault was healed")
		}
		faults, began, acked, replaced = world.faults, world.began, len(world.acked), scenario.cleared
		if !world.history.linearizable() {
			faults = append(faults, "the register is not linearizable")
		}
		world.stop()
	})
	return faults, began, acked, replaced
}

func (scenario *scenario) advance(d time.Duration) {
	for range d / step {
		world := scenario.world
		world.run(step)
		now := world.clock.Now().Sub(epoch)
		for _, heal := range scenario.heals[now] {
			heal()
		}
		if now%(50*time.Millisecond) == 0 {
			for _, node := range world.nodes {
				if node.resume == nil {
					world.work(node)
				}
			}
		}
		if now%(100*time.Millisecond) == 0 {
			scenario.proceed()
		}
	}
}

func (scenario *scenario) heal(after time.Duration, function func()) {
	at := scenario.world.clock.Now().Sub(epoch) + (after/step+1)*step
	scenario.heals[at] = append(scenario.heals[at], function)
}

// pick returns a VM by number; the number behind the last one is the holder.
func (scenario *scenario) pick(number int) string {
	names := scenario.world.names
	if number < len(names) {
		return names[number]
	}
	if serving := scenario.world.serving(); serving != nil {
		return serving.name
	}
	return names[0]
}

func (scenario *scenario) apply(event event) {
	world := scenario.world
	name, other := scenario.pick(event.VM), scenario.pick(event.Other)
	node := world.nodes[name]
	switch event.Kind {
	case "pause":
		world.pause(node)
		scenario.heal(event.For, func() { world.unpause(node) })
	case "restart":
		// More than one loss of memory at a time is not tolerated.
		if scenario.allSynchronized() {
			world.start(name, scenario.platform)
		}
	case "isolate":
		world.isolate(name, true)
		scenario.heal(event.For, func() { world.isolate(name, false) })
	case "cutLink":
		world.link(name, other, true)
		scenario.heal(event.For, func() { world.link(name, other, false) })
	case "slow":
		world.set(func() { world.slow[name] = event.For / 10 })
		scenario.heal(event.For, func() { world.set(func() { world.slow[name] = 0 }) })
	case "lossy":
		world.set(func() { world.loss = 0.3 })
		scenario.heal(event.For, func() { world.set(func() { world.loss = 0.01 }) })
	case "release":
		if serving := world.serving(); serving != nil {
			world.running.Go(func() error { return serving.group.Release(serving.ctx, "") })
		}
	case "replace":
		scenario.replace(name)
	}
}

// allSynchronized reports whether every candidate of both lists counts.
func (scenario *scenario) allSynchronized() bool {
	for _, vm := range scenario.platform.members() {
		if !scenario.world.nodes[vm].group.Synchronized() {
			return false
		}
	}
	return true
}

// replace lets the holder invite the VM that is no candidate, to take the place
// of the other one later.
func (scenario *scenario) replace(other string) {
	serving := scenario.world.serving()
	if serving == nil || len(scenario.platform.Previous) > 0 || !slices.Contains(scenario.platform.Candidates, other) {
		return
	}
	for _, joining := range scenario.world.names {
		if !slices.Contains(scenario.platform.Candidates, joining) {
			scenario.leaving, scenario.joining = other, joining
			serving.group.Invite(joining)
			return
		}
	}
}

// proceed takes the next step of a replacement once the holder allows it.
func (scenario *scenario) proceed() {
	serving := scenario.world.serving()
	if serving == nil || serving.group.NewestRecord().Revision != scenario.platform.Revision {
		return
	}
	record := scenario.platform
	switch {
	case len(record.Previous) > 0:
		if serving.group.CandidatesReady() {
			record.Previous = nil
			scenario.write(serving, record)
			scenario.cleared++
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
	scenario.platform = record
	serving.group.Adopt(record)
}

// Guards against two valid leases, terms that fall, acknowledged entries that a
// later holder lacks, and assignments that go back.
func TestRandomFaults(t *testing.T) {
	var runs, began, acked, replaced int
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		events := drawEvents(r)
		faults, begins, acks, replacements := runScenario(t, seed, events)
		runs, began, acked, replaced = runs+1, began+begins, acked+acks, replaced+replacements
		if len(faults) > 0 {
			r.Fatalf("%d faults, first ones: %s", len(faults), strings.Join(faults[:min(3, len(faults))], "; "))
		}
	})
	t.Logf("%d runs, %d begins, %d acknowledged entries, %d candidates replaced", runs, began, acked, replaced)
}
