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

var three = []string{"u1", "u2", "u3"}

// lossBound is the loss timeout, the time of a grant and one renewal.
const lossBound = 600*time.Millisecond + 800*time.Millisecond + 200*time.Millisecond

// servedAgain sends lookups of the key until one is answered, and returns the
// time that took.
func servedAgain(bench *bench, key string) time.Duration {
	from := bench.clock.Now()
	for n := range 100 {
		got := bench.send(bench.request(fmt.Sprintf("again-%d", n), key, queuer.Lookup))
		if got.err == nil {
			return bench.clock.Now().Sub(from)
		}
		bench.sleep(10 * time.Millisecond)
	}
	bench.t.Fatalf("key %s is not served again", key)
	return 0
}

// Guards against keys that stay unserved after their upstream was killed,
// against moves of other upstreams' shards, and against a booking that runs
// again after its upstream was lost.
func TestKilledUpstream(t *testing.T) {
	for _, checks := range []bool{true, false} {
		run(t, checks, three, func(t *testing.T, bench *bench) {
			key, before := bench.keyOf("u1"), bench.dispatcher.Status().Shards
			booking := bench.request("b1", key, queuer.Transaction)
			booking.Header.Set(standin.HeaderServiceTime, "1s")
			running := bench.async(booking)
			bench.sleep(100 * time.Millisecond)
			bench.kill("u1")
			assert.Equal(t, (<-running).kind, answerer.OutcomeUnknown)
			assert.Assert(t, servedAgain(bench, key) < lossBound)
			assert.Equal(t, bench.send(bench.request("b1", key, queuer.Transaction)).kind, answerer.OutcomeUnknown)
			assert.Equal(t, bench.starts("b1"), 1)
			for shard, owner := range bench.dispatcher.Status().Shards {
				assert.Assert(t, owner != "u1")
				assert.Assert(t, before[shard] == "u1" || before[shard] == owner)
			}
		})
	}
}

// Guards against a frozen upstream that keeps its keys, and against one that
// returns and still acts on the grant that it had.
func TestFrozenUpstreamReturns(t *testing.T) {
	t.Parallel()
	for _, checks := range []bool{true, false} {
		run(t, checks, three, func(t *testing.T, bench *bench) {
			key := bench.keyOf("u1")
			bench.freeze("u1", true)
			arrived := bench.async(bench.request("b1", key, queuer.Transaction))
			assert.Assert(t, servedAgain(bench, key) < lossBound)
			assert.Equal(t, (<-arrived).kind, answerer.OutcomeUnknown)
			owner := bench.dispatcher.Owner(key)
			assert.Assert(t, owner != "u1")
			bench.sleep(5 * time.Second)
			bench.freeze("u1", false)
			bench.sleep(500 * time.Millisecond)
			assert.Equal(t, bench.upstream("u1").Health, "up")
			assert.Assert(t, bench.upstream("u1").Capacity < 1)
			assert.Equal(t, bench.dispatcher.Owner(key), owner)
			if checks {
				assert.Equal(t, bench.starts("b1"), 0)
			}
			bench.sleep(15 * time.Second)
			assert.Equal(t, bench.upstream("u1").Capacity, 2.0)
		})
	}
}

// slowReader gives its bytes one by one over the given time.
type slowReader struct {
	bench *bench
	left  int
	pause time.Duration
}

func (reader *slowReader) Read(buffer []byte) (int, error) {
	if reader.left == 0 {
		return 0, io.EOF
	}
	reader.left--
	reader.bench.sleep(reader.pause)
	buffer[0] = 'x'
	return 1, nil
}

// Guards against an upload that is cut because its shard moves, against a key
// with two owners meanwhile, and against other keys that wait for it.
func TestShardMovesDuringUpload(t *testing.T) {
	run(t, true, three, func(t *testing.T, bench *bench) {
		key := bench.keyOf("u1")
		other := ""
		for n := 0; other == "" || other == key; n++ {
			if candidate := fmt.Sprintf("other-%d", n); bench.dispatcher.Owner(candidate) == "u1" {
				other = candidate
			}
		}
		upload := bench.request("up1", key, queuer.Upload)
		upload.Body, upload.ContentLength = &slowReader{bench, 20, 100 * time.Millisecond}, -1
		running := bench.async(upload)
		bench.sleep(200 * time.Millisecond)
		bench.document = configurer.Document{Sections: map[string]configurer.Section{"ops": {
			Stops: []configurer.Stop{{Upstream: "u1", Reason: "maintenance"}},
		}}}
		bench.update()
		synctest.Wait()
		waiting := bench.async(bench.request("l1", key, queuer.Lookup))
		assert.Assert(t, servedAgain(bench, other) < 100*time.Millisecond)
		assert.Equal(t, bench.starts("l1"), 0)
		assert.Equal(t, bench.events("upstreamDrained"), 0)
		assert.Equal(t, (<-running).upstream, "u1")
		got := <-waiting
		assert.NilError(t, got.err)
		assert.Assert(t, got.upstream != "u1")
		bench.sleep(time.Second)
		assert.Equal(t, bench.events("upstreamDrained"), 1)
		assert.Assert(t, bench.upstream("u1").Drained)
	})
}

