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

// sendLoad sends lookups from several clients for the given time. Each client
// sends one request after the other, with the keys of the function.
func sendLoad(harness *harness, clients int, d time.Duration, key func(client, n int) string) []error {
	until := harness.clock.Now().Add(d)
	results := make(chan error, clients)
	for client := range clients {
		go func() {
			var failed error
			for n := 0; harness.clock.Now().Before(until); n++ {
				id := fmt.Sprintf("load-%d-%d-%d", client, n, until.UnixNano())
				request := harness.request(id, key(client, n), queuer.Lookup)
				request.Header.Set(standin.HeaderServiceTime, "20ms")
				failed = errors.Join(failed, harness.send(request).err)
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

func shardCount(harness *harness, name string) int { return harness.upstreamStatus(name).Shards }

// Guards against moves without a gain: with an even load, nothing may move.
func TestEvenLoadMovesNothing(t *testing.T) {
	t.Parallel()
	runHarness(t, true, threeUpstreams, func(t *testing.T, harness *harness) {
		version := harness.dispatcher.Status().Version
		assert.Equal(t, len(sendLoad(harness, 3, 30*time.Second, func(client, n int) string {
			return fmt.Sprintf("even-%d", n%(97+client))
		})), 0)
		assert.Assert(t, harness.dispatcher.Status().Version <= version+2, "%d changes", harness.dispatcher.Status().Version-version)
	})
}

// Guards against a slow upstream that keeps all of its shards.
func TestSlowUpstreamLosesItsShare(t *testing.T) {
	t.Parallel()
	runHarness(t, true, []string{"u1", "u2", "u3", "u4"}, func(t *testing.T, harness *harness) {
		harness.nodes["u1"].upstream.UpdateBehavior(func(behavior *standin.Behavior) { behavior.SlowFactor = 10 })
		before := shardCount(harness, "u1")
		keys := func(client, n int) string { return fmt.Sprintf("key-%d", (n*7+client*13)%101) }
		assert.Equal(t, len(sendLoad(harness, 4, 30*time.Second, keys)), 0)
		assert.Equal(t, harness.countEvents("upstreamSlow"), 1)
		assert.Assert(t, shardCount(harness, "u1") < before, "%d shards of %d", shardCount(harness, "u1"), before)
		assert.Assert(t, harness.upstreamStatus("u1").RelativeSpeed < 0.2)
	})
}

// Guards against hot keys that stay together on one upstream, and against keys
// that stay hot after their load has ended.
func TestHotKeysAreSpread(t *testing.T) {
	t.Parallel()
	runHarness(t, true, threeUpstreams, func(t *testing.T, harness *harness) {
		var hot []string
		for n := 0; len(hot) < 3; n++ {
			if key := fmt.Sprintf("hot-%d", n); harness.dispatcher.Owner(key) == "u1" {
				hot = append(hot, key)
			}
		}
		assert.Equal(t, len(sendLoad(harness, 3, 25*time.Second, func(client, _ int) string { return hot[client] })), 0)
		owners := map[string]bool{}
		for _, key := range hot {
			owners[harness.dispatcher.Owner(key)] = true
		}
		assert.Equal(t, len(owners), 3, "%v", harness.dispatcher.Status().HotKeys)
		assert.Assert(t, len(harness.dispatcher.Status().HotKeys) <= 3)
		assert.Equal(t, len(sendLoad(harness, 3, 70*time.Second, func(client, n int) string { return fmt.Sprintf("even-%d", (n+client)%101) })), 0)
		assert.Equal(t, len(harness.dispatcher.Status().HotKeys), 0)
		assert.NilError(t, harness.send(harness.request("after", hot[0], queuer.Lookup)).err)
	})
}

// Guards against a pinned key whose rule is ignored, that stays on a draining
// upstream, or that does not return after the drain was cancelled.
func TestPinnedKeys(t *testing.T) {
	runHarness(t, true, threeUpstreams, func(t *testing.T, harness *harness) {
		key := harness.keyOf("u1")
		harness.document = configurer.Document{Sections: map[string]configurer.Section{"team": {
			Keys: []configurer.KeyRule{{Service: "quotes", Key: key, Upstream: "u2"}, {Service: "other", Key: "x", Upstream: "u3"}},
		}}}
		harness.applyConfig()
		harness.sleep(100 * time.Millisecond)
		assert.Equal(t, harness.send(harness.request("l1", key, queuer.Lookup)).upstream, "u2")
		harness.dispatcher.SetDraining([]string{"u2"})
		harness.sleep(100 * time.Millisecond)
		got := harness.send(harness.request("l2", key, queuer.Lookup))
		assert.Assert(t, got.err == nil && got.upstream != "u2", "%v", got)
		harness.dispatcher.SetDraining(nil)
		harness.sleep(100 * time.Millisecond)
		assert.Equal(t, harness.send(harness.request("l3", key, queuer.Lookup)).upstream, "u2")
		harness.document = configurer.Document{}
		harness.applyConfig()
		harness.sleep(15 * time.Second)
		assert.Equal(t, len(harness.dispatcher.Status().HotKeys), 0)
		assert.Equal(t, harness.send(harness.request("l4", key, queuer.Lookup)).upstream, "u1")
	})
}

// Guards against a new upstream that gets no shards or too many at once, and
// against a removed upstream that is kept.
func TestUpstreamsJoinAndLeave(t *testing.T) {
	t.Parallel()
	runHarness(t, true, []string{"u1", "u2"}, func(t *testing.T, harness *harness) {
		harness.startNode("u3")
		harness.service.Upstreams = append(harness.service.Upstreams,
			configurer.Upstream{Name: "u3", Zone: "a", Address: "u3:80", Slots: 2, Connections: 10})
		harness.applyConfig()
		keys := func(client, n int) string { return fmt.Sprintf("key-%d", (n*7+client*13)%101) }
		assert.Equal(t, len(sendLoad(harness, 3, 4*time.Second, keys)), 0)
		assert.Equal(t, shardCount(harness, "u3"), 0)
		assert.Equal(t, len(sendLoad(harness, 3, 30*time.Second, keys)), 0)
		assert.Assert(t, shardCount(harness, "u3") > 2, shardCount(harness, "u3"))
		harness.service.Upstreams = harness.service.Upstreams[1:]
		harness.applyConfig()
		assert.Equal(t, len(sendLoad(harness, 3, 2*time.Second, keys)), 0)
		assert.Equal(t, len(harness.dispatcher.Status().Upstreams), 2)
	})
}

// Guards against an assignment that takes effect before a majority has stored
// it, and against an assignment that is not written again after the platform
// failed.
func TestAssignmentIsCopiedThenPersisted(t *testing.T) {
	runHarness(t, true, threeUpstreams, func(t *testing.T, harness *harness) {
		var calls atomic.Int32
		var stored atomic.Uint64
		persist := func(assignment replicator.Assignment) error {
			if calls.Add(1) < 3 {
				return errors.New("the platform is down")
			}
			stored.Store(assignment.Version)
			return nil
		}
		harness.persist.Store(&persist)
		version := harness.dispatcher.Status().Version
		harness.lease.withLock(func() { harness.lease.onCopy = func(replicator.Entries) error { return errors.New("no majority") } })
		harness.dispatcher.SetDraining([]string{"u1"})
		harness.sleep(time.Second)
		assert.Equal(t, harness.dispatcher.Status().Version, version)
		assert.NilError(t, harness.send(harness.request("l1", harness.keyOf("u1"), queuer.Lookup)).err)
		harness.lease.withLock(func() { harness.lease.onCopy = nil })
		harness.sleep(time.Second)
		assert.Assert(t, harness.dispatcher.Status().Version > version)
		harness.sleep(5 * time.Second)
		assert.Equal(t, stored.Load(), harness.dispatcher.Status().Version)
	})
}

// Guards against an assignment that is never written to the platform because
// its holder was lost during an outage of the platform and the next holder does
// not change it.
func TestInheritedAssignmentIsPersisted(t *testing.T) {
	runHarness(t, true, threeUpstreams, func(t *testing.T, harness *harness) {
		var inherited replicator.Assignment
		harness.lease.withLock(func() {
			inherited = *harness.lease.copies[len(harness.lease.copies)-1].Assignment
		})
		var stored atomic.Uint64
		persist := func(assignment replicator.Assignment) error {
			stored.Store(assignment.Version)
			return nil
		}
		harness.persist.Store(&persist)
		harness.dispatcher.End(false)
		harness.beginTerm(&lease{term: 2}, replicator.State{Assignment: inherited})
		harness.sleep(2 * time.Second)
		assert.Equal(t, harness.dispatcher.Status().Version, inherited.Version)
		assert.Equal(t, stored.Load(), inherited.Version)
	})
}

// Guards against a repeated request that runs again after the group has lost
// its record of request IDs.
func TestLostMemoryRefusesPossibleRepeats(t *testing.T) {
	t.Parallel()
	runHarness(t, true, threeUpstreams, func(t *testing.T, harness *harness) {
		harness.dispatcher.End(false)
		harness.beginTerm(&lease{term: 2}, replicator.State{StateLostAt: harness.clock.Now()})
		v7 := func() string {
			id := uuid.UUID{6: 0x70, 8: 0x80}
			millis := harness.clock.Now().UnixMilli()
			for index := range 6 {
				id[index] = byte(millis >> (40 - 8*index))
			}
			return id.String()
		}
		old := v7()
		harness.sleep(6 * time.Second)
		for id, kind := range map[string]answerer.Kind{old: answerer.OutcomeUnknown, "b1": answerer.OutcomeUnknown, v7(): ""} {
			assert.Equal(t, harness.send(harness.request(id, "k", queuer.Transaction)).kind, kind, id)
		}
		harness.sleep(11 * time.Minute)
		assert.NilError(t, harness.send(harness.request("b2", "k", queuer.Transaction)).err)
	})
}

// Guards against a suspect that runs at the same time as other requests.
func TestSuspectRunsAlone(t *testing.T) {
	runHarness(t, true, []string{"u1", "u2"}, func(t *testing.T, harness *harness) {
		crash := harness.request("c1", harness.keyOf("u1"), queuer.Transaction)
		crash.Fingerprint = 77
		crash.Header.Set(standin.HeaderCrash, "yes")
		harness.send(crash)
		harness.sleep(3 * time.Second)
		long := harness.request("b1", "k", queuer.Transaction)
		long.Header.Set(standin.HeaderServiceTime, "400ms")
		running := harness.sendAsync(long)
		suspect := harness.request("c2", "k", queuer.Lookup)
		suspect.Fingerprint = 77
		waiting := harness.sendAsync(suspect)
		harness.sleep(100 * time.Millisecond)
		assert.Equal(t, harness.startCount("c2"), 0)
		assert.NilError(t, (<-running).err)
		assert.NilError(t, (<-waiting).err)
		suspect = harness.request("c3", "k", queuer.Lookup)
		suspect.Fingerprint = 77
		assert.NilError(t, harness.send(suspect).err)
		assert.Equal(t, harness.countEvents("fingerprintConvicted"), 0)
	})
}

// Guards against an upstream that was slow once and then never gets a request
// with a short deadline again.
func TestServiceTimeEstimateRecovers(t *testing.T) {
	runHarness(t, true, []string{"u1"}, func(t *testing.T, harness *harness) {
		send := func(id, service string, left time.Duration) <-chan outcome {
			request := harness.request(id, id, queuer.Lookup)
			request.Header.Set(standin.HeaderServiceTime, service)
			request.Deadline = harness.clock.Now().Add(left)
			return harness.sendAsync(request)
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
		booking := harness.request("b1", "b1", queuer.Transaction)
		for n := range 6 {
			slow := harness.request(fmt.Sprintf("b-%d", n), "b", queuer.Transaction)
			slow.Header.Set(standin.HeaderServiceTime, "200ms")
			assert.NilError(t, harness.send(slow).err)
		}
		booking.Deadline = harness.clock.Now().Add(100 * time.Millisecond)
		assert.Equal(t, harness.send(booking).kind, answerer.NotRunDeadline)
		harness.sleep(6 * time.Second)
		booking.Deadline = harness.clock.Now().Add(100 * time.Millisecond)
		assert.NilError(t, harness.send(booking).err)
	})
}

// Guards against uploads that delay or displace lookups and transactions, and
// against uploads that are interrupted or starved by an overload.
func TestUploadOverload(t *testing.T) {
	t.Parallel()
	runHarness(t, true, []string{"u1"}, func(t *testing.T, harness *harness) {
		harness.document = configurer.Document{Sections: map[string]configurer.Section{"team": {Ranks: []configurer.RankPolicy{
			{Rank: queuer.Lookup, Target: configurer.Duration(time.Second), MinimumShare: 0.2},
			{Rank: queuer.Transaction, Target: configurer.Duration(2 * time.Second), MinimumShare: 0.2},
			{Rank: queuer.Upload, Target: configurer.Duration(2 * time.Second), MinimumShare: 0.1},
		}}}}
		harness.applyConfig()
		kinds := make([]map[answerer.Kind]int, queuer.RankCount)
		var mutex sync.Mutex
		var clients sync.WaitGroup
		until := harness.clock.Now().Add(20 * time.Second)
		offer := func(rank queuer.Rank, every time.Duration) {
			kinds[rank] = map[answerer.Kind]int{}
			for n := 0; harness.clock.Now().Before(until); n++ {
				request := harness.request(fmt.Sprintf("%v-%d", rank, n), fmt.Sprintf("k%d", n), rank)
				clients.Go(func() {
					got := harness.send(request)
					mutex.Lock()
					defer mutex.Unlock()
					kinds[rank][got.kind]++
				})
				harness.sleep(every)
			}
		}
		var offers sync.WaitGroup
		offers.Go(func() { offer(queuer.Upload, 2500*time.Microsecond) }) // ten times the capacity of two slots
		offers.Go(func() { offer(queuer.Lookup, 10*time.Millisecond) })
		offers.Go(func() { offer(queuer.Transaction, 100*time.Millisecond) })
		offers.Wait()
		clients.Wait()
		assert.Assert(t, kinds[queuer.Lookup][""] >= 1980, "%v", kinds)
		assert.Assert(t, kinds[queuer.Transaction][""] >= 198, "%v", kinds)
		share := 0.1 * 2 * float64(20*time.Second) / float64(50*time.Millisecond) // slot time divided by service time
		assert.Assert(t, float64(kinds[queuer.Upload][""]) >= share, "%v", kinds)
		for kind := range kinds[queuer.Upload] {
			assert.Assert(t, kind == "" || kind.Response().NotRun, "%v", kinds)
		}
	})
}
