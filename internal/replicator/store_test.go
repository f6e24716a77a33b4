package replicator

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cuminstream/cuminstream/pkg/deduper"
	"github.com/cuminstream/cuminstream/pkg/leaser"
	"github.com/cuminstream/cuminstream/pkg/suspecter"
)

// Guards against a merge in which the withdrawal of an earlier run replaces a later
// run, or an intent replaces an outcome.
func TestMergeOfRequests(t *testing.T) {
	entry := func(status deduper.Status, sequence uint64) deduper.Entry {
		return deduper.Entry{ID: "r", Status: status, Sequence: sequence, UpdatedAt: epoch}
	}
	for _, order := range [][]deduper.Entry{
		{entry(deduper.Done, 1), entry(deduper.Intent, 1)},
		{entry(deduper.Withdrawn, 0), entry(deduper.Intent, 1), entry(deduper.Done, 1)},
		{entry(deduper.Done, 1), entry(deduper.Done, 0), entry(deduper.Unknown, 1)},
	} {
		store := newStore()
		for _, entry := range order {
			store.apply(epoch, Entries{Requests: []deduper.Entry{entry}})
		}
		assert.DeepEqual(t, store.state(epoch).Requests, []deduper.Entry{entry(deduper.Done, 1)})
	}
}

// Guards against a merge that drops losses, or keeps those from before the entry was
// cleared by a completed run.
func TestMergeOfSuspects(t *testing.T) {
	at := func(seconds int) time.Time { return epoch.Add(time.Duration(seconds) * time.Second) }
	one := suspecter.Entry{Fingerprint: 7, Losses: 1, LastLossAt: at(1)}
	two := suspecter.Entry{Fingerprint: 7, Losses: 2, LastLossAt: at(2)}
	cleared := suspecter.Entry{Fingerprint: 7, LastLossAt: at(3), ClearedAt: at(3)}
	again := suspecter.Entry{Fingerprint: 7, Losses: 1, LastLossAt: at(4), ClearedAt: at(3)}
	assert.Equal(t, mergeSuspect(one, two).Losses, 2)
	assert.Equal(t, mergeSuspect(two, one).Losses, 2)
	assert.Equal(t, mergeSuspect(two, cleared).Losses, 0)
	assert.Equal(t, mergeSuspect(cleared, two).Losses, 0)
	assert.Equal(t, mergeSuspect(two, again).Losses, 1)
	assert.Equal(t, mergeSuspect(again, two).Losses, 1)
}

// Guards against entries that are skipped between pages, also if old ones are pruned
// in the meantime, and against a store that grows without bound.
func TestPagesAndWindow(t *testing.T) {
	source, target := newStore(), newStore()
	for number := range 3*pageRequests + 1 {
		at := epoch
		if number < 10 {
			at = epoch.Add(-requestWindow)
		}
		source.apply(epoch, Entries{Requests: []deduper.Entry{{ID: fmt.Sprint(number), Status: deduper.Intent, UpdatedAt: at}}})
	}
	pages := 0
	for cursor, more := uint64(0), true; more; pages++ {
		page := source.page(epoch, cursor, nil)
		assert.Assert(t, len(page.State.Requests) <= pageRequests)
		target.applyPage(epoch, page)
		cursor, more = page.Next, page.More
		if pages == 1 {
			source.prune(epoch.Add(2 * time.Second))
		}
	}
	assert.Equal(t, pages, 5)
	assert.Assert(t, len(target.requests) >= 3*pageRequests-9, "%d entries", len(target.requests))
	later := epoch.Add(requestWindow + time.Second)
	assert.Equal(t, len(source.state(later).Requests), 0)
	assert.Equal(t, len(source.order), 0)
}