// Guards against a send after the lease has expired between the admission and
// the send, and against a "not run" that is not true.
func TestLeaseLostBeforeSend(t *testing.T) {
	run(t, true, three, func(t *testing.T, bench *bench) {
		bench.lease.set(func() {
			bench.lease.onCopy = func(entries replicator.Entries) error {
				if len(entries.Requests) > 0 {
					bench.lease.expired = true
				}
				return nil
			}
		})
		got := bench.send(bench.request("b1", "k", queuer.Transaction))
		assert.Equal(t, got.kind, answerer.NotRunUnavailable)
		assert.Equal(t, bench.starts("b1"), 0)
		bench.lease.set(func() { bench.lease.expired, bench.lease.onCopy = false, nil })
		bench.sleep(time.Second)
		assert.NilError(t, bench.send(bench.request("b1", "k", queuer.Transaction)).err)
		bench.lease.set(func() {
			bench.lease.onCopy = func(replicator.Entries) error { return errors.New("no majority") }
		})
		assert.Equal(t, bench.send(bench.request("b2", "k", queuer.Transaction)).kind, answerer.NotRunUnavailable)
		assert.Equal(t, bench.starts("b2"), 0)
	})
}

// Guards against a request that takes down every upstream to which its caller's
// repeats are sent.
func TestCrashRequestTakesDownAtMostTwo(t *testing.T) {
	t.Parallel()
	for _, rank := range []queuer.Rank{queuer.Lookup, queuer.Transaction} {
		run(t, true, []string{"u1", "u2", "u3", "u4"}, func(t *testing.T, bench *bench) {
			var last outcome
			for n := range 12 {
				crash := bench.request(fmt.Sprintf("c%d", n), "k", rank)
				crash.Fingerprint = 77
				crash.Header.Set(standin.HeaderCrash, "yes")
				last = bench.send(crash)
				bench.sleep(300 * time.Millisecond)
			}
			assert.Equal(t, last.kind, answerer.SuspectRefused)
			assert.Equal(t, bench.events("upstreamLost"), 2)
			assert.NilError(t, bench.send(bench.request("l1", "k", queuer.Lookup)).err)
		})
	}
}

// Guards against a crashing request whose upstream is restarted before it
// counts as lost: the crash would never be noticed.
func TestCrashBeforeQuickRestart(t *testing.T) {
	run(t, true, three, func(t *testing.T, bench *bench) {
		var last outcome
		for n := range 4 {
			crash := bench.request(fmt.Sprintf("c%d", n), "k", queuer.Transaction)
			crash.Fingerprint = 77
			crash.Header.Set(standin.HeaderCrash, "yes")
			owner := bench.dispatcher.Owner("k")
			if last = bench.send(crash); last.kind == answerer.OutcomeUnknown {
				bench.restart(owner)
			}
			bench.sleep(3 * time.Second)
		}
		assert.Equal(t, last.kind, answerer.SuspectRefused)
		assert.Equal(t, bench.events("upstreamLost"), 2)
	})
}

// Guards against a booking that is refused although a repeat of the send is
// harmless, because the connection failed before the first byte; and against
// one that runs twice, because it broke afterwards.
func TestBookingWithBrokenConnection(t *testing.T) {
	run(t, true, three, func(t *testing.T, bench *bench) {
		key := bench.keyOf("u1")
		bench.kill("u1")
		got := bench.send(bench.request("b1", key, queuer.Transaction))
		assert.NilError(t, got.err)
		assert.Equal(t, bench.starts("b1"), 1)
		broken := bench.request("b2", key, queuer.Transaction)
		broken.Header.Set(standin.HeaderCut, "before")
		assert.Equal(t, bench.send(broken).kind, answerer.OutcomeUnknown)
		assert.Equal(t, bench.send(bench.request("b2", key, queuer.Transaction)).kind, answerer.OutcomeUnknown)
		assert.Equal(t, bench.starts("b2"), 1)
		assert.Equal(t, bench.send(bench.request("b1", key, queuer.Transaction)).kind, answerer.DuplicateDone)
	})
}

