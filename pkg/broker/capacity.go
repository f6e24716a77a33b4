package broker

import "time"

// capacity returns the seconds of service time per second of the upstreams that accept
// requests.
func (broker *Broker) capacity(now time.Time) float64 {
	total := 0.0
	for _, upstream := range broker.upstreams {
		if !upstream.Draining && !upstream.Evacuated && !now.Before(upstream.pausedUntil) {
			total += broker.capacityOf(upstream, now)
		}
	}
	return total
}

// capacityOf returns the seconds of service time per second of the upstream. Each slot does
// one second of service time per second; the warm-up bound may allow fewer requests. These
// count with the service time by which the offered load is counted.
func (broker *Broker) capacityOf(upstream *upstreamState, now time.Time) float64 {
	slots := float64(upstream.Slots)
	if bound := broker.warmup.bound.PerSecond; bound > 0 && upstream.cold(now) {
		return min(slots, max(warmupRate(bound)*upstream.serviceTime, minCapacity))
	}
	return slots
}

// minCapacity is the least capacity of an upstream that accepts requests. It only keeps
// utilizations finite.
const minCapacity = 0.01

// requestRate returns how many requests per second the slots of the upstream that this
// broker may assign can serve.
func (broker *Broker) requestRate(upstream *upstreamState, now time.Time) float64 {
	rate := float64(upstream.slotLimit) / upstream.serviceTimeAt(now)
	if limit, bounded := broker.warmupLimit(upstream, now); bounded {
		rate = min(rate, float64(limit)/warmupWindow.Seconds())
	}
	return rate
}
