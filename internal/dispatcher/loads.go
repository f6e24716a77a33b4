package dispatcher

import (
	"github.com/cuminstream/cuminstream/pkg/placer"
)

const (
	// loadDecay is applied once in each placement round of 5 s, so that the
	// load covers about the last 17 s.
	loadDecay = 0.7
	// loadWindow is the time in seconds that a constant load adds up to.
	loadWindow = 5 / (1 - loadDecay)
	// sketchSize bounds the keys that are counted; the error of a count is
	// then at most 1/512 of the load.
	sketchSize = 512
	// maxHotKeys bounds the list of keys that are placed apart.
	maxHotKeys = 64
	// hotFraction of the mean load of an upstream makes a key hot.
	hotFraction = 0.1
	// minUtilization of the slots is needed for a balancing round; below it
	// the differences between upstreams are noise.
	minUtilization = 0.02
)

// loads holds the decayed service time in seconds, by shard and heavy key.
type loads struct {
	shards    map[uint32]float64
	heavyKeys *placer.HeavyHitters
}

func newLoads() *loads {
	return &loads{shards: map[uint32]float64{}, heavyKeys: placer.NewHeavyHitters(sketchSize)}
}

func (loads *loads) add(key string, shard uint32, seconds float64) {
	loads.shards[shard] += seconds
	loads.heavyKeys.Add(key, seconds)
}

func (loads *loads) decay() {
	for shard := range loads.shards {
		loads.shards[shard] *= loadDecay
		if loads.shards[shard] < 1e-6 {
			delete(loads.shards, shard)
		}
	}
	loads.heavyKeys.Decay(loadDecay)
}

func (loads *loads) total() float64 {
	total := 0.0
	for _, load := range loads.shards {
		total += load
	}
	return total
}

// hot returns the keys whose load is at least the fraction of the mean load of
// an upstream.
func (loads *loads) hotKeys(upstreams int, fraction float64) map[string]float64 {
	result := map[string]float64{}
	if upstreams == 0 {
		return result
	}
	limit := fraction * loads.total() / float64(upstreams)
	for _, counter := range loads.heavyKeys.Top(maxHotKeys) {
		if counter.Weight >= limit && counter.Weight > 0 {
			result[counter.Key] = counter.Weight
		}
	}
	return result
}
