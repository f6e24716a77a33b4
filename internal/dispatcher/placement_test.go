package dispatcher_test

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/replicator"
	standin "github.com/cuminstream/cuminstream/internal/standin/upstreamer"
	"github.com/cuminstream/cuminstream/pkg/answerer"
	"github.com/cuminstream/cuminstream/pkg/queuer"
)

// load sends lookups of the keys from several clients for the time, each client
// with its own keys in turn.
func load(bench *bench, clients int, d time.Duration, key func(client, n int) string) []error {
	until := bench.clock.Now().Add(d)
	results := make(chan error, clients)
	for client := range clients {
		go func() {
			var failed error
			for n := 0; bench.clock.Now().Before(until); n++ {
				id := fmt.Sprintf("load-%d-%d-%d", client, n, until.UnixNano())
				request := bench.request(id, key(client, n), queuer.Lookup)
				request.Header.Set(standin.HeaderServiceTime, "20ms")
				failed = errors.Join(failed, bench.send(request).err)
			}
			results <- failed
		}()
	}
	var faults []error
	for range clients {
		if err := <-results; err != nil {
			faults = append(faults, err)
		}
	}
	return faults
}

func shardsOf(bench *bench, name string) int { return bench.upstream(name).Shards }

// Guards against moves without gain: an even load must move nothing.
func TestEvenLoadMovesNothing(t *testing.T) {
	t.Parallel()
	run(t, true, three, func(t *testing.T, bench *bench) {
		version := bench.dispatcher.Status().Version
		assert.Equal(t, len(load(bench, 3, 30*time.Second, func(client, n int) string {
			return fmt.Sprintf("even-%d", n%(97+client))
		})), 0)
		assert.Assert(t, bench.dispatcher.Status().Version <= version+2, "%d changes", bench.dispatcher.Status().Version-version)
	})
}

// Guards against a slow upstream that keeps its shards, and against one that is
// not given any back after it has recovered.
func TestSlowUpstreamLosesItsShare(t *testing.T) {
	t.Parallel()
	run(t, true, []string{"u1", "u2", "u3", "u4"}, func(t *testing.T, bench *bench) {
		bench.nodes["u1"].stand.Change(func(behavior *standin.Behavior) { behavior.SlowFactor = 10 })
		before := shardsOf(bench, "u1")
		keys := func(client, n int) string { return fmt.Sprintf("key-%d", (n*7+client*13)%101) }
		assert.Equal(t, len(load(bench, 4, 30*time.Second, keys)), 0)
		assert.Equal(t, bench.events("upstreamSlow"), 1)
		assert.Assert(t, shardsOf(bench, "u1") < before, "%d shards of %d", shardsOf(bench, "u1"), before)
		assert.Assert(t, bench.upstream("u1").RelativeSpeed < 0.2)
	})
}

// Guards against hot keys that stay together on one upstream.
func TestHotKeysAreSpread(t *testing.T) {
	t.Parallel()
	run(t, true, three, func(t *testing.T, bench *bench) {
		var hot []string
		for n := 0; len(hot) < 3; n++ {
			if key := fmt.Sprintf("hot-%d", n); bench.dispatcher.Owner(key) == "u1" {
				hot = append(hot, key)
			}
		}
		assert.Equal(t, len(load(bench, 3, 25*time.Second, func(client, _ int) string { return hot[client] })), 0)
		owners := map[string]bool{}
		for _, key := range hot {
			owners[bench.dispatcher.Owner(key)] = true
		}
		assert.Equal(t, len(owners), 3, "%v", bench.dispatcher.Status().HotKeys)
		assert.Assert(t, len(bench.dispatcher.Status().HotKeys) <= 3)
		assert.Equal(t, len(load(bench, 3, 70*time.Second, func(client, n int) string { return fmt.Sprintf("even-%d", (n+client)%101) })), 0)
		assert.Equal(t, len(bench.dispatcher.Status().HotKeys), 0)
		assert.NilError(t, bench.send(bench.request("after", hot[0], queuer.Lookup)).err)
	})
}

