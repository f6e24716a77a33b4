package dispatcher_test

import (
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/replicator"
	standin "github.com/cuminstream/cuminstream/internal/standin/upstreamer"
	"github.com/cuminstream/cuminstream/pkg/answerer"
	"github.com/cuminstream/cuminstream/pkg/queuer"
)

var threeUpstreams = []string{"u1", "u2", "u3"}

// maxRecoveryTime is the sum of the loss timeout, the TTL of a grant and one
// renewal interval.
const maxRecoveryTime = 600*time.Millisecond + 800*time.Millisecond + 200*time.Millisecond

// timeUntilServed sends lookups of the key until one succeeds, and returns the
// elapsed time.
func timeUntilServed(harness *harness, key string) time.Duration {
	from := harness.clock.Now()
	for n := range 100 {
		got := harness.send(harness.request(fmt.Sprintf("again-%d", n), key, queuer.Lookup))
		if got.err == nil {
			return harness.clock.Now().Sub(from)
		}
		harness.sleep(10 * time.Millisecond)
	}
	harness.t.Fatalf("key %s is not served again", key)
	return 0
}

// Guards against keys that are not served after their upstream was killed,
// against shards of other upstreams that move, and against a booking that runs
// again after its upstream was lost.
func TestKilledUpstream(t *testing.T) {
	for _, checks := range []bool{true, false} {
		runHarness(t, checks, threeUpstreams, func(t *testing.T, harness *harness) {
			key, before := harness.keyOf("u1"), harness.dispatcher.Status().Shards
			booking := harness.request("b1", key, queuer.Transaction)
			booking.Header.Set(standin.HeaderServiceTime, "1s")
			running := harness.sendAsync(booking)
			harness.sleep(100 * time.Millisecond)
			harness.killNode("u1")
			assert.Equal(t, (<-running).kind, answerer.OutcomeUnknown)
			assert.Assert(t, timeUntilServed(harness, key) < maxRecoveryTime)
			assert.Equal(t, harness.send(harness.request("b1", key, queuer.Transaction)).kind, answerer.OutcomeUnknown)
			assert.Equal(t, harness.startCount("b1"), 1)
			for shard, owner := range harness.dispatcher.Status().Shards {
				assert.Assert(t, owner != "u1")
				assert.Assert(t, before[shard] == "u1" || before[shard] == owner)
			}
		})
	}
}

// Guards against a frozen upstream that keeps its keys, and against an upstream
// that resumes and still acts on its former grant.
func TestFrozenUpstreamReturns(t *testing.T) {
	t.Parallel()
	for _, checks := range []bool{true, false} {
		runHarness(t, checks, threeUpstreams, func(t *testing.T, harness *harness) {
			key := harness.keyOf("u1")
			harness.setFrozen("u1", true)
			arrived := harness.sendAsync(harness.request("b1", key, queuer.Transaction))
			assert.Assert(t, timeUntilServed(harness, key) < maxRecoveryTime)
			assert.Equal(t, (<-arrived).kind, answerer.OutcomeUnknown)
			owner := harness.dispatcher.Owner(key)
			assert.Assert(t, owner != "u1")
			harness.sleep(5 * time.Second)
			harness.setFrozen("u1", false)
			harness.sleep(500 * time.Millisecond)
			assert.Equal(t, harness.upstreamStatus("u1").Health, "up")
			assert.Assert(t, harness.upstreamStatus("u1").Capacity < 1)
			assert.Equal(t, harness.dispatcher.Owner(key), owner)
			if checks {
				assert.Equal(t, harness.startCount("b1"), 0)
			}
			harness.sleep(15 * time.Second)
			assert.Equal(t, harness.upstreamStatus("u1").Capacity, 2.0)
		})
	}
}

// slowReader returns one byte after each interval.
type slowReader struct {
	harness   *harness
	remaining int
	interval  time.Duration
}

func (reader *slowReader) Read(buffer []byte) (int, error) {
	if reader.remaining == 0 {
		return 0, io.EOF
	}
	reader.remaining--
	reader.harness.sleep(reader.interval)
	buffer[0] = 'x'
	return 1, nil
}

