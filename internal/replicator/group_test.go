package replicator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/leaser"
)

var threeVMs = []string{"a", "b", "c"}

// Guards against a group that is never served, and against a takeover that takes
// longer than the bound of 2 s after the holder was lost.
func TestTakeoverAfterHolderLoss(t *testing.T) {
	withCluster(t, 1, threeVMs, func(t *testing.T, cluster *cluster) {
		cluster.startFormed(record(threeVMs...))
		first := cluster.runUntil(2*time.Second, func() bool { return cluster.servingNode() != nil })
		holder := cluster.servingNode()
		assert.Equal(t, holder.name, "a")
		cluster.replicateEntry(holder)
		cluster.run(time.Second)
		assert.Equal(t, len(cluster.acknowledged), 1)
		cluster.start("a", record(threeVMs...))
		again := cluster.runUntil(2*time.Second, func() bool { return cluster.servingNode() != nil })
		t.Logf("formed after %v, taken over after %v", first, again)
		assert.Equal(t, cluster.servingNode().name, "b")
		cluster.runUntil(time.Second, func() bool { return cluster.nodes["a"].group.Synchronized() })
		vm, term, known := cluster.nodes["a"].group.Holder()
		assert.Assert(t, known && vm == "b" && term == cluster.lastTerm)
	})
}

// startServing starts the group and returns its first holder.
func startServing(t *testing.T, cluster *cluster, record Record) *node {
	t.Helper()
	cluster.startFormed(record)
	cluster.runUntil(2*time.Second, func() bool { return cluster.servingNode() != nil })
	cluster.run(200 * time.Millisecond)
	return cluster.servingNode()
}

// hasPromise reports whether the voter has an unexpired promise.
func (group *Group) hasPromise() bool {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	_, _, ok := group.voter.CurrentPromise()
	return ok
}

// Guards against two candidates that campaign at the same time and then both serve,
// or block each other for the duration of a promise.
func TestConcurrentCampaigns(t *testing.T) {
	withCluster(t, 2, threeVMs, func(t *testing.T, cluster *cluster) {
		startServing(t, cluster, record(threeVMs...))
		cluster.isolate("a", true)
		b, c := cluster.nodes["b"].group, cluster.nodes["c"].group
		cluster.runUntil(time.Second, func() bool { return !b.hasPromise() && !c.hasPromise() })
		assert.Equal(t, cluster.beginCount, 1)
		for _, group := range []*Group{b, c} {
			group.mutex.Lock()
			group.namedSuccessor = true
			group.mutex.Unlock()
			group.wake()
		}
		took := cluster.runUntil(300*time.Millisecond, func() bool { return cluster.servingNode() != nil })
		t.Logf("served again after %v", took)
	})
}

// Guards against a holder that is paused between the check of its lease and a
// write, and afterwards still considers the expired lease valid.
func TestPausedHolderLosesLease(t *testing.T) {
	withCluster(t, 3, threeVMs, func(t *testing.T, cluster *cluster) {
		holder := startServing(t, cluster, record(threeVMs...))
		lease := holder.lease
		_, ok := lease.Valid()
		assert.Assert(t, ok)
		cluster.pause(holder)
		cluster.runUntil(2*time.Second, func() bool { return cluster.servingNode() != nil })
		cluster.unpause(holder)
		_, ok = lease.Valid() // before any goroutine of the holder has run
		assert.Assert(t, !ok)
		assert.Assert(t, cluster.servingNode().lease.Term() > lease.Term())
		assert.ErrorIs(t, lease.Replicate(t.Context(), Entries{}), ErrLeaseLost)
		cluster.run(time.Second)
		assert.Equal(t, holder.endCount, 1)
	})
}

// Guards against a restarted voter that has lost its promise and gives one to a
// second candidate, or that counts as synchronized without its lost state.
func TestVoterRestart(t *testing.T) {
	for after := time.Duration(0); after < 1500*time.Millisecond; after += 100 * time.Millisecond {
		withCluster(t, uint64(after), threeVMs, func(t *testing.T, cluster *cluster) {
			holder := startServing(t, cluster, record(threeVMs...))
			cluster.setCut("a", "c", true)
			cluster.run(after)
			cluster.replicateEntry(holder)
			cluster.run(50 * time.Millisecond)
			assert.Equal(t, len(cluster.acknowledged), 1)
			cluster.start("b", record(threeVMs...))
			cluster.run(3 * time.Second)
			cluster.setCut("a", "c", false)
			cluster.runUntil(3*time.Second, func() bool { return cluster.servingNode() != nil })
		})
	}
}

