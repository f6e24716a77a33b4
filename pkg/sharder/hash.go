package sharder

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// Hash returns the xxHash64 of the key.
func Hash(key string) uint64 { return xxhash.Sum64String(key) }

// Of returns the shard of the key among the given number of shards. With fewer
// than two shards, every key is in shard 0.
func Of(key string, shards int) uint32 {
	if shards < 2 {
		return 0
	}
	shard, _ := bits.Mul64(Hash(key), uint64(shards))
	return uint32(shard)
}
