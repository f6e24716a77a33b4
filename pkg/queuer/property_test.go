package queuer_test

import (
	"errors"
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/queuer"
)

// fixSeed makes rapid generate the same cases in every run.
func fixSeed(t *testing.T) {
	assert.NilError(t, flag.Set("rapid.seed", "1"))
}

var policies = [queuer.RankCount]queuer.Policy{
	{Target: 50 * time.Millisecond, MinimumShare: 0.3},
	{Target: 500 * time.Millisecond, MinimumShare: 0.1},
	{Target: 10 * time.Second, MinimumShare: 0.1},
}

// Guards against items that are lost or returned twice, against more items in flight than
// slots, and against uploads in the slot that they must leave free, in any order
// of calls.
func TestEveryItemLeavesExactlyOnce(t *testing.T) {
	fixSeed(t)
	rapid.Check(t, func(t *rapid.T) {
		clock := clocker.NewFake(time.Unix(0, 0))
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		queue := queuer.New[int](clock, policies, slots)
		waiting, inFlight := map[int]time.Time{}, [queuer.RankCount]int{}
		removeWaiting := func(value int, outcome string) {
			if _, ok := waiting[value]; !ok {
				t.Fatalf("item %d is not in the queue and was %s", value, outcome)
			}
			delete(waiting, value)
		}
		for value := range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2, 3:
				item := queuer.Item[int]{Value: value, Rank: queuer.Rank(rapid.IntRange(0, 2).Draw(t, "rank"))}
				if wait := rapid.IntRange(0, 3000).Draw(t, "deadline"); wait > 0 {
					item.Deadline = clock.Now().Add(time.Duration(wait) * time.Millisecond)
				}
				var refusal *queuer.Refusal
				if err := queue.Offer(item); err == nil {
					waiting[value] = item.Deadline
				} else if !errors.As(err, &refusal) {
					t.Fatal(err)
				}
			case 4, 5:
				if item, ok := queue.Next(); ok {
					removeWaiting(item.Value, "served")
					if !item.Deadline.IsZero() && !item.Deadline.After(clock.Now()) {
						t.Fatalf("item %d was served after its deadline", item.Value)
					}
					inFlight[item.Rank]++
				}
			case 6:
				rank := queuer.Rank(rapid.IntRange(0, 2).Draw(t, "rank"))
				if inFlight[rank] > 0 {
					inFlight[rank]--
					queue.Done(rank, time.Duration(rapid.IntRange(0, 3000).Draw(t, "service"))*time.Millisecond)
				}
			case 7:
				clock.Advance(time.Duration(rapid.IntRange(0, 1000).Draw(t, "advance")) * time.Millisecond)
			case 8:
				for _, expired := range queue.Expired() {
					removeWaiting(expired, "expired")
				}
			case 9:
				for _, removed := range queue.Remove(func(other int) bool { return other%7 == value%7 }) {
					removeWaiting(removed, "removed")
				}
			}
			if total := inFlight[0] + inFlight[1] + inFlight[2]; total > slots {
				t.Fatalf("%d items are in flight in %d slots", total, slots)
			}
			if slots > 1 && inFlight[queuer.Upload] >= slots {
				t.Fatal("uploads use all slots")
			}
		}
		for _, expired := range queue.Expired() {
			removeWaiting(expired, "expired")
		}
		lengths := queue.Lengths()
		if lengths[0]+lengths[1]+lengths[2] != len(waiting) {
			t.Fatalf("the queue holds %v items by rank, want %d in total", lengths, len(waiting))
		}
	})
}

