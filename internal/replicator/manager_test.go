package replicator

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/platformer"
)

// Guards against groups that are not formed, holders that do not spread, and
// writes or reads of the platform while nothing changes.
func TestManagersFormGroups(t *testing.T) {
	groups := []string{"quotes.z1.0", "bookings.z1.0", "labels.z1.0", "manifests.z1.0", "stock.z1.0", "dispatch.z1.0"}
	inFleet(t, twoZones, groups, func(t *testing.T, fleet *fleet) {
		took := fleet.advanceUntil(5*time.Second, fleet.served)
		t.Logf("served after %v, with %d writes and %d reads", took, fleet.writes, fleet.reads)
		holders := map[string]int{}
		for _, id := range groups {
			record := fleet.stored(id)
			assert.Equal(t, len(record.Candidates), 3)
			assert.Assert(t, slices.Contains(record.Candidates, "a") && slices.Contains(record.Candidates, "b"))
			holders[fleet.holder(id)]++
		}
		assert.Assert(t, holders["a"] > 0 && holders["b"] > 0, "holders: %v", holders)
		writes, reads := fleet.writes, fleet.reads
		assert.Equal(t, writes, len(groups))
		fleet.advance(20 * time.Second)
		assert.Equal(t, fleet.writes, writes)
		assert.Equal(t, fleet.reads, reads)
	})
}

// Guards against a second formation, and a group that nobody founds, after the
// answer of the record's write was lost.
func TestLostAnswerOfTheRecordsWrite(t *testing.T) {
	inFleet(t, oneZone, []string{"g"}, func(t *testing.T, fleet *fleet) {
		fleet.loseWrite = 1
		fleet.advanceUntil(5*time.Second, fleet.served)
		assert.Equal(t, fleet.stored("g").Revision, uint64(1))
		assert.Equal(t, fleet.writes, 1)
	})
}

// Guards against a dead candidate that stays, a replacement that interrupts the
// service, and more than the two writes that it needs.
func TestDeadCandidateIsReplaced(t *testing.T) {
	for _, lost := range []int{0, 2} {
		inFleet(t, oneZone, []string{"g"}, func(t *testing.T, fleet *fleet) {
			fleet.advanceUntil(5*time.Second, fleet.served)
			holder := fleet.holder("g")
			before := fleet.stored("g")
			victim := before.Candidates[2]
			fleet.loseWrite = lost
			fleet.kill(victim)
			settled := func() bool {
				record := fleet.stored("g")
				return len(record.Previous) == 0 && !slices.Contains(record.Candidates, victim)
			}
			took := fleet.advanceUntil(10*time.Second, settled)
			t.Logf("replaced after %v", took)
			assert.Equal(t, fleet.holder("g"), holder)
			assert.Equal(t, fleet.stored("g").Revision, before.Revision+2)
			fleet.advance(2 * time.Second)
			assert.Equal(t, fleet.writes, 3)
			for _, vm := range fleet.stored("g").Candidates {
				group, ok := fleet.nodes[vm].manager.Group("g")
				assert.Assert(t, ok && group.Synchronized())
			}
		})
	}
}

// Guards against a planned stop that leaves groups without a holder for long, or
// a leaving VM that stays a candidate.
func TestReleaseAllAndReplaceTheLeavingVM(t *testing.T) {
	inFleet(t, oneZone, []string{"g", "h"}, func(t *testing.T, fleet *fleet) {
		fleet.advanceUntil(5*time.Second, fleet.served)
		fleet.advance(time.Second)
		vm := fleet.holder("g")
		fleet.set(func() { fleet.leaving[vm] = true })
		var released error
		done := false
		fleet.running.Go(func() error {
			released = fleet.nodes[vm].manager.ReleaseAll(fleet.nodes[vm].ctx)
			fleet.set(func() { done = true })
			return nil
		})
		took := fleet.advanceUntil(time.Second, func() bool { return fleet.holder("g") != vm && fleet.served() })
		t.Logf("served by a successor after %v", took)
		assert.Assert(t, took < 100*time.Millisecond)
		fleet.advance(200 * time.Millisecond)
		fleet.set(func() { assert.Assert(t, done) })
		assert.NilError(t, released)
		fleet.advanceUntil(5*time.Second, func() bool {
			record := fleet.stored("g")
			return len(record.Previous) == 0 && !slices.Contains(record.Candidates, vm)
		})
		fleet.kill(vm)
		fleet.advance(time.Second)
		assert.Assert(t, fleet.served())
	})
}

