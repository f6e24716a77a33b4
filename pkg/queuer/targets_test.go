package queuer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var trialSlots = []int{2, 3}

// Guards against an upload flood that slows lookups down, that starves
// transactions, or whose effects last after its end.
func TestUploadFlood(t *testing.T) {
	t.Parallel()
	flooded := trialNormal
	flooded[Upload] = trialFlood
	phases := []phase{
		{trialWarmUp, trialNormal},
		// Shorter phases have too few uploads: their number decides the p99 of
		// lookups.
		{600 * time.Second, trialNormal},
		{600 * time.Second, flooded},
		{trialRecovery, trialNormal},
		{40 * time.Second, trialNormal},
	}
	for _, slots := range trialSlots {
		results := runSeeds(1, slots, phases, made(variant{}))
		normal, flood, after := results[1], results[2], results[4]
		assert.Assert(t, flood[Lookup].goodput() >= 0.99*normal[Lookup].goodput())
		ratio := float64(flood[Lookup].p99()) / float64(normal[Lookup].p99())
		assert.Assert(t, ratio <= 1.2, "p99 is %.2f times the normal one with %d slots", ratio, slots)
		// Transactions ask for less than their minimum share and get all of it.
		assert.Assert(t, flood[Transaction].goodput() >= 0.99)
		for rank := range after {
			assert.Assert(t, after[rank].goodput() >= 0.99*normal[rank].goodput(), "%v after the flood", Rank(rank))
		}
	}
}

// Guards against a lookup flood, right after an upload flood, that wastes
// capacity, takes the minimum shares of other ranks, stops an upload, or whose
// effects last after its end.
func TestLookupFlood(t *testing.T) {
	t.Parallel()
	flooded := [RankCount]float64{trialFlood, 0.2, 0.2} // the others ask for twice their minimum shares
	phases := []phase{
		{trialWarmUp, [RankCount]float64{0.2, 0.08, trialFlood}},
		{20 * time.Second, flooded}, // until uploads from before the flood are paid back
		{60 * time.Second, flooded},
		{trialRecovery, trialNormal},
		{40 * time.Second, trialNormal},
	}
	for _, slots := range trialSlots {
		results := runSeeds(1, slots, phases, made(variant{}))
		flood, after, length := results[2], results[4], phases[2].length
		others := 0.0
		for _, rank := range []Rank{Transaction, Upload} {
			share := flood[rank].share(1, phases[2], slots)
			others += share
			// A rank may be short of one run, because runs are not divided.
			run := trialService[rank].Seconds() / length.Seconds() / float64(slots)
			assert.Assert(t, share >= trialPolicies[rank].MinimumShare-run, "%v received %.3f with %d slots", rank, share, slots)
		}
		good := float64(flood[Lookup].good) * trialService[Lookup].Seconds() / length.Seconds() / float64(slots)
		assert.Assert(t, good >= 0.95*(1-others), "lookups made use of %.3f of %.3f with %d slots", good, 1-others, slots)
		assert.Equal(t, flood[Upload].begun, int(flood[Upload].latency.TotalCount()), "an upload was begun and not finished")
		for rank := range after {
			assert.Assert(t, after[rank].goodput() >= 0.99, "%v after the flood", Rank(rank))
		}
	}
}
