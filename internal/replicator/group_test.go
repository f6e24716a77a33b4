package replicator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/leaser"
)

var three = []string{"a", "b", "c"}

// Guards against a group that does not begin, and a loss after which the group
// is served later than the bound of 2 s.
func TestTakeoverAfterLossOfTheHolder(t *testing.T) {
	inWorld(t, 1, three, func(t *testing.T, world *world) {
		world.form(record(three...))
		first := world.runUntil(2*time.Second, func() bool { return world.serving() != nil })
		holder := world.serving()
		assert.Equal(t, holder.name, "a")
		world.work(holder)
		world.run(time.Second)
		assert.Equal(t, len(world.acked), 1)
		world.start("a", record(three...))
		again := world.runUntil(2*time.Second, func() bool { return world.serving() != nil })
		t.Logf("formed after %v, taken over after %v", first, again)
		assert.Equal(t, world.serving().name, "b")
		world.runUntil(time.Second, func() bool { return world.nodes["a"].group.Synchronized() })
		vm, term, known := world.nodes["a"].group.Holder()
		assert.Assert(t, known && vm == "b" && term == world.lastTerm)
	})
}

// formed starts the group and returns its first holder.
func formed(t *testing.T, world *world, record Record) *node {
	t.Helper()
	world.form(record)
	world.runUntil(2*time.Second, func() bool { return world.serving() != nil })
	world.run(200 * time.Millisecond)
	return world.serving()
}

func (group *Group) promised() bool {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	_, _, ok := group.voter.CurrentPromise()
	return ok
}

// Guards against two candidates that ask at the same moment and either both
// serve or block each other for the length of a promise.
func TestTwoCandidatesAtOnce(t *testing.T) {
	inWorld(t, 2, three, func(t *testing.T, world *world) {
		formed(t, world, record(three...))
		world.isolate("a", true)
		b, c := world.nodes["b"].group, world.nodes["c"].group
		world.runUntil(time.Second, func() bool { return !b.promised() && !c.promised() })
		assert.Equal(t, world.began, 1)
		for _, group := range []*Group{b, c} {
			group.mutex.Lock()
			group.urgent = true
			group.mutex.Unlock()
			group.wake()
		}
		took := world.runUntil(300*time.Millisecond, func() bool { return world.serving() != nil })
		t.Logf("served again after %v", took)
	})
}

// Guards against a holder that is paused between its check and its send, and
// still believes afterwards that it may send.
func TestPausedHolderSeesTheEndOfItsLease(t *testing.T) {
	inWorld(t, 3, three, func(t *testing.T, world *world) {
		holder := formed(t, world, record(three...))
		lease := holder.lease
		_, ok := lease.Valid()
		assert.Assert(t, ok)
		world.pause(holder)
		world.runUntil(2*time.Second, func() bool { return world.serving() != nil })
		world.unpause(holder)
		_, ok = lease.Valid() // before any goroutine of the holder has run
		assert.Assert(t, !ok)
		assert.Assert(t, world.serving().lease.Term() > lease.Term())
		assert.ErrorIs(t, lease.Replicate(t.Context(), Entries{}), ErrLeaseLost)
		world.run(time.Second)
		assert.Equal(t, holder.ended, 1)
	})
}

// Guards against a voter that restarts, forgets its promise and helps a second
// candidate to the lease, or counts without the state that it has lost.
func TestRestartedVoterForgetsItsPromise(t *testing.T) {
	for after := time.Duration(0); after < 1500*time.Millisecond; after += 100 * time.Millisecond {
		inWorld(t, uint64(after), three, func(t *testing.T, world *world) {
			holder := formed(t, world, record(three...))
			world.link("a", "c", true)
			world.run(after)
			world.work(holder)
			world.run(50 * time.Millisecond)
			assert.Equal(t, len(world.acked), 1)
			world.start("b", record(three...))
			world.run(3 * time.Second)
			world.link("a", "c", false)
			world.runUntil(3*time.Second, func() bool { return world.serving() != nil })
		})
	}
}

