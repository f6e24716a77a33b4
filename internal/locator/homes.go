package locator

import (
	"encoding/json"
	"fmt"
	"math/bits"
)

// ShardMap is the platform's object homes/<service>: the group of each shard.
type ShardMap struct {
	Service  string   `json:"service"`
	Groups   []string `json:"groups"`
	Shards   []int    `json:"shards"` // index into Groups
	Revision uint64   `json:"revision"`
	WriteID  string   `json:"writeId"`
}

// maxShards bounds the shards of a service.
const maxShards = 16384

// ParseShardMap decodes and checks a homes object.
func ParseShardMap(value []byte) (ShardMap, error) {
	var homes ShardMap
	if err := json.Unmarshal(value, &homes); err != nil {
		return ShardMap{}, fmt.Errorf("homes object is not valid: %w", err)
	}
	count := len(homes.Shards)
	if count == 0 || count > maxShards || bits.OnesCount(uint(count)) != 1 {
		return ShardMap{}, fmt.Errorf("homes of service %q have %d shards; a power of two up to %d is required", homes.Service, count, maxShards)
	}
	for shard, group := range homes.Shards {
		if group < 0 || group >= len(homes.Groups) {
			return ShardMap{}, fmt.Errorf("homes of service %q: shard %d names group %d of %d", homes.Service, shard, group, len(homes.Groups))
		}
	}
	return homes, nil
}

// ShardsOf returns the shards that are homed in the group.
func (homes ShardMap) ShardsOf(group string) []uint32 {
	var shards []uint32
	for shard, index := range homes.Shards {
		if homes.Groups[index] == group {
			shards = append(shards, uint32(shard))
		}
	}
	return shards
}
