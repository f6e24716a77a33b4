package queuer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var slotCounts = []int{2, 3}

// Guards against an upload flood that slows lookups, starves transactions, or reduces
// goodput after it has ended.
func TestUploadFlood(t *testing.T) {
	t.Parallel()
	flooded := normalLoad
	flooded[Upload] = floodLoad
	phases := []phase{
		{warmUpDuration, normalLoad},
		// In shorter phases the p99 of lookups depends on the number of uploads, which
		// would be too low.
		{600 * time.Second, normalLoad},
		{600 * time.Second, flooded},
		{recoveryDuration, normalLoad},
		{40 * time.Second, normalLoad},
	}
	for _, slots := range slotCounts {
		results := runSeeds(1, slots, phases, builderOf(variant{}))
		normal, flood, after := results[1], results[2], results[4]
		assert.Assert(t, flood[Lookup].goodput() >= 0.99*normal[Lookup].goodput())
		ratio := float64(flood[Lookup].p99()) / float64(normal[Lookup].p99())
		assert.Assert(t, ratio <= 1.2, "p99 is %.2f times the normal one with %d slots", ratio, slots)
		// Transactions demand less than their minimum share, so none may fail for lack of
		// slots.
		assert.Assert(t, flood[Transaction].goodput() >= 0.99)
		for rank := range after {
			assert.Assert(t, after[rank].goodput() >= 0.99*normal[rank].goodput(), "%v after the flood", Rank(rank))
		}
	}
}

// Guards against a lookup flood, right after an upload flood, that wastes slot time, takes
// the minimum shares of other ranks, interrupts an upload, or reduces goodput after it has
// ended.
func TestLookupFlood(t *testing.T) {
	t.Parallel()
	flooded := [RankCount]float64{floodLoad, 0.2, 0.2} // the other ranks demand twice their minimum shares
	phases := []phase{
		{warmUpDuration, [RankCount]float64{0.2, 0.08, floodLoad}},
		{20 * time.Second, flooded}, // until the credit of uploads has recovered from those before the flood
		{60 * time.Second, flooded},
		{recoveryDuration, normalLoad},
		{40 * time.Second, normalLoad},
	}
	for _, slots := range slotCounts {
		results := runSeeds(1, slots, phases, builderOf(variant{}))
		flood, after, duration := results[2], results[4], phases[2].duration
		others := 0.0
		for _, rank := range []Rank{Transaction, Upload} {
			share := flood[rank].share(1, phases[2], slots)
			others += share
			// A rank may lack the slot time of one run, because a run cannot be divided.
			run := meanServiceTimes[rank].Seconds() / duration.Seconds() / float64(slots)
			assert.Assert(t, share >= simulatedPolicies[rank].MinimumShare-run, "%v received %.3f with %d slots", rank, share, slots)
		}
		useful := float64(flood[Lookup].onTime) * meanServiceTimes[Lookup].Seconds() / duration.Seconds() / float64(slots)
		assert.Assert(t, useful >= 0.95*(1-others), "lookups completed in time used %.3f of %.3f of the slot time with %d slots", useful, 1-others, slots)
		assert.Equal(t, flood[Upload].started, int(flood[Upload].latency.TotalCount()), "an upload was started and not completed")
		for rank := range after {
			assert.Assert(t, after[rank].goodput() >= 0.99, "%v after the flood", Rank(rank))
		}
	}
}
