package dispatcher

import (
	"github.com/cuminstream/cuminstream/pkg/placer"
)

const (
	// loadDecay is applied once in each balancing round, which takes place
	// every 5 s, so that the load covers about the last 17 s.
	loadDecay = 0.7
	// loadWindow is the sum in seconds to which the load of one constantly used
	// slot converges.
	loadWindow = 5 / (1 - loadDecay)
	// sketchSize limits the keys whose load is counted. The error of a count is
	// then at most 1/512 of the load.
	sketchSize = 512
	// maxHotKeys limits the keys that are placed separately from their shard.
	maxHotKeys = 64
	// hotFraction is the fraction of the mean load of an upstream at which a
	// key is hot.
	hotFraction = 0.1
	// minUtilization is the utilization of the slots below which the load is
	// not balanced, because the differences between upstreams are noise.
	minUtilization = 0.02
)

// loads holds the decayed sum of service times in seconds, by shard and by key
// for the keys with the highest load.
type loads struct {
	shards    map[uint32]float64
	heavyKeys *placer.HeavyHitters
}

func newLoads() *loads {
	return &loads{shards: map[uint32]float64{}, heavyKeys: placer.NewHeavyHitters(sketchSize)}
}

// add counts the service time of a request.
func (loads *loads) add(key string, shard uint32, seconds float64) {
	loads.shards[shard] += seconds
	loads.heavyKeys.Add(key, seconds)
}

// decay reduces all loads by loadDecay.
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

// hotKeys returns the keys whose load is at least the fraction of the mean load
// of an upstream.
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
