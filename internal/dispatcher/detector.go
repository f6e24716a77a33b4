package dispatcher

import (
	"slices"
	"time"

	"github.com/cuminstream/cuminstream/pkg/queuer"
)

const (
	// speedWeight is the weight of a new service time in the moving average.
	speedWeight = 0.2
	// speedSamples are needed before an upstream is compared.
	speedSamples = 5
	// slowFactor times the median counts as slow. Smaller differences follow
	// from the keys.
	slowFactor = 2
	// expectationTime is how long a service time is expected again.
	expectationTime = 5 * time.Second
	// expectationFactor covers the variation around the mean. It is chosen, not
	// measured.
	expectationFactor = 1.25
	// minSpeed keeps a small share on a slow upstream, so that its recovery is
	// noticed.
	minSpeed = 0.1
)

// speed is the moving average of an upstream's service time by rank.
type speed struct {
	mean    [queuer.RankCount]float64 // seconds
	samples [queuer.RankCount]int
	last    [queuer.RankCount]time.Time // when the last run ended
}

func (speed *speed) add(rank queuer.Rank, service time.Duration, now time.Time) {
	speed.last[rank] = now
	if speed.samples[rank] == 0 {
		speed.mean[rank] = service.Seconds()
	}
	speed.samples[rank]++
	speed.mean[rank] += speedWeight * (service.Seconds() - speed.mean[rank])
}

// expected returns a service time of the rank that few runs exceed, or 0 when it
// is not known or no run has ended lately: an expectation that is too long
// would otherwise refuse the runs that correct it.
func (speed *speed) expected(rank queuer.Rank, now time.Time) time.Duration {
	if speed.samples[rank] < speedSamples || now.Sub(speed.last[rank]) >= expectationTime {
		return 0
	}
	return time.Duration(expectationFactor * speed.mean[rank] * float64(time.Second))
}

// relativeSpeeds compares each upstream with the group's median by rank. The
// result is 1 for an upstream that is not slow, and less for a slow one.
func relativeSpeeds(speeds map[string]*speed) map[string]float64 {
	result := map[string]float64{}
	for name := range speeds {
		result[name] = 1
	}
	for rank := range queuer.RankCount {
		var means []float64
		for _, speed := range speeds {
			if speed.samples[rank] >= speedSamples {
				means = append(means, speed.mean[rank])
			}
		}
		if len(means) < 3 {
			continue // with two upstreams the median does not tell which one is the outlier
		}
		slices.Sort(means)
		median := means[(len(means)-1)/2]
		for name, speed := range speeds {
			if speed.samples[rank] >= speedSamples && speed.mean[rank] > slowFactor*median {
				result[name] = min(result[name], max(median/speed.mean[rank], minSpeed))
			}
		}
	}
	return result
}
