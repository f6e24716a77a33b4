package partitioner_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/pkg/partitioner"
)

// Load: 1,800 requests per second for the keys of 180 members, of which 60 leave at once
// and return, as at the evacuation of a zone. Their keys must all move in one plan when they
// leave. When they return, keys must come back in several plans, all members must have some
// after a few, and no plan may move more than a sixth of the load.
func TestZoneLeavesAtOnceAndReturnsGradually(t *testing.T) {
	all := members(180)
	for i := range all {
		all[i].Capacity = 20
	}
	partition := partitioner.Initial(all, keys, 6)
	rates := make([]float64, keys)
	for key := range rates {
		rates[key] = 1800.0 / keys
	}
	large := planner()
	large.MaxSpans, large.MaxMoves, large.RateWindow = 2400, 22, 1000
	owners := func(partition partitioner.Partition) int {
		found := map[string]bool{}
		for _, span := range partition {
			found[span.Owner] = true
		}
		return len(found)
	}
	rest := slices.Clone(all[60:])
	partition = large.Plan(partition, rest, rates)
	assert.Equal(t, owners(partition), 120)
	for plans := 1; ; plans++ {
		next := large.Plan(partition, all, rates)
		moved := 0
		for key := range keys {
			if next.Owner(key) != partition.Owner(key) {
				moved++
			}
		}
		assert.Assert(t, moved < keys/6, "plan %d moves %d keys", plans, moved)
		assert.Assert(t, owners(next) <= 120+22*plans, "%d members have keys after %d plans", owners(next), plans)
		partition = next
		if owners(partition) == 180 {
			assert.Assert(t, plans <= 4, "%d plans", plans)
			return
		}
		assert.Assert(t, plans < 10, "members have no keys after %d plans", plans)
	}
}
