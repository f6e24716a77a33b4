package sharder_test

import (
	"flag"
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cuminstream/cuminstream/pkg/sharder"
)

// Guards against a change of the hash function, after which processes of two
// versions would send the same key to different upstreams. The expected values are
// those of the xxHash64 specification with seed 0.
func TestHashIsFixed(t *testing.T) {
	assert.Equal(t, sharder.Hash(""), uint64(0xef46db3751d8e999))
	assert.Equal(t, sharder.Hash("abc"), uint64(0x44bc2cf5ad770999))
	assert.Equal(t, sharder.ShardOf("abc", 256), uint32(0x44))
}

// Guards against a hash that puts many more keys in some shards than in others.
func TestKeysAreSpreadEvenly(t *testing.T) {
	const keys, shards = 200_000, 256
	counts := make([]int, shards)
	for number := range keys {
		counts[sharder.ShardOf(fmt.Sprintf("key-%d", number), shards)]++
	}
	const mean = keys / shards
	for shard, count := range counts {
		// Five standard deviations of the count under a uniform hash.
		assert.Assert(t, math.Abs(float64(count)-mean) < 5*math.Sqrt(mean), "shard %d has %d keys", shard, count)
	}
}

// Guards against a WithOwner that changes the table it is called on, which readers
// may be using.
func TestTableIsImmutable(t *testing.T) {
	assert.NilError(t, flag.Set("rapid.seed", "1"))
	rapid.Check(t, func(t *rapid.T) {
		shards := rapid.IntRange(0, 1000).Draw(t, "shards")
		table, want := sharder.NewTable[string](shards), map[uint32]string{}
		for range rapid.IntRange(0, 20).Draw(t, "steps") {
			shard := uint32(rapid.IntRange(0, 1100).Draw(t, "shard"))
			owner := rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "owner")
			before := table
			previous, had := before.Owner(shard)
			table = table.WithOwner(shard, owner)
			if now, has := before.Owner(shard); now != previous || has != had {
				t.Fatal("WithOwner changed the original table")
			}
			if int(shard) < shards {
				want[shard] = owner
			}
		}
		for shard := range uint32(1100) {
			if owner, ok := table.Owner(shard); owner != want[shard] || ok != (owner != "") {
				t.Fatalf("shard %d has owner %q, want %q", shard, owner, want[shard])
			}
		}
		all := sharder.NewTable[string](shards).WithOwners(want)
		for shard := range want {
			if owner, _ := all.Owner(shard); owner != want[shard] {
				t.Fatalf("shard %d has owner %q, want %q", shard, owner, want[shard])
			}
		}
	})
}

// Guards against shard counts that are not proportional to the weights, and against
// moving more shards than the new counts require.
func TestRebalanceIsProportionalAndMovesFewShards(t *testing.T) {
	assert.NilError(t, flag.Set("rapid.seed", "1"))
	rapid.Check(t, func(t *rapid.T) {
		shards := rapid.IntRange(1, 300).Draw(t, "shards")
		draw := func() []float64 { return rapid.SliceOfN(rapid.Float64Range(0, 5), 1, 8).Draw(t, "weights") }
		old := sharder.Distribute(shards, draw())
		weights := draw()
		rebalanced := sharder.Rebalance(old, weights)
		total := 0.0
		for _, weight := range weights {
			total += weight
		}
		before, after, moved, needed := make([]int, 9), make([]int, 9), 0, 0
		for shard, owner := range rebalanced {
			if total == 0 {
				if owner != sharder.NoOwner {
					t.Fatal("a shard has an owner although no weight is positive")
				}
				continue
			}
			after[owner]++
			if old[shard] == sharder.NoOwner || old[shard] >= len(weights) {
				needed++
			} else {
				before[old[shard]]++
			}
			if old[shard] != owner {
				moved++
			}
		}
		for index, weight := range weights {
			exact := 0.0
			if total > 0 {
				exact = float64(shards) * weight / total
			}
			if math.Abs(float64(after[index])-exact) >= 1+1e-9 {
				t.Fatalf("index %d has %d shards, its exact proportion is %.2f", index, after[index], exact)
			}
			needed += max(0, before[index]-after[index])
		}
		if total > 0 && moved != needed {
			t.Fatalf("%d shards moved, %d moves were needed", moved, needed)
		}
	})
}

// Guards against moving shards although their counts already are proportions that are
// rounded up or down, when the shards do not divide evenly.
func TestRebalanceKeepsAProportionalDistribution(t *testing.T) {
	current := []int{2, 2, 1, 1, 0, 2, 0, 2} // indices 0, 1 and 2 own 2, 2 and 4 of 8 shards
	current[7] = 1                           // now 2, 3 and 3
	assert.DeepEqual(t, sharder.Rebalance(current, []float64{1, 1, 1}), current)
}

func Example() {
	table := sharder.NewTable[string](256).WithOwner(sharder.ShardOf("parcel-7", 256), "quotes-3")
	fmt.Println(table.Lookup("parcel-7"))
	fmt.Println(table.Lookup("parcel-8"))
	// Output:
	// quotes-3 true
	//  false
}

func ExampleRebalance() {
	distribution := sharder.Distribute(6, []float64{1, 1})
	fmt.Println(distribution)
	fmt.Println(sharder.Rebalance(distribution, []float64{1, 1, 1}))
	// Output:
	// [0 0 0 1 1 1]
	// [0 0 2 1 1 2]
}

func BenchmarkLookup(b *testing.B) {
	for _, shards := range []int{256, 16384} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			table := sharder.NewTable[string](shards)
			keys := make([]string, 4096)
			for index := range keys {
				keys[index] = fmt.Sprintf("parcel-quote-key-%d", index)
				table = table.WithOwner(sharder.ShardOf(keys[index], shards), "quotes-3")
			}
			b.ReportAllocs()
			for index := 0; b.Loop(); index++ {
				table.Lookup(keys[index%len(keys)])
			}
		})
	}
}

// Guards against memory allocation in Lookup, which runs for every request.
func TestLookupDoesNotAllocate(t *testing.T) {
	table := sharder.NewTable[string](256).WithOwner(sharder.ShardOf("parcel-7", 256), "quotes-3")
	assert.Equal(t, testing.AllocsPerRun(100, func() { table.Lookup("parcel-7") }), 0.0)
}