// Guards against a candidate that was replaced while it was cut off, and that
// elects itself under the outdated record.
func TestReplacedCandidateCannotElectItself(t *testing.T) {
	withCluster(t, 4, []string{"a", "b", "c", "d"}, func(t *testing.T, cluster *cluster) {
		first := startServing(t, cluster, record(threeVMs...))
		cluster.replicateEntry(first)
		cluster.run(100 * time.Millisecond)
		cluster.isolate("a", true)
		cluster.runUntil(2*time.Second, func() bool { return cluster.beginCount == 2 })
		second := cluster.servingNode()
		joint := Record{ID: "g", Candidates: []string{"d", "b", "c"}, Previous: threeVMs, BaseTerm: 1, Revision: 2, WriteID: "w2"}
		second.group.Adopt(joint)
		assert.Assert(t, !second.group.CandidatesReady())
		cluster.runUntil(2*time.Second, second.group.CandidatesReady)
		joint.Previous, joint.Revision = nil, 3
		second.group.Adopt(joint)
		cluster.run(time.Second)
		cluster.isolate("a", false)
		cluster.isolate(second.name, true)
		cluster.runUntil(2*time.Second, func() bool { return cluster.beginCount == 3 })
		assert.Assert(t, cluster.servingNode().name != "a")
		cluster.run(time.Second)
		assert.Equal(t, cluster.nodes["a"].group.NewestRecord().Revision, uint64(3))
		cluster.run(time.Second)
	})
}

// Guards against a slow candidate that delays replication or renewals, and against
// a promise whose duration is counted from a late answer.
func TestSlowVoters(t *testing.T) {
	withCluster(t, 5, threeVMs, func(t *testing.T, cluster *cluster) {
		holder := startServing(t, cluster, record(threeVMs...))
		cluster.update(func() { cluster.slow["c"] = 5 * time.Second })
		cluster.run(3 * time.Second)
		assert.Equal(t, cluster.servingNode(), holder)
		cluster.replicateEntry(holder)
		took := cluster.runUntil(time.Second, func() bool { return len(cluster.acknowledged) == 1 })
		assert.Assert(t, took <= 4*step, "copy took %v", took)
		cluster.update(func() { cluster.slow["c"], cluster.slow["a"] = 0, 350*time.Millisecond })
		cluster.run(2 * time.Second)
		assert.Equal(t, cluster.servingNode(), holder)
		cluster.isolate("a", true)
		cluster.runUntil(2*time.Second, func() bool { return cluster.beginCount == 2 })
		assert.Equal(t, holder.endCount, 1)
	})
}

// Guards against a holder that is cut off from the majority and still serves when
// the next holder begins.
func TestIsolatedHolderStopsFirst(t *testing.T) {
	withCluster(t, 6, threeVMs, func(t *testing.T, cluster *cluster) {
		holder := startServing(t, cluster, record(threeVMs...))
		cluster.isolate("a", true)
		ended := cluster.runUntil(time.Second, func() bool { return holder.endCount == 1 })
		assert.Equal(t, cluster.beginCount, 1)
		next := cluster.runUntil(time.Second, func() bool { return cluster.beginCount == 2 })
		t.Logf("ended after %v, next holder began %v later", ended, next)
		assert.Assert(t, ended <= 755*time.Millisecond)
	})
}

// Guards against a release that takes long, loses entries that are replicated at the
// same time, or does not pass on the requests in flight.
func TestReleaseDuringReplication(t *testing.T) {
	withCluster(t, 7, threeVMs, func(t *testing.T, cluster *cluster) {
		holder := startServing(t, cluster, record(threeVMs...))
		holder.inFlight = []InFlight{{ID: "r", Upstream: "u", Remaining: time.Second}}
		for range 20 {
			cluster.replicateEntry(holder)
		}
		var released error
		cluster.running.Go(func() error {
			released = holder.group.Release(holder.ctx, "c")
			return nil
		})
		took := cluster.runUntil(time.Second, func() bool { return cluster.beginCount == 2 })
		t.Logf("served again after %v", took)
		assert.Assert(t, took < 100*time.Millisecond)
		assert.Equal(t, cluster.servingNode().name, "c")
		cluster.run(100 * time.Millisecond)
		assert.NilError(t, released)
		inFlight := cluster.servingNode().state.InFlight
		assert.Assert(t, len(inFlight) == 1 && inFlight[0].Remaining > 900*time.Millisecond && inFlight[0].Remaining <= time.Second)
		vm, _, known := holder.group.Holder()
		assert.Assert(t, known && vm == "c")
	})
}

