package replicator

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

func drawManagerEvents(t *rapid.T) []event {
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

// managerScenario injects events into a cluster of managers.
type managerScenario struct {
	*managerCluster
	scheduled map[time.Duration][]func()
}

// play advances the cluster by d. Meanwhile it calls the scheduled functions and
// replicates entries.
func (scenario *managerScenario) play(d time.Duration) {
	for range d / step {
		scenario.advance(step)
		now := scenario.clock.Now().Sub(epoch)
		for _, function := range scenario.scheduled[now] {
			function()
		}
		if now%(100*time.Millisecond) == 0 {
			scenario.replicateEntries()
		}
	}
}

// schedule makes play call function after the duration.
func (scenario *managerScenario) schedule(after time.Duration, function func()) {
	at := scenario.clock.Now().Sub(epoch) + (after/step+1)*step
	scenario.scheduled[at] = append(scenario.scheduled[at], function)
}

func (scenario *managerScenario) apply(event event) {
	cluster := scenario.managerCluster
	name := cluster.names[min(event.VM, len(cluster.names)-1)]
	if event.VM == len(cluster.names) && cluster.holder("g") != "" {
		name = cluster.holder("g")
	}
	node := cluster.nodes[name]
	switch event.Kind {
	case "kill":
		scenario.killFor(name, event.For)
	case "isolate":
		cluster.isolate(name, true)
		scenario.schedule(event.For, func() { cluster.isolate(name, false) })
	case "pause":
		cluster.pause(node)
		scenario.schedule(event.For, func() { cluster.unpause(node) })
	case "down":
		cluster.platformMutex.Lock()
		cluster.platformDown = true
		cluster.platformMutex.Unlock()
		scenario.schedule(event.For, func() {
			cluster.platformMutex.Lock()
			cluster.platformDown = false
			cluster.platformMutex.Unlock()
		})
	case "loseWrite":
		cluster.platformMutex.Lock()
		cluster.lostWriteAnswers = 2
		cluster.platformMutex.Unlock()
	case "lossy":
		cluster.update(func() { cluster.loss = 0.2 })
		scenario.schedule(event.For, func() { cluster.update(func() { cluster.loss = 0 }) })
	case "leave":
		cluster.update(func() { cluster.leaving[name] = true })
		cluster.running.Go(func() error { return node.manager.ReleaseAll(node.ctx) })
		scenario.schedule(2*time.Second, func() {
			scenario.killFor(name, event.For)
			cluster.update(func() { cluster.leaving[name] = false })
		})
	}
}

// killFor ends the process of the VM and starts another one after d. The platform's
// list follows each change after 1 s.
func (scenario *managerScenario) killFor(name string, d time.Duration) {
	cluster := scenario.managerCluster
	old := cluster.nodes[name]
	if old.dead {
		return
	}
	cluster.unpause(old)
	cluster.kill(name)
	scenario.schedule(time.Second, func() {
		if cluster.nodes[name] == old {
			cluster.update(func() { cluster.gone[name] = cluster.clock.Now() })
		}
	})
	scenario.schedule(d, func() {
		cluster.boot(name)
		scenario.schedule(time.Second, func() { cluster.update(func() { delete(cluster.gone, name) }) })
	})
}

// Guards against two valid leases, and against acknowledged entries that are missing
// in the state of a later holder without a sign that the group lost its state. VMs
// start and stop, groups are formed and recreated, and the platform fails.
func TestRandomFaultsOfManagers(t *testing.T) {
	var runs, began, acked, recreated int
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		events := drawManagerEvents(r)
		var violations []string
		synctest.Test(t, func(*testing.T) {
			zones := map[string][]string{"z1": {"a", "b", "c"}, "z2": {"x", "y"}}
			scenario := &managerScenario{managerCluster: newManagerCluster(seed, zones, "g"), scheduled: map[time.Duration][]func(){}}
			for _, name := range scenario.names {
				scenario.boot(name)
			}
			scenario.play(2 * time.Second)
			for _, event := range events {
				scenario.play(event.After)
				scenario.apply(event)
			}
			scenario.play(18 * time.Second) // up to 7 s of a fault, 5 s until the group is recreated, and its formation
			if !scenario.allServed() {
				scenario.addViolation("no VM serves the group after the last fault has ended")
			}
			violations = scenario.violations
			runs, began, acked = runs+1, began+scenario.beginCount, acked+len(scenario.acknowledged)
			if !scenario.storedRecord("g").RecreatedAt.IsZero() {
				recreated++
			}
			scenario.stop()
		})
		if len(violations) > 0 {
			r.Fatalf("%d violations, first ones: %s", len(violations), strings.Join(violations[:min(3, len(violations))], "; "))
		}
	})
	t.Logf("%d runs, %d begins, %d acknowledged entries, %d groups recreated", runs, began, acked, recreated)
}
