package broker

import "time"

// Traffic between availability zones has a price, and zones may be cut off from
// each other. Requests without a key therefore stay in the zone that they came from
// while that serves them in time. Large ones even wait for a slot there: a short
// wait costs nothing while there is time left, and moving the load to other zones
// would only make their own requests leave in turn.
const (
	// crossWaitPerKB is how long a request waits for a slot in its zone for each
	// kilobyte of its body: an upload of 60 KB waits 0.6 s.
	crossWaitPerKB = 10 * time.Millisecond
	// inTimeShare is the part of the time left to the target that the mean work of an
	// upstream may take: with the spread of work seen on both sites (lognormal, 0.5
	// to 0.8), 3 to 8 of 100 requests take more than 2.2 times the mean.
	inTimeShare = 0.45
	// crossing is the time in seconds that another zone must save at least.
	crossing = 0.003
	// smallBody is the size in bytes up to which requests do not wait.
	smallBody = 8 << 10
	// crossLead is how much earlier the target of a request from another zone must
	// end, as a share of the target, to go before one from the slot's own zone. While
	// all zones have queues, slots are not exchanged between them; a zone with a much
	// longer queue than the others still gets help.
	crossLead = 0.05
	// crossShare is the part of the time to spare for which a request waits at most.
	crossShare = 0.4
)

// inTime reports whether the upstream will most likely answer within the target,
// or the target cannot be met any more.
func inTime(upstream *upstream, waiter *Waiter, now time.Time) bool {
	left := waiter.ask.Target - now.Sub(waiter.arrived)
	return left <= 0 || upstream.cost() <= inTimeShare*left.Seconds()
}

// mayCross reports whether the request may go to another zone: it has waited long
// enough for a slot in its own, or there is no upstream for it.
func (broker *Broker) mayCross(waiter *Waiter, now time.Time) bool {
	ask := waiter.ask
	if ask.BodyBytes <= smallBody {
		return true
	}
	spare := duration(crossShare * (ask.Target.Seconds() - broker.meanWork()))
	wait := min(time.Duration(ask.BodyBytes>>10)*crossWaitPerKB, spare)
	if now.Sub(waiter.arrived) >= wait {
		return true
	}
	for _, upstream := range broker.upstreams {
		if upstream.Zone == ask.Zone && !upstream.Draining && broker.allowed(upstream, ask, now) {
			return false
		}
	}
	return true
}

// staysHere reports whether a slot goes to a request from its own zone although one
// from another zone would come first.
func staysHere(local, other *Waiter, now time.Time) bool {
	dueLocal, dueOther := local.arrived.Add(local.ask.Target), other.arrived.Add(other.ask.Target)
	if local.ask.Rank != other.ask.Rank || dueLocal.Before(now) != dueOther.Before(now) {
		return false
	}
	return dueLocal.Sub(dueOther) < duration(crossLead*local.ask.Target.Seconds())
}
