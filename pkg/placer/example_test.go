package placer_test

import (
	"fmt"

	"github.com/cuminstream/cuminstream/pkg/placer"
)

func ExamplePlan() {
	input := placer.Input{
		Shards: map[uint32]placer.Item{
			0: {Owner: "quotes-1", Load: 3},
			1: {Owner: "quotes-1", Load: 2},
			2: {Owner: "quotes-2", Load: 1},
		},
		HotKeys: map[string]placer.Item{"kumasi-tamale": {Owner: "quotes-1", Load: 2}},
		Upstreams: []placer.Upstream{
			{Name: "quotes-1", Capacity: 2, Available: true},
			{Name: "quotes-2", Capacity: 2, Available: true},
		},
		Trigger: 1.25,
		Target:  1.1,
	}
	for _, move := range placer.Plan(input) {
		fmt.Printf("shard %d, hot key %q: %s -> %s\n", move.Shard, move.HotKey, move.From, move.To)
	}
	// Output:
	// shard 0, hot key "": quotes-1 -> quotes-2
}

func ExampleHeavyHitters() {
	hitters := placer.NewHeavyHitters(528)
	hitters.Add("kumasi-tamale", 0.003)
	hitters.Add("accra-tema", 0.003)
	hitters.Add("kumasi-tamale", 0.004)
	fmt.Println(hitters.Top(1)[0].Key)
	// Output:
	// kumasi-tamale
}