// Guards against a rank that receives less than its minimum share while all ranks have
// waiting items.
func TestEveryRankReceivesItsMinimumShare(t *testing.T) {
	fixSeed(t)
	serviceTimes := [queuer.RankCount]time.Duration{3 * time.Millisecond, 9 * time.Millisecond, 201 * time.Millisecond}
	rapid.Check(t, func(t *rapid.T) {
		clock := clocker.NewFake(time.Unix(0, 0))
		slots := rapid.IntRange(1, 3).Draw(t, "slots")
		var policies [queuer.RankCount]queuer.Policy
		for rank := range policies {
			policies[rank].MinimumShare = rapid.Float64Range(0.02, 0.3).Draw(t, "share")
		}
		queue := queuer.New[int](clock, policies, slots)
		var used [queuer.RankCount]time.Duration
		var inFlight []queuer.Rank
		var ends []time.Time
		const length, step = 10 * time.Second, 3 * time.Millisecond
		for until := clock.Now().Add(length); clock.Now().Before(until); clock.Advance(step) {
			for index := 0; index < len(ends); index++ {
				if rank := inFlight[index]; !ends[index].After(clock.Now()) {
					queue.Done(rank, serviceTimes[rank])
					inFlight = append(inFlight[:index], inFlight[index+1:]...)
					ends = append(ends[:index], ends[index+1:]...)
					index--
				}
			}
			for rank, waiting := range queue.Lengths() {
				for range 4 - min(waiting, 4) {
					assert.NilError(t, queue.Offer(queuer.Item[int]{Rank: queuer.Rank(rank)}))
				}
			}
			for item, ok := queue.Next(); ok; item, ok = queue.Next() {
				inFlight = append(inFlight, item.Rank)
				ends = append(ends, clock.Now().Add(serviceTimes[item.Rank]))
				used[item.Rank] += serviceTimes[item.Rank]
			}
		}
		for rank, policy := range policies {
			share := used[rank].Seconds() / length.Seconds() / float64(slots)
			// One upload takes 2% of the time of one slot.
			if share < policy.MinimumShare*0.98-0.02 {
				t.Fatalf("%v received %.3f of the slot time, its minimum share is %.3f", queuer.Rank(rank), share, policy.MinimumShare)
			}
		}
	})
}

// Guards against unbounded memory use while no item is served, when no service time is
// known and no rank has a target.
func TestMemoryIsBounded(t *testing.T) {
	queue := queuer.New[int](clocker.NewFake(time.Unix(0, 0)), [queuer.RankCount]queuer.Policy{}, 1)
	var refusal *queuer.Refusal
	for value := range 100_000 {
		if err := queue.Offer(queuer.Item[int]{Value: value, Rank: queuer.Upload}); errors.As(err, &refusal) {
			assert.Equal(t, refusal.Reason, queuer.QueueFull)
			return
		}
	}
	t.Fatal("the queue accepted 100000 items")
}

// Guards against refusing every item after one very long service time: without new runs,
// the moving average would never fall again.
func TestAdmissionRecoversFromAnOutlier(t *testing.T) {
	clock := clocker.NewFake(time.Unix(0, 0))
	queue := queuer.New[int](clock, policies, 1)
	for value := range 500 {
		err := queue.Offer(queuer.Item[int]{Value: value, Rank: queuer.Lookup, Deadline: clock.Now().Add(100 * time.Millisecond)})
		assert.NilError(t, err)
		_, ok := queue.Next()
		assert.Assert(t, ok)
		service := 3 * time.Millisecond
		if value == 0 {
			service = time.Hour
		}
		clock.Advance(service)
		queue.Done(queuer.Lookup, service)
	}
}

// Guards against admitting every item until the first run has completed, because no service
// time is known until then.
func TestAdmissionWorksBeforeTheFirstRunHasEnded(t *testing.T) {
	clock := clocker.NewFake(time.Unix(0, 0))
	queue := queuer.New[int](clock, policies, 1)
	admitted := 0
	for value := range 1000 {
		if queue.Offer(queuer.Item[int]{Value: value, Rank: queuer.Lookup}) == nil {
			admitted++
		}
		queue.Next()
		clock.Advance(time.Millisecond)
	}
	// The target is 50 ms, and when k items wait, the service time is known to be at least
	// k ms.
	assert.Assert(t, admitted <= 10, "%d items were admitted", admitted)
}

func BenchmarkOfferNextDone(b *testing.B) {
	for _, waiting := range []int{1, 1000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			clock := clocker.NewFake(time.Unix(0, 0))
			queue := queuer.New[int](clock, [queuer.RankCount]queuer.Policy{}, 2)
			for range waiting {
				_ = queue.Offer(queuer.Item[int]{Deadline: clock.Now().Add(time.Hour)})
			}
			b.ReportAllocs()
			for b.Loop() {
				_ = queue.Offer(queuer.Item[int]{Deadline: clock.Now().Add(time.Hour)})
				item, _ := queue.Next()
				queue.Done(item.Rank, time.Millisecond)
			}
		})
	}
}