// Guards against a group that is not formed anew when all candidates are gone,
// and against a new group that hides that its memory is lost.
func TestAllCandidatesLost(t *testing.T) {
	zones := map[string][]string{"z1": {"a", "b", "c", "d"}, "z2": {"x", "y"}}
	inFleet(t, zones, []string{"g"}, func(t *testing.T, fleet *fleet) {
		fleet.advanceUntil(5*time.Second, fleet.served)
		before := fleet.stored("g")
		fleet.platform.Lock()
		fleet.objects["assignments/g"] = platformer.Object{Value: []byte(`{"term":4,"version":9,"shards":{"1":"u"}}`)}
		fleet.platform.Unlock()
		for _, vm := range before.Candidates {
			fleet.kill(vm)
			fleet.set(func() { fleet.gone[vm] = fleet.clock.Now() })
		}
		took := fleet.advanceUntil(20*time.Second, fleet.served)
		t.Logf("served again after %v", took)
		after := fleet.stored("g")
		assert.Equal(t, after.BaseTerm, before.BaseTerm+termStep)
		assert.Assert(t, !after.RecreatedAt.IsZero())
		state := fleet.states["g"]
		assert.Assert(t, !state.StateLostAt.IsZero())
		assert.Equal(t, state.Assignment.Shards[1], "u")
	})
}

// Guards against a group that stays without a holder after all its VMs have
// restarted and none of them has the state.
func TestAllCandidatesRestarted(t *testing.T) {
	inFleet(t, twoZones, []string{"g"}, func(t *testing.T, fleet *fleet) {
		fleet.advanceUntil(5*time.Second, fleet.served)
		for _, vm := range fleet.names {
			fleet.kill(vm)
		}
		for _, vm := range fleet.names {
			fleet.boot(vm)
		}
		took := fleet.advanceUntil(20*time.Second, fleet.served)
		t.Logf("served again after %v", took)
		assert.Assert(t, !fleet.stored("g").RecreatedAt.IsZero())
		assert.Equal(t, fleet.stored("g").Revision, uint64(2))
	})
}

// Guards against a loss of the holder that needs the platform.
func TestTakeoverWhileThePlatformIsDown(t *testing.T) {
	inFleet(t, oneZone, []string{"g"}, func(t *testing.T, fleet *fleet) {
		fleet.advanceUntil(5*time.Second, fleet.served)
		fleet.advance(time.Second)
		fleet.platform.Lock()
		fleet.down = true
		fleet.platform.Unlock()
		fleet.kill(fleet.holder("g"))
		took := fleet.advanceUntil(2*time.Second, fleet.served)
		t.Logf("served again after %v", took)
		fleet.advance(10 * time.Second)
		assert.Assert(t, fleet.served())
	})
}

// Guards against a group that a single VM serves and that is not extended when
// more VMs come.
func TestGroupGrows(t *testing.T) {
	inFleet(t, map[string][]string{"z1": {"a"}}, []string{"g"}, func(t *testing.T, fleet *fleet) {
		fleet.advanceUntil(5*time.Second, fleet.served)
		fleet.names = append(fleet.names, "b", "c")
		fleet.platform.Lock()
		fleet.zones = map[string][]string{"z1": {"a", "b", "c"}}
		fleet.platform.Unlock()
		fleet.boot("b")
		fleet.boot("c")
		gap := time.Duration(0)
		for range 3 * time.Second / step {
			fleet.advance(step)
			if !fleet.served() {
				gap += step
			}
		}
		assert.Equal(t, gap, time.Duration(0))
		record := fleet.stored("g")
		assert.Assert(t, len(record.Candidates) == 3 && len(record.Previous) == 0, "%v", record)
	})
}

// Guards against a replacement that waits forever for a VM that is unreachable or
// dies while it joins.
func TestReplacementThatDoesNotBecomeReady(t *testing.T) {
	zones := map[string][]string{"z1": {"a", "b", "c", "d", "e"}}
	for _, when := range []string{"unreachable", "dies"} {
		inFleet(t, zones, []string{"g"}, func(t *testing.T, fleet *fleet) {
			fleet.advanceUntil(5*time.Second, fleet.served)
			holder, before := fleet.holder("g"), fleet.stored("g")
			victim := before.Candidates[2]
			spare := slices.DeleteFunc(fleet.nodes[holder].manager.order(fleet.specs[0]), func(vm string) bool {
				return slices.Contains(before.Candidates, vm)
			})
			if when == "unreachable" {
				fleet.isolate(spare[0], true)
			}
			fleet.kill(victim)
			if when == "dies" {
				fleet.advanceUntil(10*time.Second, func() bool { return len(fleet.stored("g").Previous) > 0 })
				fleet.kill(spare[0])
			}
			took := fleet.advanceUntil(20*time.Second, func() bool {
				record := fleet.stored("g")
				return len(record.Previous) == 0 && slices.Contains(record.Candidates, spare[1])
			})
			t.Logf("%s: replaced after another %v", when, took)
			assert.Equal(t, fleet.holder("g"), holder)
		})
	}
}

// Guards against a VM that becomes holder while it stops.
func TestRetiredVMDoesNotServe(t *testing.T) {
	inFleet(t, oneZone, []string{"g"}, func(t *testing.T, fleet *fleet) {
		fleet.advanceUntil(5*time.Second, func() bool { return fleet.stored("g").Revision == 1 })
		first := fleet.stored("g").Candidates[0]
		assert.NilError(t, fleet.nodes[first].manager.ReleaseAll(t.Context()))
		fleet.advanceUntil(5*time.Second, fleet.served)
		assert.Assert(t, fleet.holder("g") != first)
	})
}
