package sharder

import (
	"math"
	"slices"
)

// NoOwner is the index of a shard that has no owner because no weight is positive.
const NoOwner = -1

// Distribute assigns shards to the indices of weights in proportion to the weights.
// The result holds the owning index of each shard.
func Distribute(shards int, weights []float64) []int {
	current := make([]int, max(shards, 0))
	for shard := range current {
		current[shard] = NoOwner
	}
	return Rebalance(current, weights)
}

// Rebalance returns an assignment in proportion to weights that moves the fewest
// shards from their owners in current. Each index receives its exact proportion of
// the shards, rounded down or up.
func Rebalance(current []int, weights []float64) []int {
	result := slices.Clone(current)
	counts := make([]int, len(weights))
	for _, owner := range current {
		if owner >= 0 && owner < len(weights) {
			counts[owner]++
		}
	}
	quotas := apportion(len(current), weights, counts)
	// Shards above an index's quota and shards without a valid owner are released
	// first, then assigned to the indices below their quota.
	for shard, owner := range slices.Backward(result) {
		switch {
		case owner < 0 || owner >= len(weights):
			result[shard] = NoOwner
		case counts[owner] > quotas[owner]:
			counts[owner]--
			result[shard] = NoOwner
		}
	}
	index := 0
	for shard, owner := range result {
		if owner != NoOwner {
			continue
		}
		for index < len(quotas) && counts[index] >= quotas[index] {
			index++
		}
		if index == len(quotas) {
			break
		}
		result[shard] = index
		counts[index]++
	}
	return result
}

// apportion returns the number of shards that each index is to own, by the largest
// remainder method. Indices that already own more than their rounded-down number are
// rounded up before all others, so that fewer shards move.
func apportion(shards int, weights []float64, counts []int) []int {
	quotas := make([]int, len(weights))
	total := 0.0
	for _, weight := range weights {
		total += validWeight(weight)
	}
	if total <= 0 {
		return quotas
	}
	type candidate struct {
		index      int
		remainder  float64
		aboveFloor bool
	}
	unassigned := shards
	var candidates []candidate
	for index, weight := range weights {
		exact := float64(shards) * (validWeight(weight) / total)
		quotas[index] = int(exact)
		unassigned -= quotas[index]
		if remainder := exact - math.Floor(exact); remainder > 0 {
			candidates = append(candidates, candidate{index, remainder, counts[index] > quotas[index]})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		switch {
		case a.aboveFloor != b.aboveFloor && a.aboveFloor:
			return -1
		case a.aboveFloor != b.aboveFloor:
			return 1
		case a.remainder > b.remainder:
			return -1
		case a.remainder < b.remainder:
			return 1
		}
		return 0
	})
	for index := 0; unassigned > 0 && len(candidates) > 0; index++ {
		quotas[candidates[index%len(candidates)].index]++
		unassigned--
	}
	return quotas
}

// validWeight returns weight, or 0 if it is not a positive finite number.
func validWeight(weight float64) float64 {
	if weight > 0 && !math.IsInf(weight, 1) {
		return weight
	}
	return 0
}