// Guards against a pin of the document that is ignored, that keeps a key on an
// upstream which leaves, or that is not restored.
func TestPins(t *testing.T) {
	run(t, true, three, func(t *testing.T, bench *bench) {
		key := bench.keyOf("u1")
		bench.document = configurer.Document{Sections: map[string]configurer.Section{"team": {
			Keys: []configurer.KeyRule{{Service: "quotes", Key: key, Upstream: "u2"}, {Service: "other", Key: "x", Upstream: "u3"}},
		}}}
		bench.update()
		bench.sleep(100 * time.Millisecond)
		assert.Equal(t, bench.send(bench.request("l1", key, queuer.Lookup)).upstream, "u2")
		bench.dispatcher.SetDraining([]string{"u2"})
		bench.sleep(100 * time.Millisecond)
		got := bench.send(bench.request("l2", key, queuer.Lookup))
		assert.Assert(t, got.err == nil && got.upstream != "u2", "%v", got)
		bench.dispatcher.SetDraining(nil)
		bench.sleep(100 * time.Millisecond)
		assert.Equal(t, bench.send(bench.request("l3", key, queuer.Lookup)).upstream, "u2")
		bench.document = configurer.Document{}
		bench.update()
		bench.sleep(15 * time.Second)
		assert.Equal(t, len(bench.dispatcher.Status().HotKeys), 0)
		assert.Equal(t, bench.send(bench.request("l4", key, queuer.Lookup)).upstream, "u1")
	})
}

// Guards against an upstream that joins and gets nothing, or everything at
// once, and against a removed one that is kept.
func TestUpstreamsComeAndGo(t *testing.T) {
	t.Parallel()
	run(t, true, []string{"u1", "u2"}, func(t *testing.T, bench *bench) {
		bench.startNode("u3")
		bench.service.Upstreams = append(bench.service.Upstreams,
			configurer.Upstream{Name: "u3", Zone: "a", Address: "u3:80", Slots: 2, Connections: 10})
		bench.update()
		keys := func(client, n int) string { return fmt.Sprintf("key-%d", (n*7+client*13)%101) }
		assert.Equal(t, len(load(bench, 3, 4*time.Second, keys)), 0)
		assert.Equal(t, shardsOf(bench, "u3"), 0)
		assert.Equal(t, len(load(bench, 3, 30*time.Second, keys)), 0)
		assert.Assert(t, shardsOf(bench, "u3") > 2, shardsOf(bench, "u3"))
		bench.service.Upstreams = bench.service.Upstreams[1:]
		bench.update()
		assert.Equal(t, len(load(bench, 3, 2*time.Second, keys)), 0)
		assert.Equal(t, len(bench.dispatcher.Status().Upstreams), 2)
	})
}

// Guards against an assignment that takes effect before a majority has stored
// it, and against one that is not offered to the platform again.
func TestAssignmentIsCopiedThenPersisted(t *testing.T) {
	run(t, true, three, func(t *testing.T, bench *bench) {
		var calls atomic.Int32
		var stored atomic.Uint64
		persist := func(assignment replicator.Assignment) error {
			if calls.Add(1) < 3 {
				return errors.New("the platform is down")
			}
			stored.Store(assignment.Version)
			return nil
		}
		bench.persist.Store(&persist)
		version := bench.dispatcher.Status().Version
		bench.lease.set(func() { bench.lease.onCopy = func(replicator.Entries) error { return errors.New("no majority") } })
		bench.dispatcher.SetDraining([]string{"u1"})
		bench.sleep(time.Second)
		assert.Equal(t, bench.dispatcher.Status().Version, version)
		assert.NilError(t, bench.send(bench.request("l1", bench.keyOf("u1"), queuer.Lookup)).err)
		bench.lease.set(func() { bench.lease.onCopy = nil })
		bench.sleep(time.Second)
		assert.Assert(t, bench.dispatcher.Status().Version > version)
		bench.sleep(5 * time.Second)
		assert.Equal(t, stored.Load(), bench.dispatcher.Status().Version)
	})
}