// Guards against an upload that is interrupted because its shard moves, against
// a key with two owners during the move, and against other keys that wait for
// the upload.
func TestShardMovesDuringUpload(t *testing.T) {
	runHarness(t, true, threeUpstreams, func(t *testing.T, harness *harness) {
		key := harness.keyOf("u1")
		other := ""
		for n := 0; other == "" || other == key; n++ {
			if candidate := fmt.Sprintf("other-%d", n); harness.dispatcher.Owner(candidate) == "u1" {
				other = candidate
			}
		}
		upload := harness.request("up1", key, queuer.Upload)
		upload.Body, upload.ContentLength = &slowReader{harness, 20, 100 * time.Millisecond}, -1
		running := harness.sendAsync(upload)
		harness.sleep(200 * time.Millisecond)
		harness.document = configurer.Document{Sections: map[string]configurer.Section{"ops": {
			Stops: []configurer.Stop{{Upstream: "u1", Reason: "maintenance"}},
		}}}
		harness.applyConfig()
		synctest.Wait()
		waiting := harness.sendAsync(harness.request("l1", key, queuer.Lookup))
		assert.Assert(t, timeUntilServed(harness, other) < 100*time.Millisecond)
		assert.Equal(t, harness.startCount("l1"), 0)
		assert.Equal(t, harness.countEvents("upstreamDrained"), 0)
		assert.Equal(t, (<-running).upstream, "u1")
		got := <-waiting
		assert.NilError(t, got.err)
		assert.Assert(t, got.upstream != "u1")
		harness.sleep(time.Second)
		assert.Equal(t, harness.countEvents("upstreamDrained"), 1)
		assert.Assert(t, harness.upstreamStatus("u1").Drained)
	})
}

// Guards against a send after the lease has expired between the admission and
// the send, and against a "not run" error for a request that has run.
func TestLeaseExpiresBeforeSend(t *testing.T) {
	runHarness(t, true, threeUpstreams, func(t *testing.T, harness *harness) {
		harness.lease.withLock(func() {
			harness.lease.onCopy = func(entries replicator.Entries) error {
				if len(entries.Requests) > 0 {
					harness.lease.expired = true
				}
				return nil
			}
		})
		got := harness.send(harness.request("b1", "k", queuer.Transaction))
		assert.Equal(t, got.kind, answerer.NotRunUnavailable)
		assert.Equal(t, harness.startCount("b1"), 0)
		harness.lease.withLock(func() { harness.lease.expired, harness.lease.onCopy = false, nil })
		harness.sleep(time.Second)
		assert.NilError(t, harness.send(harness.request("b1", "k", queuer.Transaction)).err)
		harness.lease.withLock(func() {
			harness.lease.onCopy = func(replicator.Entries) error { return errors.New("no majority") }
		})
		assert.Equal(t, harness.send(harness.request("b2", "k", queuer.Transaction)).kind, answerer.NotRunUnavailable)
		assert.Equal(t, harness.startCount("b2"), 0)
	})
}

// Guards against a request that crashes every upstream to which its repeats are
// sent.
func TestCrashRequestTakesDownAtMostTwo(t *testing.T) {
	t.Parallel()
	for _, rank := range []queuer.Rank{queuer.Lookup, queuer.Transaction} {
		runHarness(t, true, []string{"u1", "u2", "u3", "u4"}, func(t *testing.T, harness *harness) {
			var last outcome
			for n := range 12 {
				crash := harness.request(fmt.Sprintf("c%d", n), "k", rank)
				crash.Fingerprint = 77
				crash.Header.Set(standin.HeaderCrash, "yes")
				last = harness.send(crash)
				harness.sleep(300 * time.Millisecond)
			}
			assert.Equal(t, last.kind, answerer.SuspectRefused)
			assert.Equal(t, harness.countEvents("upstreamLost"), 2)
			assert.NilError(t, harness.send(harness.request("l1", "k", queuer.Lookup)).err)
		})
	}
}

// Guards against an upstream that crashes and restarts before it counts as
// lost: the crash would not be counted for the request that caused it.
func TestCrashBeforeQuickRestart(t *testing.T) {
	runHarness(t, true, threeUpstreams, func(t *testing.T, harness *harness) {
		var last outcome
		for n := range 4 {
			crash := harness.request(fmt.Sprintf("c%d", n), "k", queuer.Transaction)
			crash.Fingerprint = 77
			crash.Header.Set(standin.HeaderCrash, "yes")
			owner := harness.dispatcher.Owner("k")
			if last = harness.send(crash); last.kind == answerer.OutcomeUnknown {
				harness.restartNode(owner)
			}
			harness.sleep(3 * time.Second)
		}
		assert.Equal(t, last.kind, answerer.SuspectRefused)
		assert.Equal(t, harness.countEvents("upstreamLost"), 2)
	})
}

