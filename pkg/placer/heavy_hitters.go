package placer

import (
	"cmp"
	"container/heap"
	"slices"
)

// KeyWeight is the estimated weight of a key.
type KeyWeight struct {
	Key    string
	Weight float64
}

// HeavyHitters is a space-saving sketch: it counts a fixed number of keys and
// gives the place of the lightest to a new key, which inherits its weight. A
// key's weight is therefore never underestimated. It is not safe for concurrent
// use.
type HeavyHitters struct {
	capacity int
	counters counters
	indices  map[string]*counter
}

type counter struct {
	KeyWeight
	index int
}

// NewHeavyHitters returns a sketch that counts at most capacity keys.
func NewHeavyHitters(capacity int) *HeavyHitters {
	return &HeavyHitters{capacity: max(capacity, 1), indices: map[string]*counter{}}
}

// Add adds weight to the key. Weights that are not above 0 are ignored.
func (hitters *HeavyHitters) Add(key string, weight float64) {
	if usable(weight) == 0 {
		return
	}
	known, ok := hitters.indices[key]
	switch {
	case ok:
	case len(hitters.counters) < hitters.capacity:
		known = &counter{KeyWeight: KeyWeight{Key: key}}
		hitters.indices[key] = known
		heap.Push(&hitters.counters, known)
	default:
		known = hitters.counters[0]
		delete(hitters.indices, known.Key)
		known.Key = key
		hitters.indices[key] = known
	}
	known.Weight += weight
	heap.Fix(&hitters.counters, known.index)
}

// Top returns the n heaviest keys, heaviest first.
func (hitters *HeavyHitters) Top(n int) []KeyWeight {
	all := make([]KeyWeight, len(hitters.counters))
	for index, known := range hitters.counters {
		all[index] = known.KeyWeight
	}
	slices.SortFunc(all, func(a, b KeyWeight) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Key, b.Key))
	})
	return all[:min(max(n, 0), len(all))]
}

// Decay multiplies all weights by the factor, so that old weight fades.
func (hitters *HeavyHitters) Decay(factor float64) {
	for _, known := range hitters.counters {
		known.Weight *= factor
	}
}

// counters is a heap with the lightest counter first.
type counters []*counter

func (counters counters) Len() int           { return len(counters) }
func (counters counters) Less(i, j int) bool { return counters[i].Weight < counters[j].Weight }
func (counters counters) Swap(i, j int) {
	counters[i], counters[j] = counters[j], counters[i]
	counters[i].index, counters[j].index = i, j
}

func (counters *counters) Push(x any) {
	added := x.(*counter)
	added.index = len(*counters)
	*counters = append(*counters, added)
}

func (counters *counters) Pop() any {
	last := (*counters)[len(*counters)-1]
	*counters = (*counters)[:len(*counters)-1]
	return last
}
