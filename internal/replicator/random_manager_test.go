package replicator

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

func drawFleetEvents(t *rapid.T) []event {
	kinds := []string{"kill", "kill", "isolate", "pause", "down", "loseWrite", "leave", "lossy"}
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
		return event{
			After: time.Duration(rapid.IntRange(0, 3000).Draw(t, "after")) * time.Millisecond,
			Kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
			VM:    rapid.IntRange(0, 5).Draw(t, "vm"),
			For:   time.Duration(rapid.IntRange(0, 7000).Draw(t, "for")) * time.Millisecond,
		}
	}), 2, 8).Draw(t, "events")
}

// fleetScenario plays events against a fleet.
type fleetScenario struct {
	*fleet
	heals map[time.Duration][]func()
}

func (scenario *fleetScenario) play(d time.Duration) {
	for range d / step {
		scenario.advance(step)
		now := scenario.clock.Now().Sub(epoch)
		for _, heal := range scenario.heals[now] {
			heal()
		}
		if now%(100*time.Millisecond) == 0 {
			scenario.copySome()
		}
	}
}

func (scenario *fleetScenario) later(after time.Duration, function func()) {
	at := scenario.clock.Now().Sub(epoch) + (after/step+1)*step
	scenario.heals[at] = append(scenario.heals[at], function)
}

func (scenario *fleetScenario) apply(event event) {
	fleet := scenario.fleet
	name := fleet.names[min(event.VM, len(fleet.names)-1)]
	if event.VM == len(fleet.names) && fleet.holder("g") != "" {
		name = fleet.holder("g")
	}
	node := fleet.nodes[name]
	switch event.Kind {
	case "kill":
		scenario.killFor(name, event.For)
	case "isolate":
		fleet.isolate(name, true)
		scenario.later(event.For, func() { fleet.isolate(name, false) })
	case "pause":
		fleet.pause(node)
		scenario.later(event.For, func() { fleet.unpause(node) })
	case "down":
		fleet.platform.Lock()
		fleet.down = true
		fleet.platform.Unlock()
		scenario.later(event.For, func() {
			fleet.platform.Lock()
			fleet.down = false
			fleet.platform.Unlock()
		})
	case "loseWrite":
		fleet.platform.Lock()
		fleet.loseWrite = 2
		fleet.platform.Unlock()
	case "lossy":
		fleet.set(func() { fleet.loss = 0.2 })
		scenario.later(event.For, func() { fleet.set(func() { fleet.loss = 0 }) })
	case "leave":
		fleet.set(func() { fleet.leaving[name] = true })
		fleet.running.Go(func() error { return node.manager.ReleaseAll(node.ctx) })
		scenario.later(2*time.Second, func() {
			scenario.killFor(name, event.For)
			fleet.set(func() { fleet.leaving[name] = false })
		})
	}
}

// killFor ends the process and starts another one later. The platform's list
// notices both with a delay of 1 s.
func (scenario *fleetScenario) killFor(name string, d time.Duration) {
	fleet := scenario.fleet
	old := fleet.nodes[name]
	if old.dead {
		return
	}
	fleet.unpause(old)
	fleet.kill(name)
	scenario.later(time.Second, func() {
		if fleet.nodes[name] == old {
			fleet.set(func() { fleet.gone[name] = fleet.clock.Now() })
		}
	})
	scenario.later(d, func() {
		fleet.boot(name)
		scenario.later(time.Second, func() { fleet.set(func() { delete(fleet.gone, name) }) })
	})
}

// Guards against two valid leases, and against acknowledged entries that a later
// holder lacks without knowing that the memory of the group was lost, when VMs
// come and go, groups are formed and formed anew, and the platform fails.
func TestRandomFaultsOfManagers(t *testing.T) {
	var runs, began, acked, formed int
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		events := drawFleetEvents(r)
		var faults []string
		synctest.Test(t, func(*testing.T) {
			zones := map[string][]string{"z1": {"a", "b", "c"}, "z2": {"x", "y"}}
			scenario := &fleetScenario{fleet: newFleet(seed, zones, "g"), heals: map[time.Duration][]func(){}}
			for _, name := range scenario.names {
				scenario.boot(name)
			}
			scenario.play(2 * time.Second)
			for _, event := range events {
				scenario.play(event.After)
				scenario.apply(event)
			}
			scenario.play(18 * time.Second) // up to 7 s of a fault, 5 s of loss, and a formation
			if !scenario.served() {
				scenario.fault("nobody serves after the last fault was healed")
			}
			faults = scenario.faults
			runs, began, acked = runs+1, began+scenario.began, acked+len(scenario.acked)
			if !scenario.stored("g").RecreatedAt.IsZero() {
				formed++
			}
			scenario.stop()
		})
		if len(faults) > 0 {
			r.Fatalf("%d faults, first ones: %s", len(faults), strings.Join(faults[:min(3, len(faults))], "; "))
		}
	})
	t.Logf("%d runs, %d begins, %d acknowledged entries, %d groups formed anew", runs, began, acked, formed)
}