// Guards against retries beyond the budget, and against more than one retry of
// a request.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	run(t, true, three, func(t *testing.T, bench *bench) {
		starts := 0
		for n := range 20 {
			broken := bench.request(fmt.Sprintf("l%d", n), "k", queuer.Lookup)
			broken.Header.Set(standin.HeaderCut, "before")
			assert.Equal(t, bench.send(broken).kind, answerer.UpstreamFailed)
			starts += bench.starts(broken.ID)
		}
		assert.Equal(t, starts, 21)
		assert.Equal(t, bench.events("upstreamLost"), 0)
	})
}

// Guards against a planned stop that fails requests, or that sends to the
// leaving upstream after 3 s, whoever announces the stop.
func TestDrainUnderLoad(t *testing.T) {
	t.Parallel()
	causes := map[string]func(*bench){
		"document": func(bench *bench) {
			bench.document = configurer.Document{Sections: map[string]configurer.Section{"ops": {
				Stops: []configurer.Stop{{Upstream: "u1", Reason: "maintenance"}},
			}}}
			bench.update()
		},
		"platform": func(bench *bench) { bench.dispatcher.SetDraining([]string{"u1"}) },
		"notice": func(bench *bench) {
			bench.nodes["u1"].stand.Change(func(behavior *standin.Behavior) { behavior.Draining = true })
		},
		"removed": func(bench *bench) {
			bench.service.Upstreams = bench.service.Upstreams[1:]
			bench.update()
		},
	}
	for _, cause := range causes {
		run(t, true, three, func(t *testing.T, bench *bench) {
			results := make(chan error, 4)
			for client := range 4 {
				go func() {
					var failed error
					for n := range 400 {
						rank := queuer.Rank(n % 2)
						got := bench.send(bench.request(fmt.Sprintf("r-%d-%d", client, n), fmt.Sprintf("k%d", n), rank))
						failed = errors.Join(failed, got.err)
					}
					results <- failed
				}()
			}
			bench.sleep(time.Second)
			cause(bench)
			announced := bench.clock.Now()
			for range 4 {
				assert.NilError(t, <-results)
			}
			assert.Equal(t, bench.events("upstreamDrained"), 1)
			for _, record := range bench.nodes["u1"].stand.Records() {
				assert.Assert(t, record.Time.Sub(announced) < 3*time.Second, record.Kind)
			}
		})
	}
}

// Guards against a last upstream that gets requests after it announced its
// stop, and against refusals that claim anything else than "not run".
func TestLastUpstreamDrains(t *testing.T) {
	run(t, true, []string{"u1"}, func(t *testing.T, bench *bench) {
		bench.dispatcher.SetDraining([]string{"u1"})
		bench.sleep(time.Second)
		assert.NilError(t, bench.send(bench.request("l1", "k", queuer.Lookup)).err)
		bench.sleep(2 * time.Second)
		got := bench.send(bench.request("l2", "k", queuer.Lookup))
		assert.Equal(t, got.kind, answerer.NotRunUnavailable)
		assert.Equal(t, bench.starts("l2"), 0)
		bench.dispatcher.SetDraining(nil)
		assert.NilError(t, bench.send(bench.request("l3", "k", queuer.Lookup)).err)
	})
}

