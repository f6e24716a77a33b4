package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// recall adds requests for a million keys with Zipf 1.1 popularity to a sketch
// and returns the fraction of the 33 most popular keys that its top 33 contains.
func recall(seed uint64, size, requests int) float64 {
	hitters := NewHeavyHitters(size)
	zipf := rand.NewZipf(rand.New(rand.NewPCG(seed, seed)), 1.1, 1, 1_000_000-1)
	for range requests {
		hitters.Add(fmt.Sprint(zipf.Uint64()), 1)
	}
	found := 0
	for _, entry := range hitters.Top(trialHotKeys) {
		var rank int
		if _, err := fmt.Sscan(entry.Key, &rank); err == nil && rank < trialHotKeys {
			found++
		}
	}
	return float64(found) / trialHotKeys
}

// BenchmarkRecall reports the recall of sketches of several sizes.
func BenchmarkRecall(b *testing.B) {
	for _, requests := range []int{100_000, 1_000_000} {
		for _, size := range []int{33, 66, 132, 264, 528, 1056, 2112} {
			b.Run(fmt.Sprintf("requests=%d/size=%d", requests, size), func(b *testing.B) {
				sum := 0.0
				for b.Loop() {
					sum = 0
					for seed := range uint64(3) {
						sum += recall(seed+1, size, requests)
					}
				}
				b.ReportMetric(sum/3, "recall")
			})
		}
	}
}

// Guards against a sketch that misses hot keys, or that counts more keys than its
// capacity.
func TestHeavyHittersFindHotKeys(t *testing.T) {
	assert.Assert(t, recall(1, 1056, 100_000) >= 0.9)
	hitters := NewHeavyHitters(10)
	for number := range 1000 {
		hitters.Add(fmt.Sprint(number), 1)
	}
	assert.Equal(t, len(hitters.Top(1000)), 10)
	for range 200 {
		hitters.Add("late", 1)
	}
	assert.Equal(t, hitters.Top(1)[0].Key, "late")
}

// Guards against a key that was hot once and whose old weight ranks it above keys
// that are hot now.
func TestDecayPromotesNewHotKeys(t *testing.T) {
	hitters := NewHeavyHitters(4)
	hitters.Add("old", 1000)
	for range 20 {
		hitters.Decay(0.5)
		hitters.Add("new", 1)
	}
	assert.Equal(t, hitters.Top(1)[0].Key, "new")
}

func BenchmarkAdd(b *testing.B) {
	zipf := rand.NewZipf(rand.New(rand.NewPCG(1, 1)), 1.1, 1, 1_000_000-1)
	keys := make([]string, 1<<16)
	for index := range keys {
		keys[index] = fmt.Sprint(zipf.Uint64())
	}
	hitters := NewHeavyHitters(1056)
	b.ReportAllocs()
	for index := 0; b.Loop(); index++ {
		hitters.Add(keys[index%len(keys)], 1)
	}
}
