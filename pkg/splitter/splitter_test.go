package splitter_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cuminstream/cuminstream/pkg/splitter"
)

// After each full round, every backend has got exactly its share, from any offset.
func TestSharesAreExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 20), 1, 5).Draw(t, "weights")
		total := 0
		for _, weight := range weights {
			total += weight
		}
		if total == 0 {
			return
		}
		backends := splitter.New(weights, rapid.IntRange(0, 100).Draw(t, "offset"))
		counts := make([]int, len(weights))
		for range 3 * total {
			counts[backends.Next()]++
		}
		for i, weight := range weights {
			assert.Equal(t, counts[i], 3*weight, "backend %d of %v", i, weights)
		}
	})
}