// Guards against a planned hand-over that cuts requests in flight, that forgets
// their slots, or whose outcomes the next holder never learns.
func TestHandOver(t *testing.T) {
	run(t, true, three, func(t *testing.T, bench *bench) {
		key, first := bench.keyOf("u1"), bench.lease
		long := bench.request("b1", key, queuer.Transaction)
		long.Header.Set(standin.HeaderServiceTime, "2s")
		running := bench.async(long)
		bench.sleep(50 * time.Millisecond)
		left := bench.dispatcher.End(true)
		assert.Equal(t, len(left), 1)
		assert.Equal(t, left[0].ID, "b1")
		assert.Equal(t, left[0].Upstream, "u1")
		assert.Equal(t, bench.send(bench.request("l1", key, queuer.Lookup)).kind, answerer.NotRunUnavailable)
		state := replicator.State{InFlight: left}
		for _, entries := range first.copies {
			state.Requests = append(state.Requests, entries.Requests...)
			if entries.Assignment != nil {
				state.Assignment = *entries.Assignment
			}
		}
		successor := bench.successor()
		bench.report.Store(successor)
		assert.NilError(t, successor.Begin(t.Context(), &lease{term: 2}, state))
		bench.sleep(100 * time.Millisecond)
		assert.Equal(t, taken(successor, "u1"), 1)
		assert.Equal(t, sendTo(successor, bench.request("b1", key, queuer.Transaction)).kind, answerer.OutcomeUnknown)
		assert.Equal(t, (<-running).upstream, "u1")
		synctest.Wait()
		assert.Equal(t, taken(successor, "u1"), 0)
		assert.Equal(t, sendTo(successor, bench.request("b1", key, queuer.Transaction)).kind, answerer.DuplicateDone)
		bench.end(successor)
	})
}

// Guards against a new holder that does not know what the upstreams still run
// for the lost one: the key would start elsewhere, and the slots would be
// exceeded.
func TestTakeOverFindsRequestsInFlight(t *testing.T) {
	for _, checks := range []bool{true, false} {
		run(t, checks, three, func(t *testing.T, bench *bench) {
			key, first := bench.keyOf("u1"), bench.lease
			long := bench.request("b1", key, queuer.Transaction)
			long.Header.Set(standin.HeaderServiceTime, "2s")
			running := bench.async(long)
			first.set(func() { first.expired = true })
			moved := bench.dispatcher.Status().Shards
			moved[long.Shard] = "u2"
			successor := bench.successor()
			assert.NilError(t, successor.Begin(t.Context(), &lease{term: 2}, replicator.State{
				Assignment: replicator.Assignment{Term: 1, Version: 9, Shards: moved},
			}))
			bench.sleep(100 * time.Millisecond)
			assert.Equal(t, taken(successor, "u1"), 1)
			got := sendTo(successor, bench.request("l1", key, queuer.Lookup))
			assert.NilError(t, got.err)
			assert.Equal(t, got.upstream, "u2")
			assert.NilError(t, (<-running).err)
			assert.Assert(t, taken(successor, "u1") == 0)
			bench.end(successor)
		})
	}
}

// Guards against a takeover that waits for the grants of an upstream whose
// process has ended, and against one that does not wait for a frozen one.
func TestTakeOverWithDeadOrFrozenUpstream(t *testing.T) {
	for name, fail := range map[string]func(*bench){
		"dead":   func(bench *bench) { bench.kill("u1") },
		"frozen": func(bench *bench) { bench.freeze("u1", true) },
	} {
		run(t, true, three, func(t *testing.T, bench *bench) {
			key, shards := bench.keyOf("u2"), bench.dispatcher.Status().Shards
			fail(bench)
			bench.dispatcher.End(false)
			bench.begin(&lease{term: 2}, replicator.State{Assignment: replicator.Assignment{Term: 1, Version: 9, Shards: shards}})
			waited := servedAgain(bench, key) + 100*time.Millisecond
			assert.Equal(t, waited < 200*time.Millisecond, name == "dead", "%s: %v", name, waited)
			assert.Assert(t, waited < time.Second, "%s: %v", name, waited)
		})
	}
}

// Guards against a suspect that stops its upstream while a long upload runs.
func TestSuspectDoesNotWaitForLongWork(t *testing.T) {
	run(t, true, []string{"u1", "u2"}, func(t *testing.T, bench *bench) {
		crash := bench.request("c1", bench.keyOf("u1"), queuer.Transaction)
		crash.Fingerprint = 77
		crash.Header.Set(standin.HeaderCrash, "yes")
		bench.send(crash)
		bench.sleep(3 * time.Second)
		upload := bench.request("up1", "k", queuer.Upload)
		upload.Header.Set(standin.HeaderServiceTime, "4s")
		running := bench.async(upload)
		suspect := bench.request("c2", "k", queuer.Lookup)
		suspect.Fingerprint = 77
		refused := bench.async(suspect)
		assert.Assert(t, servedAgain(bench, "k") < time.Second)
		assert.Equal(t, (<-refused).kind, answerer.NotRunOverloaded)
		assert.NilError(t, (<-running).err)
	})
}