// Guards against a booking that is refused although it can safely be sent
// again, because the connection failed before the first byte, and against a
// booking that runs twice because the connection broke later.
func TestBookingOnBrokenConnection(t *testing.T) {
	runHarness(t, true, threeUpstreams, func(t *testing.T, harness *harness) {
		key := harness.keyOf("u1")
		harness.killNode("u1")
		got := harness.send(harness.request("b1", key, queuer.Transaction))
		assert.NilError(t, got.err)
		assert.Equal(t, harness.startCount("b1"), 1)
		broken := harness.request("b2", key, queuer.Transaction)
		broken.Header.Set(standin.HeaderAbort, "before")
		assert.Equal(t, harness.send(broken).kind, answerer.OutcomeUnknown)
		assert.Equal(t, harness.send(harness.request("b2", key, queuer.Transaction)).kind, answerer.OutcomeUnknown)
		assert.Equal(t, harness.startCount("b2"), 1)
		assert.Equal(t, harness.send(harness.request("b1", key, queuer.Transaction)).kind, answerer.DuplicateDone)
	})
}

// Guards against more retries than the budget allows, and against more than one
// retry of a request.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	runHarness(t, true, threeUpstreams, func(t *testing.T, harness *harness) {
		starts := 0
		for n := range 20 {
			broken := harness.request(fmt.Sprintf("l%d", n), "k", queuer.Lookup)
			broken.Header.Set(standin.HeaderAbort, "before")
			assert.Equal(t, harness.send(broken).kind, answerer.UpstreamFailed)
			starts += harness.startCount(broken.ID)
		}
		assert.Equal(t, starts, 21)
		assert.Equal(t, harness.countEvents("upstreamLost"), 0)
	})
}

// Guards against a planned stop of an upstream that fails requests, or after
// which requests are sent to the draining upstream for more than 3 s, for each
// way to announce the stop.
func TestDrainUnderLoad(t *testing.T) {
	t.Parallel()
	causes := map[string]func(*harness){
		"document": func(harness *harness) {
			harness.document = configurer.Document{Sections: map[string]configurer.Section{"ops": {
				Stops: []configurer.Stop{{Upstream: "u1", Reason: "maintenance"}},
			}}}
			harness.applyConfig()
		},
		"platform": func(harness *harness) { harness.dispatcher.SetDraining([]string{"u1"}) },
		"notice": func(harness *harness) {
			harness.nodes["u1"].upstream.UpdateBehavior(func(behavior *standin.Behavior) { behavior.Draining = true })
		},
		"removed": func(harness *harness) {
			harness.service.Upstreams = harness.service.Upstreams[1:]
			harness.applyConfig()
		},
	}
	for _, announce := range causes {
		runHarness(t, true, threeUpstreams, func(t *testing.T, harness *harness) {
			results := make(chan error, 4)
			for client := range 4 {
				go func() {
					var failed error
					for n := range 400 {
						rank := queuer.Rank(n % 2)
						got := harness.send(harness.request(fmt.Sprintf("r-%d-%d", client, n), fmt.Sprintf("k%d", n), rank))
						failed = errors.Join(failed, got.err)
					}
					results <- failed
				}()
			}
			harness.sleep(time.Second)
			announce(harness)
			announced := harness.clock.Now()
			for range 4 {
				assert.NilError(t, <-results)
			}
			assert.Equal(t, harness.countEvents("upstreamDrained"), 1)
			for _, record := range harness.nodes["u1"].upstream.Records() {
				assert.Assert(t, record.Time.Sub(announced) < 3*time.Second, record.Kind)
			}
		})
	}
}

// Guards against a draining upstream that still gets requests because it is the
// last one, and against refusals other than "not run".
func TestLastUpstreamDrains(t *testing.T) {
	runHarness(t, true, []string{"u1"}, func(t *testing.T, harness *harness) {
		harness.dispatcher.SetDraining([]string{"u1"})
		harness.sleep(time.Second)
		assert.NilError(t, harness.send(harness.request("l1", "k", queuer.Lookup)).err)
		harness.sleep(2 * time.Second)
		got := harness.send(harness.request("l2", "k", queuer.Lookup))
		assert.Equal(t, got.kind, answerer.NotRunUnavailable)
		assert.Equal(t, harness.startCount("l2"), 0)
		harness.dispatcher.SetDraining(nil)
		assert.NilError(t, harness.send(harness.request("l3", "k", queuer.Lookup)).err)
	})
}

