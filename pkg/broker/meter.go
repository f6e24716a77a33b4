package broker

import (
	"math"
	"time"
)

// meterSpan is the time over which a meter averages.
const meterSpan = 2 * time.Second

// meter measures a rate as an exponentially decaying sum.
type meter struct {
	sum float64
	at  time.Time
}

func (meter *meter) add(now time.Time, amount float64) {
	meter.decay(now)
	meter.sum += amount
}

func (meter *meter) decay(now time.Time) {
	if !meter.at.IsZero() {
		meter.sum *= math.Exp(-now.Sub(meter.at).Seconds() / meterSpan.Seconds())
	}
	meter.at = now
}

// perSecond returns the rate.
func (meter *meter) perSecond(now time.Time) float64 {
	meter.decay(now)
	return meter.sum / meterSpan.Seconds()
}

// KeyCount is the number of keys of a service.
const KeyCount = 1 << 16

const (
	// fastHalfLife is the time in which the quick count of a key halves. Keys
	// become hot within seconds.
	fastHalfLife = 1500 * time.Millisecond
	// slowHalfLife is that of the steady count, which has less chance in it.
	slowHalfLife = 8 * time.Second
	// keyDecayInterval is the time between two passes over all counts.
	keyDecayInterval = 250 * time.Millisecond
)

// keyMeter counts requests by key, newest weighing most.
type keyMeter struct {
	halfLife time.Duration
	counts   []float32
	began    time.Time
	at       time.Time
}

func (keyMeter *keyMeter) add(key int, now time.Time) {
	if keyMeter.counts == nil {
		keyMeter.counts = make([]float32, KeyCount)
		keyMeter.at, keyMeter.began = now, now
	}
	keyMeter.decay(now)
	keyMeter.counts[key]++
}

func (keyMeter *keyMeter) decay(now time.Time) {
	passed := now.Sub(keyMeter.at)
	if keyMeter.counts == nil || passed < keyDecayInterval {
		return
	}
	keyMeter.at = now
	factor := float32(math.Exp2(-passed.Seconds() / keyMeter.halfLife.Seconds()))
	for i, count := range keyMeter.counts {
		if count > 0 {
			keyMeter.counts[i] = count * factor
		}
	}
}

// KeyRates are the requests per second of each key, and the time in seconds over
// which they were measured.
type KeyRates struct {
	PerSecond []float64
	Window    float64
}

// rates returns the requests per second of each key.
func (keyMeter *keyMeter) rates(now time.Time) KeyRates {
	rates := KeyRates{PerSecond: make([]float64, KeyCount), Window: keyMeter.halfLife.Seconds() / math.Ln2}
	if keyMeter.counts == nil {
		return rates
	}
	keyMeter.decay(now)
	// A meter that has just begun has seen less than its whole span.
	seen := rates.Window * (1 - math.Exp(-now.Sub(keyMeter.began).Seconds()/rates.Window))
	rates.Window = max(seen, 0.5)
	for i, count := range keyMeter.counts {
		if count > 0 {
			rates.PerSecond[i] = float64(count) / rates.Window
		}
	}
	return rates
}

// UpstreamStats is what one upstream could serve.
type UpstreamStats struct {
	Upstream Upstream
	// ServiceTime is the mean time of one request there.
	ServiceTime time.Duration
	// Measured is whether Work rests on requests of its own.
	Measured bool
}

// SetExpectedServiceTime sets the mean time of one request at an upstream, as an earlier broker
// has measured it.
func (broker *Broker) SetExpectedServiceTime(id string, born int64, work time.Duration) {
	broker.mutex.Lock()
	defer broker.mutex.Unlock()
	broker.init()
	if upstream := broker.upstreams[id]; upstream != nil && upstream.StartedAt == born && upstream.measured < expectedWeight {
		upstream.work, upstream.measured = work.Seconds(), expectedWeight
	}
}

// expectedWeight is the number of own measurements that an expected time counts as.
const expectedWeight = 10

// Stats returns the upstreams and the rates of keys, of the last seconds and of
// a longer time.
func (broker *Broker) Stats() (loads []UpstreamStats, fast, slow KeyRates) {
	broker.mutex.Lock()
	defer broker.mutex.Unlock()
	broker.init()
	now := broker.Clock.Now()
	for _, upstream := range broker.upstreams {
		loads = append(loads, UpstreamStats{
			Upstream: upstream.Upstream, Measured: upstream.measured > 0,
			ServiceTime: time.Duration(upstream.work * float64(time.Second)),
		})
	}
	return loads, broker.fast.rates(now), broker.slow.rates(now)
}
