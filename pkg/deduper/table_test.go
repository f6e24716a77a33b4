package deduper_test

import (
	"cmp"
	"errors"
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/deduper"
)

const window = 10 * time.Minute

var start = time.Unix(1_000_000, 0)

// Guards against a request that runs twice because Begin admits its ID again, and against
// an error of the wrong type.
func TestBeginRefusesKnownIDs(t *testing.T) {
	clock := clocker.NewFake(start)
	table := deduper.New(clock, window)
	first, err := table.Begin("a", 1)
	assert.NilError(t, err)

	var inProgress *deduper.InProgressError
	_, err = table.Begin("a", 1)
	assert.Assert(t, errors.As(err, &inProgress))

	var unknown *deduper.OutcomeUnknownError
	_, err = table.Begin("a", 2)
	assert.Assert(t, errors.As(err, &unknown), "an intent of another term must have an unknown outcome")

	_, ok := table.Finish("a", deduper.Withdrawn, 0)
	assert.Assert(t, ok)
	second, err := table.Begin("a", 1)
	assert.NilError(t, err)
	assert.Assert(t, second.Sequence > first.Sequence)

	_, ok = table.Finish("a", deduper.Unknown, 0)
	assert.Assert(t, ok)
	_, err = table.Begin("a", 1)
	assert.Assert(t, errors.As(err, &unknown))

	_, ok = table.Finish("a", deduper.Withdrawn, 0)
	assert.Assert(t, !ok, "a request whose outcome is unknown was withdrawn")
	_, ok = table.Finish("a", deduper.Done, 201)
	assert.Assert(t, ok)
	var done *deduper.DoneError
	_, err = table.Begin("a", 3)
	assert.Assert(t, errors.As(err, &done))
	assert.Equal(t, done.HTTPStatus, 201)

	clock.Advance(window)
	_, err = table.Begin("a", 3)
	assert.NilError(t, err)
}

// Guards against a second run of an ID: one holder withdraws a run that no other replica
// has recorded, the next holder runs the same ID, and a third merges both tables.
func TestWithdrawnRunDoesNotReplaceLaterRun(t *testing.T) {
	clock := clocker.NewFake(start)
	first, second, third := deduper.New(clock, window), deduper.New(clock, window), deduper.New(clock, window)
	_, err := first.Begin("a", 5)
	assert.NilError(t, err)
	_, ok := first.Finish("a", deduper.Withdrawn, 0)
	assert.Assert(t, ok)
	_, err = second.Begin("a", 6)
	assert.NilError(t, err)
	third.Merge(first.Entries())
	third.Merge(second.Entries())
	var unknown *deduper.OutcomeUnknownError
	_, err = third.Begin("a", 7)
	assert.Assert(t, errors.As(err, &unknown))

	// The same within one term: the entry of the withdrawn run has expired at the holder,
	// but not on a replica whose clock is behind.
	behind := clocker.NewFake(start)
	replica := deduper.New(behind, window)
	replica.Merge(first.Entries())
	clock.Advance(window)
	_, err = first.Begin("a", 5)
	assert.NilError(t, err)
	replica.Merge(first.Entries())
	_, err = replica.Begin("a", 8)
	assert.Assert(t, errors.As(err, &unknown))
}

// Guards against memory that grows with the number of all requests instead of those of one
// window.
func TestMemoryIsBoundedByWindow(t *testing.T) {
	clock := clocker.NewFake(start)
	table := deduper.New(clock, window)
	for number := range 5000 {
		id := fmt.Sprint(number)
		_, err := table.Begin(id, 1)
		assert.NilError(t, err)
		table.Finish(id, deduper.Done, 200)
		clock.Advance(time.Second)
	}
	assert.Equal(t, len(table.Entries()), int(window/time.Second)-1)
	clock.Advance(window)
	assert.Equal(t, len(table.Entries()), 0)
}

// drawEntries draws entries of few IDs, some of which have expired and some of which come
// from a clock that is ahead.
func drawEntries(t *rapid.T, name string) []deduper.Entry {
	entries := make([]deduper.Entry, rapid.IntRange(0, 8).Draw(t, name))
	for index := range entries {
		entries[index] = deduper.Entry{
			ID:         rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"),
			Status:     deduper.Status(rapid.IntRange(1, 4).Draw(t, "status")),
			Term:       uint64(rapid.IntRange(1, 3).Draw(t, "term")),
			Sequence:   uint64(rapid.IntRange(1, 3).Draw(t, "try")),
			UpdatedAt:  start.Add(time.Duration(rapid.SampledFrom([]int{-900, -599, 0, 60}).Draw(t, "at")) * time.Second),
			HTTPStatus: rapid.IntRange(200, 201).Draw(t, "http"),
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
		merged := func(batches ...[]deduper.Entry) []deduper.Entry {
			table := deduper.New(clocker.NewFake(start), window)
			for _, batch := range batches {
				table.Merge(batch)
			}
			return table.Entries()
		}
		want := merged(a, b, c)
		for name, got := range map[string][]deduper.Entry{
			"commutative": merged(c, b, a), "associative": merged(a, merged(b, c)),
			"idempotent": merged(a, b, c, want, a), "one by one": merged(slices.Concat(a, b, c)),
		} {
			if !slices.Equal(got, want) {
				t.Fatalf("merge is not %s: %v, want %v", name, got, want)
			}
		}
		for _, entry := range slices.Concat(a, b, c) {
			index, ok := slices.BinarySearchFunc(want, entry.ID, func(e deduper.Entry, id string) int { return cmp.Compare(e.ID, id) })
			if entry.UpdatedAt.Add(window).After(start) && (!ok || want[index].Sequence < entry.Sequence || want[index].Sequence == entry.Sequence && want[index].Status < entry.Status) {
				t.Fatalf("%v is missing from the merged entries or was replaced by an older one: %v", entry, want)
			}
		}
	})
}

// Guards against two concurrent requests with the same ID that are both admitted.
func TestConcurrentBeginAdmitsOneRequest(t *testing.T) {
	table := deduper.New(clocker.NewFake(start), window)
	admitted, callers := make(chan bool, 64), sync.WaitGroup{}
	for range cap(admitted) {
		callers.Go(func() {
			_, err := table.Begin("a", 1)
			admitted <- err == nil
		})
	}
	callers.Wait()
	close(admitted)
	count := 0
	for ok := range admitted {
		if ok {
			count++
		}
	}
	assert.Equal(t, count, 1)
}

func Example() {
	table := deduper.New(clocker.NewFake(start), window)
	_, err := table.Begin("booking-7", 1)
	fmt.Println(err)
	table.Finish("booking-7", deduper.Done, 201)
	_, err = table.Begin("booking-7", 1)
	fmt.Println(err)
	// Output:
	// <nil>
	// a request with ID "booking-7" has already run; the upstream answered with status 201
}

func BenchmarkMerge100k(b *testing.B) {
	entries := make([]deduper.Entry, 100_000)
	for index := range entries {
		entries[index] = deduper.Entry{ID: fmt.Sprint(index), Status: deduper.Done, Sequence: 1, UpdatedAt: start.Add(-time.Duration(index*7919%600) * time.Second)}
	}
	for b.Loop() {
		deduper.New(clocker.NewFake(start), window).Merge(entries)
	}
}
