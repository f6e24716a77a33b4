package replicator

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/platformer"
)

// Guards against groups that are not formed, groups that are all held by the same VM,
// and calls to the platform while nothing changes.
func TestManagersFormGroups(t *testing.T) {
	groups := []string{"quotes.z1.0", "bookings.z1.0", "labels.z1.0", "manifests.z1.0", "stock.z1.0", "dispatch.z1.0"}
	withManagers(t, twoZones, groups, func(t *testing.T, cluster *managerCluster) {
		took := cluster.advanceUntil(5*time.Second, cluster.allServed)
		t.Logf("served after %v, with %d writes and %d reads", took, cluster.writes, cluster.reads)
		holders := map[string]int{}
		for _, id := range groups {
			record := cluster.storedRecord(id)
			assert.Equal(t, len(record.Candidates), 3)
			assert.Assert(t, slices.Contains(record.Candidates, "a") && slices.Contains(record.Candidates, "b"))
			holders[cluster.holder(id)]++
		}
		assert.Assert(t, holders["a"] > 0 && holders["b"] > 0, "holders: %v", holders)
		writes, reads := cluster.writes, cluster.reads
		assert.Equal(t, writes, len(groups))
		cluster.advance(20 * time.Second)
		assert.Equal(t, cluster.writes, writes)
		assert.Equal(t, cluster.reads, reads)
	})
}

// Guards against a group that is formed twice, or whose candidates never receive the
// initial state, after the answer to the write of the record was lost.
func TestRecordWriteWithLostAnswer(t *testing.T) {
	withManagers(t, oneZone, []string{"g"}, func(t *testing.T, cluster *managerCluster) {
		cluster.lostWriteAnswers = 1
		cluster.advanceUntil(5*time.Second, cluster.allServed)
		assert.Equal(t, cluster.storedRecord("g").Revision, uint64(1))
		assert.Equal(t, cluster.writes, 1)
	})
}

// Guards against a dead candidate that is not replaced, a replacement that
// interrupts the holder, and one that takes more than two writes.
func TestDeadCandidateIsReplaced(t *testing.T) {
	for _, lost := range []int{0, 2} {
		withManagers(t, oneZone, []string{"g"}, func(t *testing.T, cluster *managerCluster) {
			cluster.advanceUntil(5*time.Second, cluster.allServed)
			holder := cluster.holder("g")
			before := cluster.storedRecord("g")
			victim := before.Candidates[2]
			cluster.lostWriteAnswers = lost
			cluster.kill(victim)
			settled := func() bool {
				record := cluster.storedRecord("g")
				return len(record.Previous) == 0 && !slices.Contains(record.Candidates, victim)
			}
			took := cluster.advanceUntil(10*time.Second, settled)
			t.Logf("replaced after %v", took)
			assert.Equal(t, cluster.holder("g"), holder)
			assert.Equal(t, cluster.storedRecord("g").Revision, before.Revision+2)
			cluster.advance(2 * time.Second)
			assert.Equal(t, cluster.writes, 3)
			for _, vm := range cluster.storedRecord("g").Candidates {
				group, ok := cluster.nodes[vm].manager.Group("g")
				assert.Assert(t, ok && group.Synchronized())
			}
		})
	}
}

// Guards against a planned stop that leaves groups without a holder for long, and
// against a stopping VM that remains a candidate.
func TestReleaseAllAndReplaceTheLeavingVM(t *testing.T) {
	withManagers(t, oneZone, []string{"g", "h"}, func(t *testing.T, cluster *managerCluster) {
		cluster.advanceUntil(5*time.Second, cluster.allServed)
		cluster.advance(time.Second)
		vm := cluster.holder("g")
		cluster.update(func() { cluster.leaving[vm] = true })
		var released error
		done := false
		cluster.running.Go(func() error {
			released = cluster.nodes[vm].manager.ReleaseAll(cluster.nodes[vm].ctx)
			cluster.update(func() { done = true })
			return nil
		})
		took := cluster.advanceUntil(time.Second, func() bool { return cluster.holder("g") != vm && cluster.allServed() })
		t.Logf("served by a successor after %v", took)
		assert.Assert(t, took < 100*time.Millisecond)
		cluster.advance(200 * time.Millisecond)
		cluster.update(func() { assert.Assert(t, done) })
		assert.NilError(t, released)
		cluster.advanceUntil(5*time.Second, func() bool {
			record := cluster.storedRecord("g")
			return len(record.Previous) == 0 && !slices.Contains(record.Candidates, vm)
		})
		cluster.kill(vm)
		cluster.advance(time.Second)
		assert.Assert(t, cluster.allServed())
	})
}

