package suspecter_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/suspecter"
)

const window = time.Hour

var start = time.Unix(1_000_000, 0)

// Guards against losses that are not counted, and against losses that remain after the
// request has completed or after the window.
func TestLossesAreCountedClearedAndExpired(t *testing.T) {
	clock := clocker.NewFake(start)
	table := suspecter.New(clock, window)
	assert.Equal(t, len(table.RecordLosses(7, 8, 7)), 2)
	assert.Equal(t, table.Losses(7), 1)
	clock.Advance(time.Minute)
	table.RecordLosses(7)
	assert.Equal(t, table.Losses(7), 2)

	_, ok := table.Clear(8)
	assert.Assert(t, ok)
	assert.Equal(t, table.Losses(8), 0)
	_, ok = table.Clear(9)
	assert.Assert(t, !ok, "a fingerprint without losses was cleared")

	clock.Advance(window)
	assert.Equal(t, table.Losses(7), 0)
	assert.Equal(t, len(table.Entries()), 0)
}

// Guards against a loss or a clear that has no effect after a merge because the clock of the
// holder that recorded it is behind the clock of the former holder.
func TestChangesOverrideEarlierOnesOfFasterClock(t *testing.T) {
	ahead, behind := clocker.NewFake(start.Add(time.Minute)), clocker.NewFake(start)
	former, holder := suspecter.New(ahead, window), suspecter.New(behind, window)
	former.RecordLosses(7)
	holder.Merge(former.Entries())
	holder.RecordLosses(7)
	former.Merge(holder.Entries())
	assert.Equal(t, former.Losses(7), 2)
	holder.Clear(7)
	former.Merge(holder.Entries())
	assert.Equal(t, former.Losses(7), 0)
	holder.RecordLosses(7)
	former.Merge(holder.Entries())
	assert.Equal(t, former.Losses(7), 1)
}

// Guards against memory that grows without bound when upstreams are lost with many different
// requests in flight.
func TestMemoryIsBounded(t *testing.T) {
	table := suspecter.New(clocker.NewFake(start), window)
	for fingerprint := range uint64(20_000) {
		table.RecordLosses(fingerprint)
	}
	assert.Assert(t, len(table.Entries()) <= suspecter.MaxEntries)
	assert.Equal(t, table.Losses(19_999), 1)
}

// drawEntries draws entries of few fingerprints, some of which have expired and some of
// which come from a clock that is ahead.
func drawEntries(t *rapid.T, name string) []suspecter.Entry {
	entries := make([]suspecter.Entry, rapid.IntRange(0, 6).Draw(t, name))
	at := func() time.Time {
		return start.Add(time.Duration(rapid.SampledFrom([]int{-70, -62, -30, -10, 5}).Draw(t, "at")) * time.Minute)
	}
	for index := range entries {
		entries[index] = suspecter.Entry{Fingerprint: uint64(rapid.IntRange(1, 2).Draw(t, "fingerprint"))}
		if rapid.Bool().Draw(t, "lost") {
			entries[index].Losses, entries[index].LastLossAt = rapid.IntRange(1, 3).Draw(t, "losses"), at()
		}
		if rapid.Bool().Draw(t, "cleared") {
			entries[index].ClearedAt = at()
		}
	}
	return entries
}

// Guards against replicas that differ after they have merged the same entries in different
// orders, in different batches or several times.
func TestMergeLaws(t *testing.T) {
	assert.NilError(t, flag.Set("rapid.seed", "1"))
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawEntries(t, "a"), drawEntries(t, "b"), drawEntries(t, "c")
		merged := func(batches ...[]suspecter.Entry) []suspecter.Entry {
			table := suspecter.New(clocker.NewFake(start), window)
			for _, batch := range batches {
				table.Merge(batch)
			}
			return table.Entries()
		}
		want := merged(a, b, c)
		for name, got := range map[string][]suspecter.Entry{
			"commutative": merged(c, b, a), "associative": merged(a, merged(b, c)),
			"idempotent": merged(a, b, c, want, a), "one by one": merged(slices.Concat(a, b, c)),
		} {
			if !slices.Equal(got, want) {
				t.Fatalf("merge is not %s: %v, want %v", name, got, want)
			}
		}
	})
}

func Example() {
	table := suspecter.New(clocker.NewFake(start), window)
	table.RecordLosses(42)
	fmt.Println(table.Losses(42))
	table.RecordLosses(42)
	fmt.Println(table.Losses(42))
	table.Clear(42)
	fmt.Println(table.Losses(42))
	// Output:
	// 1
	// 2
	// 0
}