// Guards against an assignment that the platform never gets because its holder
// was lost during an outage of the platform and the next one changes nothing.
func TestInheritedAssignmentIsPersisted(t *testing.T) {
	run(t, true, three, func(t *testing.T, bench *bench) {
		var inherited replicator.Assignment
		bench.lease.set(func() {
			inherited = *bench.lease.copies[len(bench.lease.copies)-1].Assignment
		})
		var stored atomic.Uint64
		persist := func(assignment replicator.Assignment) error {
			stored.Store(assignment.Version)
			return nil
		}
		bench.persist.Store(&persist)
		bench.dispatcher.End(false)
		bench.begin(&lease{term: 2}, replicator.State{Assignment: inherited})
		bench.sleep(2 * time.Second)
		assert.Equal(t, bench.dispatcher.Status().Version, inherited.Version)
		assert.Equal(t, stored.Load(), inherited.Version)
	})
}

// Guards against a repeat that runs after the group has lost its memory.
func TestLostMemoryRefusesPossibleRepeats(t *testing.T) {
	t.Parallel()
	run(t, true, three, func(t *testing.T, bench *bench) {
		bench.dispatcher.End(false)
		bench.begin(&lease{term: 2}, replicator.State{StateLostAt: bench.clock.Now()})
		v7 := func() string {
			id := uuid.UUID{6: 0x70, 8: 0x80}
			millis := bench.clock.Now().UnixMilli()
			for index := range 6 {
				id[index] = byte(millis >> (40 - 8*index))
			}
			return id.String()
		}
		old := v7()
		bench.sleep(6 * time.Second)
		for id, kind := range map[string]answerer.Kind{old: answerer.OutcomeUnknown, "b1": answerer.OutcomeUnknown, v7(): ""} {
			assert.Equal(t, bench.send(bench.request(id, "k", queuer.Transaction)).kind, kind, id)
		}
		bench.sleep(11 * time.Minute)
		assert.NilError(t, bench.send(bench.request("b2", "k", queuer.Transaction)).err)
	})
}

// Guards against a suspect that runs beside other requests.
func TestSuspectRunsAlone(t *testing.T) {
	run(t, true, []string{"u1", "u2"}, func(t *testing.T, bench *bench) {
		crash := bench.request("c1", bench.keyOf("u1"), queuer.Transaction)
		crash.Fingerprint = 77
		crash.Header.Set(standin.HeaderCrash, "yes")
		bench.send(crash)
		bench.sleep(3 * time.Second)
		long := bench.request("b1", "k", queuer.Transaction)
		long.Header.Set(standin.HeaderServiceTime, "400ms")
		running := bench.async(long)
		suspect := bench.request("c2", "k", queuer.Lookup)
		suspect.Fingerprint = 77
		waiting := bench.async(suspect)
		bench.sleep(100 * time.Millisecond)
		assert.Equal(t, bench.starts("c2"), 0)
		assert.NilError(t, (<-running).err)
		assert.NilError(t, (<-waiting).err)
		suspect = bench.request("c3", "k", queuer.Lookup)
		suspect.Fingerprint = 77
		assert.NilError(t, bench.send(suspect).err)
		assert.Equal(t, bench.events("fingerprintConvicted"), 0)
	})
}

