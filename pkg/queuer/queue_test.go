package queuer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/queuer"
)

// Guards against uploads in all slots and against serving a less urgent rank first.
func TestUrgentRanksFirstAndOneSlotWithoutUploads(t *testing.T) {
	queue := queuer.New[int](clocker.NewFake(time.Unix(0, 0)), [queuer.RankCount]queuer.Policy{}, 2)
	for value, rank := range []queuer.Rank{queuer.Upload, queuer.Upload, queuer.Transaction, queuer.Lookup} {
		assert.NilError(t, queue.Offer(queuer.Item[int]{Value: value, Rank: rank}))
	}
	var order []int
	for {
		item, ok := queue.Next()
		if !ok {
			break
		}
		order = append(order, item.Value)
	}
	assert.DeepEqual(t, order, []int{3, 2})
	queue.Done(queuer.Lookup, time.Millisecond)
	queue.Done(queuer.Transaction, time.Millisecond)
	_, first := queue.Next()
	_, second := queue.Next()
	assert.Assert(t, first && !second)
}