// Guards against a replaced candidate that elects itself with the record that it
// knew before it was cut off.
func TestCandidateReplacedWhileTheHolderIsCutOff(t *testing.T) {
	inWorld(t, 4, []string{"a", "b", "c", "d"}, func(t *testing.T, world *world) {
		first := formed(t, world, record(three...))
		world.work(first)
		world.run(100 * time.Millisecond)
		world.isolate("a", true)
		world.runUntil(2*time.Second, func() bool { return world.began == 2 })
		second := world.serving()
		joint := Record{ID: "g", Candidates: []string{"d", "b", "c"}, Previous: three, BaseTerm: 1, Revision: 2, WriteID: "w2"}
		second.group.Adopt(joint)
		assert.Assert(t, !second.group.CandidatesReady())
		world.runUntil(2*time.Second, second.group.CandidatesReady)
		joint.Previous, joint.Revision = nil, 3
		second.group.Adopt(joint)
		world.run(time.Second)
		world.isolate("a", false)
		world.isolate(second.name, true)
		world.runUntil(2*time.Second, func() bool { return world.began == 3 })
		assert.Assert(t, world.serving().name != "a")
		world.run(time.Second)
		assert.Equal(t, world.nodes["a"].group.NewestRecord().Revision, uint64(3))
		world.run(time.Second)
	})
}

// Guards against a hanging candidate that delays copies or renewals, and against
// a lease that is counted from a late answer.
func TestSlowVoters(t *testing.T) {
	inWorld(t, 5, three, func(t *testing.T, world *world) {
		holder := formed(t, world, record(three...))
		world.set(func() { world.slow["c"] = 5 * time.Second })
		world.run(3 * time.Second)
		assert.Equal(t, world.serving(), holder)
		world.work(holder)
		took := world.runUntil(time.Second, func() bool { return len(world.acked) == 1 })
		assert.Assert(t, took <= 4*step, "copy took %v", took)
		world.set(func() { world.slow["c"], world.slow["a"] = 0, 350*time.Millisecond })
		world.run(2 * time.Second)
		assert.Equal(t, world.serving(), holder)
		world.isolate("a", true)
		world.runUntil(2*time.Second, func() bool { return world.began == 2 })
		assert.Equal(t, holder.ended, 1)
	})
}

// Guards against a holder that is cut off from the majority and stops later than
// the next holder begins.
func TestHolderThatIsCutOffStopsFirst(t *testing.T) {
	inWorld(t, 6, three, func(t *testing.T, world *world) {
		holder := formed(t, world, record(three...))
		world.isolate("a", true)
		ended := world.runUntil(time.Second, func() bool { return holder.ended == 1 })
		assert.Equal(t, world.began, 1)
		next := world.runUntil(time.Second, func() bool { return world.began == 2 })
		t.Logf("ended after %v, next holder began %v later", ended, next)
		assert.Assert(t, ended <= 755*time.Millisecond)
	})
}

// Guards against a hand-over that is slow, loses what was copied meanwhile, or
// forgets the requests in flight.
func TestReleaseDuringCopies(t *testing.T) {
	inWorld(t, 7, three, func(t *testing.T, world *world) {
		holder := formed(t, world, record(three...))
		holder.pending = []InFlight{{ID: "r", Upstream: "u", Remaining: time.Second}}
		for range 20 {
			world.work(holder)
		}
		var released error
		world.running.Go(func() error {
			released = holder.group.Release(holder.ctx, "c")
			return nil
		})
		took := world.runUntil(time.Second, func() bool { return world.began == 2 })
		t.Logf("served again after %v", took)
		assert.Assert(t, took < 100*time.Millisecond)
		assert.Equal(t, world.serving().name, "c")
		world.run(100 * time.Millisecond)
		assert.NilError(t, released)
		inFlight := world.serving().state.InFlight
		assert.Assert(t, len(inFlight) == 1 && inFlight[0].Remaining > 900*time.Millisecond && inFlight[0].Remaining <= time.Second)
		vm, _, known := holder.group.Holder()
		assert.Assert(t, known && vm == "c")
	})
}