// Guards against a group that is not recreated after the loss of all candidates, and
// against a recreated group whose state does not tell of the loss.
func TestAllCandidatesLost(t *testing.T) {
	zones := map[string][]string{"z1": {"a", "b", "c", "d"}, "z2": {"x", "y"}}
	withManagers(t, zones, []string{"g"}, func(t *testing.T, cluster *managerCluster) {
		cluster.advanceUntil(5*time.Second, cluster.allServed)
		before := cluster.storedRecord("g")
		cluster.platformMutex.Lock()
		cluster.objects["assignments/g"] = platformer.Object{Value: []byte(`{"term":4,"version":9,"shards":{"1":"u"}}`)}
		cluster.platformMutex.Unlock()
		for _, vm := range before.Candidates {
			cluster.kill(vm)
			cluster.update(func() { cluster.gone[vm] = cluster.clock.Now() })
		}
		took := cluster.advanceUntil(20*time.Second, cluster.allServed)
		t.Logf("served again after %v", took)
		after := cluster.storedRecord("g")
		assert.Equal(t, after.BaseTerm, before.BaseTerm+recreationTermStep)
		assert.Assert(t, !after.RecreatedAt.IsZero())
		state := cluster.states["g"]
		assert.Assert(t, !state.StateLostAt.IsZero())
		assert.Equal(t, state.Assignment.Shards[1], "u")
	})
}

// Guards against a group that has no holder any more after all its candidates have
// restarted, so that none of them has the state.
func TestAllCandidatesRestarted(t *testing.T) {
	withManagers(t, twoZones, []string{"g"}, func(t *testing.T, cluster *managerCluster) {
		cluster.advanceUntil(5*time.Second, cluster.allServed)
		for _, vm := range cluster.names {
			cluster.kill(vm)
		}
		for _, vm := range cluster.names {
			cluster.boot(vm)
		}
		took := cluster.advanceUntil(20*time.Second, cluster.allServed)
		t.Logf("served again after %v", took)
		assert.Assert(t, !cluster.storedRecord("g").RecreatedAt.IsZero())
		assert.Equal(t, cluster.storedRecord("g").Revision, uint64(2))
	})
}

// Guards against a takeover that needs the platform.
func TestTakeoverWhileThePlatformIsDown(t *testing.T) {
	withManagers(t, oneZone, []string{"g"}, func(t *testing.T, cluster *managerCluster) {
		cluster.advanceUntil(5*time.Second, cluster.allServed)
		cluster.advance(time.Second)
		cluster.platformMutex.Lock()
		cluster.platformDown = true
		cluster.platformMutex.Unlock()
		cluster.kill(cluster.holder("g"))
		took := cluster.advanceUntil(2*time.Second, cluster.allServed)
		t.Logf("served again after %v", took)
		cluster.advance(10 * time.Second)
		assert.Assert(t, cluster.allServed())
	})
}

// Guards against a group with a single candidate that is not extended, or is not
// served for some time, when more VMs join.
func TestCandidatesAddedWhenVMsJoin(t *testing.T) {
	withManagers(t, map[string][]string{"z1": {"a"}}, []string{"g"}, func(t *testing.T, cluster *managerCluster) {
		cluster.advanceUntil(5*time.Second, cluster.allServed)
		cluster.names = append(cluster.names, "b", "c")
		cluster.platformMutex.Lock()
		cluster.zones = map[string][]string{"z1": {"a", "b", "c"}}
		cluster.platformMutex.Unlock()
		cluster.boot("b")
		cluster.boot("c")
		gap := time.Duration(0)
		for range 3 * time.Second / step {
			cluster.advance(step)
			if !cluster.allServed() {
				gap += step
			}
		}
		assert.Equal(t, gap, time.Duration(0))
		record := cluster.storedRecord("g")
		assert.Assert(t, len(record.Candidates) == 3 && len(record.Previous) == 0, "%v", record)
	})
}

// Guards against a replacement that waits forever for an invited VM that is
// unreachable or fails while it joins.
func TestReplacementNeverReady(t *testing.T) {
	zones := map[string][]string{"z1": {"a", "b", "c", "d", "e"}}
	for _, when := range []string{"unreachable", "dies"} {
		withManagers(t, zones, []string{"g"}, func(t *testing.T, cluster *managerCluster) {
			cluster.advanceUntil(5*time.Second, cluster.allServed)
			holder, before := cluster.holder("g"), cluster.storedRecord("g")
			victim := before.Candidates[2]
			spare := slices.DeleteFunc(cluster.nodes[holder].manager.candidateOrder(cluster.specs[0]), func(vm string) bool {
				return slices.Contains(before.Candidates, vm)
			})
			if when == "unreachable" {
				cluster.isolate(spare[0], true)
			}
			cluster.kill(victim)
			if when == "dies" {
				cluster.advanceUntil(10*time.Second, func() bool { return len(cluster.storedRecord("g").Previous) > 0 })
				cluster.kill(spare[0])
			}
			took := cluster.advanceUntil(20*time.Second, func() bool {
				record := cluster.storedRecord("g")
				return len(record.Previous) == 0 && slices.Contains(record.Candidates, spare[1])
			})
			t.Logf("%s: replaced after another %v", when, took)
			assert.Equal(t, cluster.holder("g"), holder)
		})
	}
}

// Guards against a VM that becomes holder while it is stopping.
func TestRetiredVMDoesNotServe(t *testing.T) {
	withManagers(t, oneZone, []string{"g"}, func(t *testing.T, cluster *managerCluster) {
		cluster.advanceUntil(5*time.Second, func() bool { return cluster.storedRecord("g").Revision == 1 })
		first := cluster.storedRecord("g").Candidates[0]
		assert.NilError(t, cluster.nodes[first].manager.ReleaseAll(t.Context()))
		cluster.advanceUntil(5*time.Second, cluster.allServed)
		assert.Assert(t, cluster.holder("g") != first)
	})
}
