package replicator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/deduper"
)

// Guards against terms of a recreated group that are too large for the sequence
// numbers of runs. A run under a new term would then not supersede a run under an
// old term when tables are merged, and the request could run twice.
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
