package placer

import (
	"cmp"
	"container/heap"
	"slices"
)

// KeyWeight is a key with its estimated weight.
type KeyWeight struct {
	Key    string
	Weight float64
}

// HeavyHitters is a space-saving sketch: it counts at most a fixed number of
// keys. Once it is full, a new key replaces the lightest one and inherits its
// weight, so that the weight of a key is never underestimated. It is not safe
// for concurrent use.
type HeavyHitters struct {
	capacity int
	counters counterHeap
	byKey    map[string]*counter
}

type counter struct {
	KeyWeight
	index int // position in the heap
}

// NewHeavyHitters returns a sketch that counts at most capacity keys.
func NewHeavyHitters(capacity int) *HeavyHitters {
	return &HeavyHitters{capacity: max(capacity, 1), byKey: map[string]*counter{}}
}

// Add adds weight to the key. Weights that are not positive and finite are
// ignored.
func (hitters *HeavyHitters) Add(key string, weight float64) {
	if positiveOrZero(weight) == 0 {
		return
	}
	entry, ok := hitters.byKey[key]
	switch {
	case ok:
	case len(hitters.counters) < hitters.capacity:
		entry = &counter{KeyWeight: KeyWeight{Key: key}}
		hitters.byKey[key] = entry
		heap.Push(&hitters.counters, entry)
	default:
		entry = hitters.counters[0]
		delete(hitters.byKey, entry.Key)
		entry.Key = key
		hitters.byKey[key] = entry
	}
	entry.Weight += weight
	heap.Fix(&hitters.counters, entry.index)
}

// Top returns the n heaviest keys, heaviest first.
func (hitters *HeavyHitters) Top(n int) []KeyWeight {
	all := make([]KeyWeight, len(hitters.counters))
	for index, entry := range hitters.counters {
		all[index] = entry.KeyWeight
	}
	slices.SortFunc(all, func(a, b KeyWeight) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.Key, b.Key))
	})
	return all[:min(max(n, 0), len(all))]
}

// Decay multiplies all weights by the factor, so that recent weight counts more
// than old weight.
func (hitters *HeavyHitters) Decay(factor float64) {
	for _, entry := range hitters.counters {
		entry.Weight *= factor
	}
}

// counterHeap is a heap with the lightest counter first.
type counterHeap []*counter

func (counters counterHeap) Len() int           { return len(counters) }
func (counters counterHeap) Less(i, j int) bool { return counters[i].Weight < counters[j].Weight }
func (counters counterHeap) Swap(i, j int) {
	counters[i], counters[j] = counters[j], counters[i]
	counters[i].index, counters[j].index = i, j
}

func (counters *counterHeap) Push(x any) {
	added := x.(*counter)
	added.index = len(*counters)
	*counters = append(*counters, added)
}

func (counters *counterHeap) Pop() any {
	last := (*counters)[len(*counters)-1]
	*counters = (*counters)[:len(*counters)-1]
	return last
}
