package sharder

import (
	"math"
	"slices"
)

// NoOwner marks a shard that no index owns, because no weight is above 0.
const NoOwner = -1

// Spread divides the shards among the indices of weights in proportion to the
// weights. It returns the index of each shard.
func Spread(shards int, weights []float64) []int {
	current := make([]int, max(shards, 0))
	for shard := range current {
		current[shard] = NoOwner
	}
	return Respread(current, weights)
}

// Respread returns a division like that of Spread which moves the fewest shards
// away from their current index. Each index receives its exact proportion
// rounded down or up.
func Respread(current []int, weights []float64) []int {
	result := slices.Clone(current)
	counts := make([]int, len(weights))
	for _, owner := range current {
		if owner >= 0 && owner < len(weights) {
			counts[owner]++
		}
	}
	quotas := apportion(len(current), weights, counts)
	// Surplus shards and shards without a valid index are taken away first,
	// then given to the indices that are below their quota.
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

// apportion returns the number of shards of each index. Of the indices that
// could be rounded up, those that already hold more than the rounded-down
// number come first, then those with the largest remainder.
func apportion(shards int, weights []float64, counts []int) []int {
	quotas := make([]int, len(weights))
	total := 0.0
	for _, weight := range weights {
		total += usable(weight)
	}
	if total <= 0 {
		return quotas
	}
	type candidate struct {
		index     int
		remainder float64
		held      bool
	}
	left := shards
	var candidates []candidate
	for index, weight := range weights {
		exact := float64(shards) * (usable(weight) / total)
		quotas[index] = int(exact)
		left -= quotas[index]
		if remainder := exact - math.Floor(exact); remainder > 0 {
			candidates = append(candidates, candidate{index, remainder, counts[index] > quotas[index]})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		switch {
		case a.held != b.held && a.held:
			return -1
		case a.held != b.held:
			return 1
		case a.remainder > b.remainder:
			return -1
		case a.remainder < b.remainder:
			return 1
		}
		return 0
	})
	for index := 0; left > 0 && len(candidates) > 0; index++ {
		quotas[candidates[index%len(candidates)].index]++
		left--
	}
	return quotas
}

// usable returns the weight, or 0 when it is not a positive finite number.
func usable(weight float64) float64 {
	if weight > 0 && !math.IsInf(weight, 1) {
		return weight
	}
	return 0
}