// Guards against a new holder that misses entries because two different states have
// the same digest, and against one that reads everything if little differs.
func TestDigestFindsEveryDifference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		own, other, all := newStore(), newStore(), newStore()
		for number := range rapid.IntRange(0, 200).Draw(t, "entries") {
			entry := deduper.Entry{ID: fmt.Sprint(number), Status: deduper.Intent, UpdatedAt: epoch}
			newer := entry
			newer.Status = rapid.SampledFrom([]deduper.Status{deduper.Intent, deduper.Done}).Draw(t, "status")
			newer.Sequence = rapid.Uint64Range(0, 2).Draw(t, "try")
			where := rapid.IntRange(0, 4).Draw(t, "where")
			for index, store := range []*store{own, other} {
				if where != index {
					store.apply(epoch, Entries{Requests: []deduper.Entry{entry}})
				}
				if where == 2+index {
					store.apply(epoch, Entries{Requests: []deduper.Entry{newer}})
				}
			}
			all.apply(epoch, Entries{Requests: []deduper.Entry{entry}})
			if where == 2 || where == 3 {
				all.apply(epoch, Entries{Requests: []deduper.Entry{newer}})
			}
		}
		read := &candidateState{store: newStore(), buckets: other.digest.differing(own.digest)}
		for cursor, more := uint64(0), true; more; {
			page := other.page(epoch, cursor, read.buckets)
			read.store.applyPage(epoch, page)
			cursor, more = page.Next, page.More
		}
		changed := map[string]bool{}
		for _, id := range own.merge(epoch, read) {
			changed[id] = true
		}
		for _, entries := range own.missingEntries(read, changed) {
			other.apply(epoch, entries)
		}
		assert.DeepEqual(t, own.requests, all.requests)
		assert.DeepEqual(t, other.requests, all.requests)
		assert.Equal(t, len(own.digest.differing(other.digest)), 0)
	})
}

// Guards against requests in flight that reappear in a merge after they have ended,
// or that replace those of a later holder.
func TestInFlight(t *testing.T) {
	store, other := newStore(), newStore()
	list := []InFlight{{ID: "a", Remaining: 2 * time.Second}, {ID: "b", Remaining: time.Second}}
	store.setInFlight(epoch, 4, list)
	other.setInFlight(epoch, 4, list)
	other.apply(epoch, Entries{Ended: []string{"a"}})
	store.applyPage(epoch, other.page(epoch, 0, nil))
	assert.DeepEqual(t, store.remainingInFlight(epoch), list[1:])
	store.setInFlight(epoch, 3, list)
	assert.DeepEqual(t, store.remainingInFlight(epoch.Add(500*time.Millisecond)), []InFlight{{ID: "b", Remaining: 500 * time.Millisecond}})
	assert.Equal(t, len(store.remainingInFlight(epoch.Add(time.Second))), 0)
}

// Guards against a restarted candidate that does not receive a state of several
// pages.
func TestLargeStateIsRestored(t *testing.T) {
	withCluster(t, 11, threeVMs, func(t *testing.T, cluster *cluster) {
		holder := startServing(t, cluster, record(threeVMs...))
		var entries []deduper.Entry
		for number := range 2*pageRequests + 5 {
			entries = append(entries, deduper.Entry{ID: fmt.Sprint(number), Status: deduper.Intent, UpdatedAt: cluster.clock.Now()})
		}
		cluster.running.Go(func() error { return holder.lease.Replicate(holder.ctx, Entries{Requests: entries}) })
		cluster.run(100 * time.Millisecond)
		restarted := cluster.start("c", record(threeVMs...))
		cluster.runUntil(2*time.Second, restarted.group.Synchronized)
		assert.Equal(t, len(restarted.group.store.requests), len(entries))
		vm, _, known := restarted.group.Holder()
		assert.Assert(t, known && vm == holder.name)
	})
}

// Guards against allocations in Valid, which is called before every request.
func TestLeaseValidDoesNotAllocate(t *testing.T) {
	withCluster(t, 12, []string{"a"}, func(t *testing.T, cluster *cluster) {
		lease := startServing(t, cluster, record("a")).lease
		assert.Equal(t, testing.AllocsPerRun(100, func() { lease.Valid() }), 0.0)
	})
}

// Guards against a quorum that needs a majority of only one of two lists.
func TestQuorums(t *testing.T) {
	lists := Record{Candidates: []string{"a", "b", "d"}, Previous: threeVMs}.lists()
	has := func(vms ...string) func(string) bool {
		return func(vm string) bool {
			for _, other := range vms {
				if vm == other {
					return true
				}
			}
			return false
		}
	}
	assert.Assert(t, !leaser.MajorityOfEach(lists, has("a", "d")))
	assert.Assert(t, !leaser.MajorityOfEach(lists, has("a", "c")))
	assert.Assert(t, leaser.MajorityOfEach(lists, has("a", "b")))
	assert.Assert(t, leaser.MajorityOfEach(lists, has("a", "c", "d")))
	for n, want := range map[int]int{1: 1, 2: 1, 3: 2, 4: 2, 5: 3} {
		assert.Equal(t, readQuorum(n), want)
	}
}
