package queuer_test

import (
	"fmt"
	"time"

	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/queuer"
)

func Example() {
	clock := clocker.NewFake(time.Unix(0, 0))
	queue := queuer.New[string](clock, [queuer.RankCount]queuer.Policy{
		queuer.Lookup: {Target: 50 * time.Millisecond},
	}, 1)
	_ = queue.Offer(queuer.Item[string]{Value: "manifest", Rank: queuer.Upload})
	_ = queue.Offer(queuer.Item[string]{Value: "quote", Rank: queuer.Lookup})
	for item, ok := queue.Next(); ok; item, ok = queue.Next() {
		fmt.Println(item.Rank, item.Value)
		clock.Advance(60 * time.Millisecond)
		queue.Done(item.Rank, 60*time.Millisecond)
	}
	_ = queue.Offer(queuer.Item[string]{Value: "quote 2", Rank: queuer.Lookup})
	fmt.Println(queue.Offer(queuer.Item[string]{Value: "quote 3", Rank: queuer.Lookup}))
	// Output:
	// lookup quote
	// upload manifest
	// lookup refused: waitOverTarget; retry after 10ms
}
