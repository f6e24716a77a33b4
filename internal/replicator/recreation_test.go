package replicator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/deduper"
)

// Guards against terms of a newly formed group that are too large for the order
// of request IDs: a run under the new terms would then lose against one of the
// old terms when tables are merged, and the request could run twice.
func TestRunsAfterRecreationFollowEarlierRuns(t *testing.T) {
	clock := clocker.NewFake(time.Unix(0, 0))
	term := uint64(1)
	former, err := deduper.New(clock, time.Minute).Begin("booking", term)
	assert.NilError(t, err)
	for range 4000 {
		term += recreationTermStep
		next, err := deduper.New(clock, time.Minute).Begin("booking", term)
		assert.NilError(t, err)
		assert.Assert(t, next.Sequence > former.Sequence, "term %d", term)
		former = next
	}
}
