package sharder

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// Hash returns the xxHash64 of key with seed 0.
func Hash(key string) uint64 { return xxhash.Sum64String(key) }

// ShardOf maps key to one of the given number of shards. With fewer than two shards,
// every key is in shard 0.
func ShardOf(key string, shards int) uint32 {
	if shards < 2 {
		return 0
	}
	shard, _ := bits.Mul64(Hash(key), uint64(shards))
	return uint32(shard)
}
