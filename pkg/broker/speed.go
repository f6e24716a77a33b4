package broker

import (
	"math"
	"time"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

const (
	// slownessSpan is how long a stated slowness lasts at most: machines are slow for
	// intervals of about 400 ms, and a response states it at any moment of one.
	slownessSpan = 400 * time.Millisecond
	// minSlowness is the least stated slowness that is used.
	minSlowness = 0.1
	// slownessWeight is the weight of the newest sample in the mean slowness of a service,
	// a mean over some thousand samples of all its upstreams.
	slownessWeight = 0.0005
	// initialColdSlowness is the assumed service time of a cold upstream, as a multiple of
	// the one it has when warm, and maxColdSlowness the largest that is measured.
	initialColdSlowness = 2.0
	maxColdSlowness     = 4.0
	// coldSlownessWeight is the weight of the newest cold upstream in that multiple, and
	// minColdSamples the number of requests that it is measured with, cold and warm each.
	coldSlownessWeight = 0.2
	minColdSamples     = 10
	// steadyWeight is the weight of the newest sample in the steady service time, by which
	// keys are assigned. Samples count up to steadyClip times it. In the test of noise, 20
	// upstreams with lognormal service times (sigma 0.5) had 4 changes of the reported time
	// in 60 s, and 29 with a weight of 0.02.
	steadyWeight = 0.01
	steadyClip   = 3.0
	// reportTolerance is the relative change of the steady service time from which on it is
	// reported: the keys of an upstream do not move because of its standard deviation.
	// Until steadySamples, each change is reported.
	reportTolerance = 0.2
	steadySamples   = 50
)

// speedModel holds what the upstreams of a service have in common.
type speedModel struct {
	clock clocker.Clock
	// slowness is the mean service time as a multiple of the normal one, over all
	// intervals in which machines are slow or not.
	slowness float64
	// coldSlowness is the service time of a cold upstream as a multiple of the normal one.
	coldSlowness float64
}

// speed is the measured speed of an upstream. All times are in seconds.
type speed struct {
	normal   float64 // moving average of service times while warm and not slow
	steady   float64 // the same with a small weight
	reported float64 // steady, when it last changed by more than reportTolerance
	// slowness is what the upstream stated last, at statedAt.
	slowness float64
	statedAt time.Time
	// cold and warm are the mean service times of the last cold time and after it.
	cold, warm sampleMean
}

// sampleMean is the mean of some samples.
type sampleMean struct {
	mean  float64
	count int
}

func (mean *sampleMean) add(sample float64) {
	mean.count++
	mean.mean += (sample - mean.mean) / float64(mean.count)
}

// newSpeed returns the speed of an upstream with the normal service time.
func newSpeed(normal float64) speed { return speed{normal: normal, steady: normal, reported: normal} }

// expectedServiceTime returns the expected service time in seconds of a request that begins
// now.
func (upstream *upstreamState) expectedServiceTime() float64 {
	return upstream.serviceTimeAt(upstream.model.clock.Now())
}

// serviceTimeAt returns the expected service time in seconds of a request that begins at the
// time, which is not before now. Loops over upstreams use it because reading the clock takes
// longer than the rest of the decision.
func (upstream *upstreamState) serviceTimeAt(now time.Time) float64 {
	expected := upstream.momentaryServiceTime(now)
	if upstream.cold(now) {
		expected *= upstream.model.coldSlowness
	}
	return expected
}

// momentaryServiceTime returns the expected service time of a warm upstream. What it has
// stated of its slowness loses its weight within slownessSpan.
func (upstream *upstreamState) momentaryServiceTime(now time.Time) float64 {
	speed := &upstream.speed
	mean := speed.normal * upstream.model.slowness
	if speed.statedAt.IsZero() {
		return mean
	}
	age := now.Sub(speed.statedAt)
	if age >= slownessSpan {
		return mean
	}
	stated := speed.normal * speed.slowness
	if speed.slowness > 1 { // on average, the machine is slow for half the span from then on
		stated = min(stated, speed.normal+slownessSpan.Seconds()/2*(1-1/speed.slowness))
	}
	return mean + (stated-mean)*(1-age.Seconds()/slownessSpan.Seconds())
}

// recordSpeed updates the speed with a service time. The weight is that of the newest sample.
func (upstream *upstreamState) recordSpeed(elapsed, slowness, weight float64, now time.Time) {
	speed, model := &upstream.speed, upstream.model
	normal := elapsed
	if slowness > 0 {
		slowness = max(slowness, minSlowness)
		speed.slowness, speed.statedAt = slowness, now
		// The machine was slow for some part of the request, on average half of the
		// request or of the interval, whichever is shorter.
		normal -= min(elapsed, slownessSpan.Seconds()) / 2 * (1 - 1/slowness)
		if !upstream.cold(now) && normal > 0 {
			model.slowness += slownessWeight * (min(elapsed/normal, maxColdSlowness) - model.slowness)
		}
	}
	if upstream.cold(now) {
		if speed.warm.count > 0 {
			speed.cold, speed.warm = sampleMean{}, sampleMean{}
		}
		speed.cold.add(normal)
		normal /= model.coldSlowness
	} else if speed.cold.count >= minColdSamples {
		speed.warm.add(normal)
		if speed.warm.count == minColdSamples && speed.warm.mean > 0 {
			measured := min(max(speed.cold.mean/speed.warm.mean, 1), maxColdSlowness)
			model.coldSlowness += coldSlownessWeight * (measured - model.coldSlowness)
			speed.cold, speed.warm = sampleMean{}, sampleMean{}
		}
	}
	speed.normal += weight * (normal - speed.normal)
	steady := max(steadyWeight, 1/float64(upstream.samples+2))
	speed.steady += steady * (min(normal, steadyClip*speed.steady) - speed.steady)
	if upstream.samples < steadySamples || math.Abs(speed.steady-speed.reported) > reportTolerance*speed.reported {
		speed.reported = speed.steady
	}
}

// meanNormalTime returns the mean normal service time over all upstreams with measurements.
func (broker *Broker) meanNormalTime() float64 {
	sum, count := 0.0, 0
	for _, upstream := range broker.upstreams {
		if upstream.samples > 0 {
			sum += upstream.speed.normal
			count++
		}
	}
	if count == 0 {
		return initialServiceTime.Seconds()
	}
	return sum / float64(count)
}

// idleUtilization is the utilization up to which cold upstreams count as warm when keys are
// assigned. At the first start, upstreams register one after the other, and a partition that
// counts the last ones as cold would have to be changed under load.
const idleUtilization = 0.05

// keyCapacity returns how many requests per second the upstream can serve, for the
// assignment of keys.
func (broker *Broker) keyCapacity(upstream *upstreamState, now time.Time) float64 {
	capacity := float64(upstream.Slots) / max(upstream.speed.reported*broker.model.slowness, 0.001)
	if !upstream.cold(now) || broker.offeredLoad.perSecond(now) <= idleUtilization*float64(upstream.Slots*len(broker.upstreams)) {
		return capacity
	}
	capacity /= broker.model.coldSlowness
	if bound := broker.warmup.bound.PerSecond; bound > 0 {
		capacity = min(capacity, max(warmupRate(bound), minCapacity))
	}
	return capacity
}