// Guards against a holder that continues to serve after a candidate has replied with
// a higher term, and against a long gap if no other VM holds that term.
func TestHigherTermEndsLease(t *testing.T) {
	withCluster(t, 8, threeVMs, func(t *testing.T, cluster *cluster) {
		holder := startServing(t, cluster, record(threeVMs...))
		group := cluster.nodes["b"].group
		group.mutex.Lock()
		group.voter.ObserveTerm(holder.lease.Term() + 1)
		group.mutex.Unlock()
		cluster.runUntil(200*time.Millisecond, func() bool { return holder.endCount == 1 })
		took := cluster.runUntil(200*time.Millisecond, func() bool { return cluster.servingNode() != nil })
		t.Logf("served again after %v", took)
		assert.Equal(t, cluster.servingNode(), holder)
	})
}

// Guards against a VM that keeps the lease although its handler failed to begin.
func TestFailedBeginReleasesLease(t *testing.T) {
	withCluster(t, 9, threeVMs, func(t *testing.T, cluster *cluster) {
		cluster.startFormed(record(threeVMs...))
		cluster.nodes["a"].beginErr = errLost
		cluster.runUntil(2*time.Second, func() bool { return cluster.servingNode() != nil })
		assert.Assert(t, cluster.servingNode().name != "a")
	})
}

// Guards against a group that is not served because it has one or two candidates.
func TestOneOrTwoCandidates(t *testing.T) {
	for _, candidates := range [][]string{{"a"}, {"a", "b"}} {
		withCluster(t, 10, candidates, func(t *testing.T, cluster *cluster) {
			holder := startServing(t, cluster, record(candidates...))
			cluster.replicateEntry(holder)
			cluster.run(50 * time.Millisecond)
			assert.Equal(t, len(cluster.acknowledged), 1)
			if len(candidates) == 2 {
				cluster.start("b", record(candidates...))
				cluster.runUntil(2*time.Second, func() bool { return cluster.nodes["b"].group.Synchronized() })
			}
		})
	}
}

// Guards against a candidate that becomes synchronized by pages that were meant for
// an earlier process of the VM or that arrive out of order.
func TestLateRestoreDoesNotSynchronize(t *testing.T) {
	withCluster(t, 13, threeVMs, func(t *testing.T, cluster *cluster) {
		group := cluster.start("b", record(threeVMs...)).group
		send := func(incarnation, attempt uint64, number int, last bool) bool {
			call := &restoreCall{
				header: header{Group: "g", Record: record(threeVMs...), Term: 3}, Incarnation: incarnation,
				Attempt: attempt, Number: number, Last: last,
			}
			answer, err := group.HandleCall(t.Context(), "a", methodRestore, call)
			assert.NilError(t, err)
			return answer.(reply).OK
		}
		own := group.incarnation
		assert.Assert(t, !send(own+1, 1, 0, true))
		assert.Assert(t, send(own, 1, 0, false))
		assert.Assert(t, !send(own, 1, 2, true))
		assert.Assert(t, send(own, 2, 0, false))
		assert.Assert(t, !send(own, 1, 1, true))
		assert.Assert(t, !group.Synchronized())
		assert.Assert(t, send(own, 2, 0, false))
		assert.Assert(t, send(own, 2, 1, true))
		assert.Assert(t, group.Synchronized())
	})
}

// Guards against a former candidate that joins again and counts at once, although it
// has missed entries in between.
func TestJoiningCandidateCountsOnlyIfInvited(t *testing.T) {
	without := Record{ID: "g", Candidates: []string{"a", "b", "d"}, BaseTerm: 1, Revision: 3}
	joint := Record{ID: "g", Candidates: threeVMs, Previous: without.Candidates, BaseTerm: 1, Revision: 4}
	settled := Record{ID: "g", Candidates: threeVMs, BaseTerm: 1, Revision: 5}
	for _, test := range []struct {
		name            string
		records         []Record
		invitedRevision uint64
		want            bool
	}{
		{"left", []Record{without}, 0, false},
		{"joins again", []Record{without, joint}, 0, false},
		{"joins again, missed that it had left", []Record{joint}, 0, false},
		{"invited", []Record{without, joint}, 3, true},
		{"invited, not complete when settled", []Record{without, joint, settled}, 3, false},
		{"invited, missed the joint record", []Record{without, settled}, 3, false},
	} {
		group := &Group{ID: "g", VM: "c", Clock: clocker.NewFake(epoch), Timing: leaser.DefaultTiming(), Record: record(threeVMs...)}
		group.initialize()
		group.synchronized, group.complete = true, true
		for _, record := range test.records {
			group.Adopt(record)
			if record.Revision == test.invitedRevision {
				group.synchronized, group.complete, group.invitedRevision = true, true, test.invitedRevision
			}
		}
		assert.Equal(t, group.Synchronized(), test.want, test.name)
	}
}
