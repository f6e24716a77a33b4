package broker

import (
	"math"
	"time"
)

// meterWindow is the time constant of a rateMeter.
const meterWindow = 2 * time.Second

// rateMeter measures a rate as an exponentially decaying sum.
type rateMeter struct {
	sum       float64
	updatedAt time.Time
}

func (meter *rateMeter) add(now time.Time, amount float64) {
	meter.decay(now)
	meter.sum += amount
}

func (meter *rateMeter) decay(now time.Time) {
	if !meter.updatedAt.IsZero() {
		meter.sum *= math.Exp(-now.Sub(meter.updatedAt).Seconds() / meterWindow.Seconds())
	}
	meter.updatedAt = now
}

// perSecond returns the rate.
func (meter *rateMeter) perSecond(now time.Time) float64 {
	meter.decay(now)
	return meter.sum / meterWindow.Seconds()
}

// KeyCount is the number of keys of a service.
const KeyCount = 1 << 16

const (
	// fastHalfLife is the half-life of the fast key counts. Keys become hot within
	// seconds.
	fastHalfLife = 1500 * time.Millisecond
	// slowHalfLife is the half-life of the slow key counts, which vary less by chance.
	slowHalfLife = 8 * time.Second
	// keyDecayInterval is the least time between two passes over all counts.
	keyDecayInterval = 250 * time.Millisecond
)

// keyRateMeter counts requests by key, as exponentially decaying sums.
type keyRateMeter struct {
	halfLife  time.Duration
	counts    []float32
	startedAt time.Time
	decayedAt time.Time
}

func (meter *keyRateMeter) add(key int, now time.Time) {
	if meter.counts == nil {
		meter.counts = make([]float32, KeyCount)
		meter.decayedAt, meter.startedAt = now, now
	}
	meter.decay(now)
	meter.counts[key]++
}

func (meter *keyRateMeter) decay(now time.Time) {
	elapsed := now.Sub(meter.decayedAt)
	if meter.counts == nil || elapsed < keyDecayInterval {
		return
	}
	meter.decayedAt = now
	factor := float32(math.Exp2(-elapsed.Seconds() / meter.halfLife.Seconds()))
	for i, count := range meter.counts {
		if count > 0 {
			meter.counts[i] = count * factor
		}
	}
}

// KeyRates are the requests per second of each key, averaged over a window in
// seconds.
type KeyRates struct {
	PerSecond []float64
	Window    float64
}

// rates returns the requests per second of each key.
func (meter *keyRateMeter) rates(now time.Time) KeyRates {
	rates := KeyRates{PerSecond: make([]float64, KeyCount), Window: meter.halfLife.Seconds() / math.Ln2}
	if meter.counts == nil {
		return rates
	}
	meter.decay(now)
	// A meter that has just started has measured less than its whole window.
	measured := rates.Window * (1 - math.Exp(-now.Sub(meter.startedAt).Seconds()/rates.Window))
	rates.Window = max(measured, 0.5)
	for i, count := range meter.counts {
		if count > 0 {
			rates.PerSecond[i] = float64(count) / rates.Window
		}
	}
	return rates
}

// UpstreamStats is the measured speed of an upstream.
type UpstreamStats struct {
	Upstream Upstream
	// ServiceTime is the mean service time of one request while the upstream is warm and
	// its machine is not slow. It changes only by as much as its measurement is certain.
	ServiceTime time.Duration
	// Capacity is how many requests per second the upstream can serve now.
	Capacity float64
	// Measured is whether ServiceTime comes from requests to this upstream, or from
	// an earlier broker, rather than from a default.
	Measured bool
}

// SetExpectedServiceTime sets the mean service time that an earlier broker has
// measured for an incarnation of an upstream, unless this broker already has enough
// measurements of its own.
func (broker *Broker) SetExpectedServiceTime(id string, startedAt int64, serviceTime time.Duration) {
	broker.mutex.Lock()
	defer broker.mutex.Unlock()
	broker.init()
	if upstream := broker.upstreams[id]; upstream != nil && upstream.StartedAt == startedAt && upstream.samples < expectedSamples {
		upstream.serviceTime, upstream.samples = serviceTime.Seconds(), expectedSamples
		upstream.speed = newSpeed(serviceTime.Seconds())
	}
}

// expectedSamples is the number of measurements as which an expected service time
// counts.
const expectedSamples = 10

// Stats returns the statistics of all upstreams, and the rates of keys over the last
// seconds and over a longer window.
func (broker *Broker) Stats() (upstreams []UpstreamStats, fast, slow KeyRates) {
	broker.mutex.Lock()
	defer broker.mutex.Unlock()
	broker.init()
	now := broker.Clock.Now()
	for _, upstream := range broker.upstreams {
		upstreams = append(upstreams, UpstreamStats{
			Upstream: upstream.Upstream, Measured: upstream.samples > 0,
			ServiceTime: time.Duration(upstream.speed.reported * float64(time.Second)), Capacity: broker.keyCapacity(upstream, now),
		})
	}
	return upstreams, broker.fastKeyRates.rates(now), broker.slowKeyRates.rates(now)
}
