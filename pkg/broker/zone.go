package broker

import "time"

// Traffic between availability zones costs money, and zones may be partitioned
// from each other. Requests without a key therefore stay in the zone that they
// came from while it serves them in time. Large requests even wait for a slot
// there: a short wait costs nothing while there is time left, and sending them to
// other zones would only push those zones' own requests out in turn.
const (
	// crossZoneWaitPerKB is how long a request waits for a slot in its zone for each
	// kilobyte of its body: an upload of 60 KB waits 0.6 s.
	crossZoneWaitPerKB = 10 * time.Millisecond
	// inTimeShare is the largest share of the time left to the target that the mean
	// service time of an upstream may take. With the spread of service times seen
	// on both sites (lognormal, sigma 0.5 to 0.8), 3 to 8 of 100 requests take more
	// than 2.2 times the mean.
	inTimeShare = 0.45
	// crossZoneCost is the time in seconds that another zone must save at least.
	crossZoneCost = 0.003
	// smallBodyBytes is the largest body with which requests do not wait for a slot
	// in their zone.
	smallBodyBytes = 8 << 10
	// crossZoneLead is how much earlier a request from another zone must be due, as
	// a share of the target, to go before one from the slot's own zone. While all
	// zones have queues, slots are not exchanged between them; a zone with a much
	// longer queue than the others still gets help.
	crossZoneLead = 0.05
	// crossZoneWaitShare is the largest share of the spare time to the target that
	// a request waits for a slot in its zone.
	crossZoneWaitShare = 0.4
)

// meetsTarget reports whether the upstream will most likely respond within the
// target, or the target is missed already.
func meetsTarget(upstream *upstreamState, waiter *Waiter, now time.Time) bool {
	left := waiter.request.Target - now.Sub(waiter.arrivedAt)
	return left <= 0 || upstream.cost(now) <= inTimeShare*left.Seconds()
}

// mayCrossZones reports whether the request may go to another zone: it is small,
// it has waited long enough for a slot in its own zone, or its zone has no upstream
// for it.
func (broker *Broker) mayCrossZones(waiter *Waiter, now time.Time) bool {
	request := waiter.request
	if request.BodyBytes <= smallBodyBytes {
		return true
	}
	spare := durationOfSeconds(crossZoneWaitShare * (request.Target.Seconds() - broker.meanServiceTime()))
	wait := min(time.Duration(request.BodyBytes>>10)*crossZoneWaitPerKB, spare)
	if now.Sub(waiter.arrivedAt) >= wait {
		return true
	}
	for _, upstream := range broker.upstreams {
		if upstream.Zone == request.Zone && !upstream.Draining && broker.eligible(upstream, request, now) {
			return false
		}
	}
	return true
}

// prefersLocal reports whether a slot goes to a request from its own zone although
// one from another zone comes first in the queue's order.
func prefersLocal(local, other *Waiter, now time.Time) bool {
	dueLocal, dueOther := local.arrivedAt.Add(local.request.Target), other.arrivedAt.Add(other.request.Target)
	if local.request.Rank != other.request.Rank || dueLocal.Before(now) != dueOther.Before(now) {
		return false
	}
	return dueLocal.Sub(dueOther) < durationOfSeconds(crossZoneLead*local.request.Target.Seconds())
}