// Guards against an upstream that was slow once and is then refused every
// request with a short deadline.
func TestExpectationRecovers(t *testing.T) {
	run(t, true, []string{"u1"}, func(t *testing.T, bench *bench) {
		send := func(id, service string, left time.Duration) <-chan outcome {
			request := bench.request(id, id, queuer.Lookup)
			request.Header.Set(standin.HeaderServiceTime, service)
			request.Deadline = bench.clock.Now().Add(left)
			return bench.async(request)
		}
		for n := range 6 {
			assert.NilError(t, (<-send(fmt.Sprintf("slow-%d", n), "200ms", time.Second)).err)
		}
		running := send("other", "200ms", time.Second)
		assert.Equal(t, (<-send("cut", "200ms", 100*time.Millisecond)).kind, answerer.NotRunDeadline)
		assert.NilError(t, (<-running).err)
		for n := range 6 {
			assert.NilError(t, (<-send(fmt.Sprintf("fast-%d", n), "5ms", 100*time.Millisecond)).err)
		}
		running = send("beside", "50ms", time.Second)
		assert.NilError(t, (<-send("again", "5ms", 100*time.Millisecond)).err)
		assert.NilError(t, (<-running).err)
		booking := bench.request("b1", "b1", queuer.Transaction)
		for n := range 6 {
			slow := bench.request(fmt.Sprintf("b-%d", n), "b", queuer.Transaction)
			slow.Header.Set(standin.HeaderServiceTime, "200ms")
			assert.NilError(t, bench.send(slow).err)
		}
		booking.Deadline = bench.clock.Now().Add(100 * time.Millisecond)
		assert.Equal(t, bench.send(booking).kind, answerer.NotRunDeadline)
		bench.sleep(6 * time.Second)
		booking.Deadline = bench.clock.Now().Add(100 * time.Millisecond)
		assert.NilError(t, bench.send(booking).err)
	})
}

// Guards against uploads that take the service of lookups and transactions, and
// against uploads that are cut or starved by an overload.
func TestOverloadOfUploads(t *testing.T) {
	t.Parallel()
	run(t, true, []string{"u1"}, func(t *testing.T, bench *bench) {
		bench.document = configurer.Document{Sections: map[string]configurer.Section{"team": {Ranks: []configurer.RankPolicy{
			{Rank: queuer.Lookup, Target: configurer.Duration(time.Second), MinimumShare: 0.2},
			{Rank: queuer.Transaction, Target: configurer.Duration(2 * time.Second), MinimumShare: 0.2},
			{Rank: queuer.Upload, Target: configurer.Duration(2 * time.Second), MinimumShare: 0.1},
		}}}}
		bench.update()
		kinds := make([]map[answerer.Kind]int, queuer.RankCount)
		var mutex sync.Mutex
		var clients sync.WaitGroup
		until := bench.clock.Now().Add(20 * time.Second)
		offer := func(rank queuer.Rank, every time.Duration) {
			kinds[rank] = map[answerer.Kind]int{}
			for n := 0; bench.clock.Now().Before(until); n++ {
				request := bench.request(fmt.Sprintf("%v-%d", rank, n), fmt.Sprintf("k%d", n), rank)
				clients.Go(func() {
					got := bench.send(request)
					mutex.Lock()
					defer mutex.Unlock()
					kinds[rank][got.kind]++
				})
				bench.sleep(every)
			}
		}
		var offers sync.WaitGroup
		offers.Go(func() { offer(queuer.Upload, 2500*time.Microsecond) }) // ten times what two slots can do
		offers.Go(func() { offer(queuer.Lookup, 10*time.Millisecond) })
		offers.Go(func() { offer(queuer.Transaction, 100*time.Millisecond) })
		offers.Wait()
		clients.Wait()
		assert.Assert(t, kinds[queuer.Lookup][""] >= 1980, "%v", kinds)
		assert.Assert(t, kinds[queuer.Transaction][""] >= 198, "%v", kinds)
		share := 0.1 * 2 * float64(20*time.Second) / float64(50*time.Millisecond) // slot time over service time
		assert.Assert(t, float64(kinds[queuer.Upload][""]) >= share, "%v", kinds)
		for kind := range kinds[queuer.Upload] {
			assert.Assert(t, kind == "" || kind.Response().NotRun, "%v", kinds)
		}
	})
}
