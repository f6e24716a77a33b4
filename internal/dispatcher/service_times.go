package dispatcher

import (
	"slices"
	"time"

	"github.com/cuminstream/cuminstream/pkg/queuer"
)

const (
	// averageWeight is the weight of a new service time in the moving average.
	averageWeight = 0.2
	// minSamples is the number of service times from which on the average of an
	// upstream is used.
	minSamples = 5
	// An upstream is slow if its average is more than slowFactor times the
	// median. Smaller differences are caused by the keys.
	slowFactor = 2
	// expectationLifetime is how long after the last request an expected
	// service time is valid.
	expectationLifetime = 5 * time.Second
	// expectationFactor covers the variation around the mean.
	expectationFactor = 1.25
	// minRelativeSpeed leaves a small share of the load on a slow upstream, so
	// that its recovery is noticed.
	minRelativeSpeed = 0.1
)

// serviceTimes holds the moving average of an upstream's service time by rank.
type serviceTimes struct {
	mean    [queuer.RankCount]float64 // seconds
	samples [queuer.RankCount]int
	lastAt  [queuer.RankCount]time.Time // when the last request ended
}

// add includes a new service time in the average of the rank.
func (times *serviceTimes) add(rank queuer.Rank, serviceTime time.Duration, now time.Time) {
	times.lastAt[rank] = now
	if times.samples[rank] == 0 {
		times.mean[rank] = serviceTime.Seconds()
	}
	times.samples[rank]++
	times.mean[rank] += averageWeight * (serviceTime.Seconds() - times.mean[rank])
}

// expected returns a service time that few requests of the rank exceed. It
// returns 0 if there are too few samples, and also if no request has ended
// recently: an expected time that is too long would otherwise refuse the very
// requests that would correct it.
func (times *serviceTimes) expected(rank queuer.Rank, now time.Time) time.Duration {
	if times.samples[rank] < minSamples || now.Sub(times.lastAt[rank]) >= expectationLifetime {
		return 0
	}
	return time.Duration(expectationFactor * times.mean[rank] * float64(time.Second))
}

// relativeSpeeds compares the average service times of each upstream with the
// median of the group, by rank. The result is 1 for an upstream that is not
// slow, and less than 1 for a slow one.
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
			continue // with two upstreams, the median does not show which one is the outlier
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