// Guards against a holder that goes on after a candidate has told it a higher
// term, and against a long gap when nobody else holds that term.
func TestHigherTermEndsTheLease(t *testing.T) {
	inWorld(t, 8, three, func(t *testing.T, world *world) {
		holder := formed(t, world, record(three...))
		group := world.nodes["b"].group
		group.mutex.Lock()
		group.voter.ObserveTerm(holder.lease.Term() + 1)
		group.mutex.Unlock()
		world.runUntil(200*time.Millisecond, func() bool { return holder.ended == 1 })
		took := world.runUntil(200*time.Millisecond, func() bool { return world.serving() != nil })
		t.Logf("served again after %v", took)
		assert.Equal(t, world.serving(), holder)
	})
}

// Guards against a member that cannot begin and keeps the lease.
func TestFailedBeginGivesTheLeaseBack(t *testing.T) {
	inWorld(t, 9, three, func(t *testing.T, world *world) {
		world.form(record(three...))
		world.nodes["a"].refuse = errLost
		world.runUntil(2*time.Second, func() bool { return world.serving() != nil })
		assert.Assert(t, world.serving().name != "a")
	})
}

// Guards against a group with one or two candidates that cannot serve.
func TestFewCandidates(t *testing.T) {
	for _, candidates := range [][]string{{"a"}, {"a", "b"}} {
		inWorld(t, 10, candidates, func(t *testing.T, world *world) {
			holder := formed(t, world, record(candidates...))
			world.work(holder)
			world.run(50 * time.Millisecond)
			assert.Equal(t, len(world.acked), 1)
			if len(candidates) == 2 {
				world.start("b", record(candidates...))
				world.runUntil(2*time.Second, func() bool { return world.nodes["b"].group.Synchronized() })
			}
		})
	}
}

// Guards against a restore that was sent to an earlier process of the VM, or out
// of order, and makes the present one count.
func TestLateRestoreDoesNotSynchronize(t *testing.T) {
	inWorld(t, 13, three, func(t *testing.T, world *world) {
		group := world.start("b", record(three...)).group
		send := func(incarnation, attempt uint64, number int, last bool) bool {
			call := &restoreCall{
				header: header{Group: "g", Record: record(three...), Term: 3}, Incarnation: incarnation,
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

// Guards against a VM that was a candidate before, missed entries since, and
// counts at once when it joins again.
func TestJoiningCandidateCountsOnlyAfterAnInvitation(t *testing.T) {
	without := Record{ID: "g", Candidates: []string{"a", "b", "d"}, BaseTerm: 1, Revision: 3}
	joint := Record{ID: "g", Candidates: three, Previous: without.Candidates, BaseTerm: 1, Revision: 4}
	settled := Record{ID: "g", Candidates: three, BaseTerm: 1, Revision: 5}
	for _, test := range []struct {
		name      string
		records   []Record
		invitedAt uint64
		want      bool
	}{
		{"left", []Record{without}, 0, false},
		{"joins again", []Record{without, joint}, 0, false},
		{"joins again, missed that it had left", []Record{joint}, 0, false},
		{"invited", []Record{without, joint}, 3, true},
		{"invited, not complete when settled", []Record{without, joint, settled}, 3, false},
		{"invited, missed the joint record", []Record{without, settled}, 3, false},
	} {
		group := &Group{ID: "g", VM: "c", Clock: clocker.NewFake(epoch), Timing: leaser.DefaultTiming(), Record: record(three...)}
		group.prepare()
		group.synchronized, group.complete = true, true
		for _, record := range test.records {
			group.Adopt(record)
			if record.Revision == test.invitedAt {
				group.synchronized, group.complete, group.invitedAt = true, true, test.invitedAt
			}
		}
		assert.Equal(t, group.Synchronized(), test.want, test.name)
	}
}
