package locator

import (
	"encoding/json"
	"fmt"
	"math/bits"
)

// ShardMap is the platform's object homes/<service>. It assigns each shard of the service
// to its home group.
type ShardMap struct {
	Service  string   `json:"service"`
	Groups   []string `json:"groups"`
	Shards   []int    `json:"shards"` // by shard, the index of its home group in Groups
	Revision uint64   `json:"revision"`
	WriteID  string   `json:"writeId"`
}

// maxShards is the highest number of shards of a service.
const maxShards = 16384

// ParseShardMap decodes and validates a shard map.
func ParseShardMap(value []byte) (ShardMap, error) {
	var shardMap ShardMap
	if err := json.Unmarshal(value, &shardMap); err != nil {
		return ShardMap{}, fmt.Errorf("decode shard map: %w", err)
	}
	count := len(shardMap.Shards)
	if count == 0 || count > maxShards || bits.OnesCount(uint(count)) != 1 {
		return ShardMap{}, fmt.Errorf("shard map of service %q has %d shards; a power of two up to %d is required", shardMap.Service, count, maxShards)
	}
	for shard, group := range shardMap.Shards {
		if group < 0 || group >= len(shardMap.Groups) {
			return ShardMap{}, fmt.Errorf("shard map of service %q: shard %d has group index %d of %d groups", shardMap.Service, shard, group, len(shardMap.Groups))
		}
	}
	return shardMap, nil
}

// ShardsOf returns the shards whose home group is the given one.
func (shardMap ShardMap) ShardsOf(group string) []uint32 {
	var shards []uint32
	for shard, index := range shardMap.Shards {
		if shardMap.Groups[index] == group {
			shards = append(shards, uint32(shard))
		}
	}
	return shards
}
