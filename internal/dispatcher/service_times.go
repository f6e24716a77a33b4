package dispatcher

import (
	"slices"
	"time"

	"github.com/cuminstream/cuminstream/pkg/queuer"
)

const (
	// speedWeight is the weight of a new service time in the moving average.
	averageWeight = 0.2
	// speedSamples are needed before an upstream is compared.
	minSamples = 5
	// slowFactor times the median counts as slow. Smaller differences follow
	// from the keys.
	slowFactor = 2
	// expectationTime is how long a service time is expected again.
	expectationLifetime = 5 * time.Second
	// expectationFactor covers the variation around the mean. It is chosen, not
	// measured.
	expectationFactor = 1.25
	// minSpeed keeps a small share on a slow upstream, so that its recovery is
	// noticed.
	minRelativeSpeed = 0.1
)

// speed is the moving average of an upstream's service time by rank.
type serviceTimes struct {
	mean    [queuer.RankCount]float64 // seconds
	samples [queuer.RankCount]int
	lastAt  [queuer.RankCount]time.Time // when the last run ended
}

func (times *serviceTimes) add(rank queuer.Rank, serviceTime time.Duration, now time.Time) {
	times.lastAt[rank] = now
	if times.samples[rank] == 0 {
		times.mean[rank] = serviceTime.Seconds()
	}
	times.samples[rank]++
	times.mean[rank] += averageWeight * (serviceTime.Seconds() - times.mean[rank])
}

// expected returns a service time of the rank that few runs exceed, or 0 when it
// is not known or no run has ended lately: an expectation that is too long
// would otherwise refuse the runs that correct it.
func (times *serviceTimes) expected(rank queuer.Rank, now time.Time) time.Duration {
	if times.samples[rank] < minSamples || now.Sub(times.lastAt[rank]) >= expectationLifetime {
		return 0
	}
	return time.Duration(expectationFactor * times.mean[rank] * float64(time.Second))
}

// relativeSpeeds compares each upstream with the group's median by rank. The
// result is 1 for an upstream that is not slow, and less for a slow one.
func relativeSpeeds(timesByUpstream map[string]*serviceTimes) map[string]float64 {
	result := map[string]float64{}
	for name := range timesByUpstream {
		result[name] = 1
	}
	for rank := range queuer.RankCount {
		var means []float64
		for _, times := range timesByUpstream {
			if times.samples[rank] >= minSamples {
				means = append(means, times.mean[rank])
			}
		}
		if len(means) < 3 {
			continue // with two upstreams the median does not tell which one is the outlier
		}
		slices.Sort(means)
		median := means[(len(means)-1)/2]
		for name, times := range timesByUpstream {
			if times.samples[rank] >= minSamples && times.mean[rank] > slowFactor*median {
				result[name] = min(result[name], max(median/times.mean[rank], minRelativeSpeed))
			}
		}
	}
	return result
}