// Guards against a planned handover that interrupts requests in flight, that
// does not count their slots, or after which the next holder does not receive
// their outcomes.
func TestHandOver(t *testing.T) {
	runHarness(t, true, threeUpstreams, func(t *testing.T, harness *harness) {
		key, first := harness.keyOf("u1"), harness.lease
		long := harness.request("b1", key, queuer.Transaction)
		long.Header.Set(standin.HeaderServiceTime, "2s")
		running := harness.sendAsync(long)
		harness.sleep(50 * time.Millisecond)
		left := harness.dispatcher.End(true)
		assert.Equal(t, len(left), 1)
		assert.Equal(t, left[0].ID, "b1")
		assert.Equal(t, left[0].Upstream, "u1")
		assert.Equal(t, harness.send(harness.request("l1", key, queuer.Lookup)).kind, answerer.NotRunUnavailable)
		state := replicator.State{InFlight: left}
		for _, entries := range first.copies {
			state.Requests = append(state.Requests, entries.Requests...)
			if entries.Assignment != nil {
				state.Assignment = *entries.Assignment
			}
		}
		successor := harness.successor()
		harness.currentHolder.Store(successor)
		assert.NilError(t, successor.Begin(t.Context(), &lease{term: 2}, state))
		harness.sleep(100 * time.Millisecond)
		assert.Equal(t, usedSlots(successor, "u1"), 1)
		assert.Equal(t, sendTo(successor, harness.request("b1", key, queuer.Transaction)).kind, answerer.OutcomeUnknown)
		assert.Equal(t, (<-running).upstream, "u1")
		synctest.Wait()
		assert.Equal(t, usedSlots(successor, "u1"), 0)
		assert.Equal(t, sendTo(successor, harness.request("b1", key, queuer.Transaction)).kind, answerer.DuplicateDone)
		harness.stopDispatcher(successor)
	})
}

// Guards against a new holder that does not learn which requests the upstreams
// still run for the lost holder: the key would start at another upstream, and
// the slots would be exceeded.
func TestTakeOverFindsRequestsInFlight(t *testing.T) {
	for _, checks := range []bool{true, false} {
		runHarness(t, checks, threeUpstreams, func(t *testing.T, harness *harness) {
			key, first := harness.keyOf("u1"), harness.lease
			long := harness.request("b1", key, queuer.Transaction)
			long.Header.Set(standin.HeaderServiceTime, "2s")
			running := harness.sendAsync(long)
			first.withLock(func() { first.expired = true })
			moved := harness.dispatcher.Status().Shards
			moved[long.Shard] = "u2"
			successor := harness.successor()
			assert.NilError(t, successor.Begin(t.Context(), &lease{term: 2}, replicator.State{
				Assignment: replicator.Assignment{Term: 1, Version: 9, Shards: moved},
			}))
			harness.sleep(100 * time.Millisecond)
			assert.Equal(t, usedSlots(successor, "u1"), 1)
			got := sendTo(successor, harness.request("l1", key, queuer.Lookup))
			assert.NilError(t, got.err)
			assert.Equal(t, got.upstream, "u2")
			assert.NilError(t, (<-running).err)
			assert.Assert(t, usedSlots(successor, "u1") == 0)
			harness.stopDispatcher(successor)
		})
	}
}

// Guards against a takeover that waits for the grants of an upstream whose
// process has ended, and against a takeover that does not wait for a frozen
// upstream.
func TestTakeOverWithDeadOrFrozenUpstream(t *testing.T) {
	for name, fail := range map[string]func(*harness){
		"dead":   func(harness *harness) { harness.killNode("u1") },
		"frozen": func(harness *harness) { harness.setFrozen("u1", true) },
	} {
		runHarness(t, true, threeUpstreams, func(t *testing.T, harness *harness) {
			key, shards := harness.keyOf("u2"), harness.dispatcher.Status().Shards
			fail(harness)
			harness.dispatcher.End(false)
			harness.beginTerm(&lease{term: 2}, replicator.State{Assignment: replicator.Assignment{Term: 1, Version: 9, Shards: shards}})
			waited := timeUntilServed(harness, key) + 100*time.Millisecond
			assert.Equal(t, waited < 200*time.Millisecond, name == "dead", "%s: %v", name, waited)
			assert.Assert(t, waited < time.Second, "%s: %v", name, waited)
		})
	}
}

// Guards against a suspect that blocks its upstream while a long upload runs.
func TestSuspectDoesNotWaitForLongWork(t *testing.T) {
	runHarness(t, true, []string{"u1", "u2"}, func(t *testing.T, harness *harness) {
		crash := harness.request("c1", harness.keyOf("u1"), queuer.Transaction)
		crash.Fingerprint = 77
		crash.Header.Set(standin.HeaderCrash, "yes")
		harness.send(crash)
		harness.sleep(3 * time.Second)
		upload := harness.request("up1", "k", queuer.Upload)
		upload.Header.Set(standin.HeaderServiceTime, "4s")
		running := harness.sendAsync(upload)
		suspect := harness.request("c2", "k", queuer.Lookup)
		suspect.Fingerprint = 77
		refused := harness.sendAsync(suspect)
		assert.Assert(t, timeUntilServed(harness, "k") < time.Second)
		assert.Equal(t, (<-refused).kind, answerer.NotRunOverloaded)
		assert.NilError(t, (<-running).err)
	})
}
