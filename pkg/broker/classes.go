package broker

import (
	"math"
	"slices"
	"time"
)

const (
	// reservedInterval is the number of requests of a class that would be refused, because
	// more urgent classes need almost all slots, of which one is admitted nevertheless.
	// Each class thus keeps a minimum share of one twentieth.
	reservedInterval = 20
	// inTimeQuantile is the number of standard deviations by which the expected end of a
	// request must come before its target under full overload. It is small for the few
	// slots of the owner of a key: a late answer is worth more to a caller than a refusal,
	// and the queue there is often too short to replace a refused request.
	inTimeQuantile = 0.2
	// manySlotsQuantile is the same for the slots of a whole service, from manySlots on,
	// whose queue is long enough for nine of ten to be in time.
	manySlotsQuantile = 1.28
	manySlots         = 16
	// fullOverload is the share of the slots above the threshold of overload that must be
	// needed for the whole margin.
	fullOverload = 0.3
	// starvedShare is the share of the slots that more urgent classes need from which on
	// a class gets its minimum share.
	starvedShare = 1 - 1.0/reservedInterval
	// reservedUrgency is the urgency of requests that are admitted for the minimum share.
	reservedUrgency = -1
	// maxAheadShare bounds the share of the slots that is taken to be needed by requests
	// that arrive later and go before, when a wait is estimated. With 0.95, loads of 0.9
	// led to refusals of the least urgent class that short peaks explain; with 0.67,
	// twice as many requests were refused after they had waited.
	maxAheadShare           = 0.8
	maxOverloadedAheadShare = 0.95
	// maxMeasuredRatio bounds the ratio of a service time to its mean in the measurement
	// of the spread, because one stalled request says nothing about the others.
	maxMeasuredRatio = 5
	// initialSpread is the assumed square of the coefficient of variation of service
	// times, that of a lognormal factor with sigma 0.55.
	initialSpread = 0.35
	// spreadWeight and ratioWeight are the weights of the newest sample in the spread and in
	// the ratio of a class.
	spreadWeight = 0.01
	ratioWeight  = 0.01
	// minRatio bounds the ratio by which a measurement is divided.
	minRatio = 0.1
)

// isLarge reports whether the request has a large body, which its VM has received. A refusal
// wastes that, and the repeat takes the VM's link again.
func (request Request) isLarge() bool { return request.BodyBytes > smallBodyBytes }

// urgency orders the classes of a service; 0 is the most urgent. Requests that reach the
// service as overflow of other services come after its own of the same rank.
func (request Request) urgency() int {
	if request.Overflow {
		return 2*request.Rank + 1
	}
	return 2 * request.Rank
}

// classLoad is what the requests of one urgency need of the same slots.
type classLoad struct {
	urgency  int
	offered  rateMeter // seconds of service time that arrive, without returned requests
	returned rateMeter // the same of returned requests that go before new ones
	starved  int       // requests that were refused or admitted for the minimum share
}

// classLoads are the classes that compete for the same slots, in order of urgency.
type classLoads []*classLoad

// class returns the class of the urgency, which it adds if necessary.
func (loads *classLoads) class(urgency int) *classLoad {
	index, ok := slices.BinarySearchFunc(*loads, urgency, func(load *classLoad, urgency int) int { return load.urgency - urgency })
	if !ok {
		*loads = slices.Insert(*loads, index, &classLoad{urgency: urgency})
	}
	return (*loads)[index]
}

// goesBefore returns the seconds of service time per second that arrive and go before the
// request: of more urgent classes, and of returned requests of its own.
func (loads classLoads) goesBefore(waiter *Waiter, now time.Time) (urgent, returned float64) {
	for _, load := range loads {
		if load.urgency > waiter.urgency {
			break
		}
		if load.urgency < waiter.urgency {
			urgent += load.offered.perSecond(now)
		} else if !waiter.request.Returned && !waiter.request.Retry {
			returned += load.returned.perSecond(now)
		}
	}
	return urgent, returned
}

// needed returns the seconds of service time per second that arrive for the class and
// more urgent ones.
func (loads classLoads) needed(urgency int, now time.Time) (sum float64) {
	for _, load := range loads {
		if load.urgency > urgency {
			break
		}
		sum += load.offered.perSecond(now)
	}
	return sum
}

// takeReserved reports whether a request of the class that would be refused is admitted
// for the minimum share.
func (load *classLoad) takeReserved() bool {
	load.starved++
	return load.starved%reservedInterval == 0
}

// classLoads returns the classes that compete with the request for slots.
func (broker *Broker) classLoads(waiter *Waiter) *classLoads {
	if broker.keyed(waiter.request) {
		if upstream := broker.upstreams[waiter.owner.Upstream]; upstream != nil {
			return &upstream.classes
		}
	}
	return &broker.classes
}

// ratio returns the mean service time of the requests of an urgency, divided by the mean of
// all requests.
func (broker *Broker) ratio(urgency int) float64 {
	if ratio, ok := broker.ratios[urgency]; ok {
		return ratio.mean
	}
	return 1
}

// classRatio is the measured service time of a class, divided by the mean of all requests.
type classRatio struct {
	mean    float64
	samples int
}

// recordServiceTime updates the ratio of the class and the spread of service times.
func (broker *Broker) recordServiceTime(ticket *ticket, elapsed time.Duration) {
	measured := min(elapsed.Seconds()/max(ticket.upstream.expectedServiceTime(), 0.001), maxMeasuredRatio)
	ratio := broker.ratio(ticket.class.urgency)
	deviation := measured/max(ratio, minRatio) - 1
	broker.spread += spreadWeight * (min(deviation*deviation, maxMeasuredRatio) - broker.spread)
	samples := broker.ratios[ticket.class.urgency].samples + 1
	weight := max(ratioWeight, 1/float64(samples+2))
	broker.ratios[ticket.class.urgency] = classRatio{ratio + weight*(measured-ratio), samples}
}

// forecast is the expected course of a request that joins the queue.
type forecast struct {
	serviceTime float64 // mean of the class, in seconds
	interval    float64 // mean time in seconds between the ends of requests in the slots
	free        int     // slots; below 0 if more requests run than there are slots
	ahead       int     // requests that get a slot before
	delay       float64 // seconds until any slot can be used
	// Shares of the slots that requests need: of more urgent classes, returned ones of the
	// class that go before, and all of the class and of more urgent ones.
	urgentShare, returnedShare, neededShare float64

	spread    float64 // square of the coefficient of variation of service times
	threshold float64 // utilization above which the slots count as overloaded
}

// steps returns the number of requests that must end before the request gets a slot.
func (forecast forecast) steps() float64 { return float64(max(forecast.ahead-forecast.free+1, 0)) }

// wait returns the mean queueing time in seconds.
func (forecast forecast) wait() float64 { return forecast.delay + forecast.steps()*forecast.interval }

// latency returns the time in seconds within which the request most likely ends: the mean
// and, under overload, a margin for the spread of service times. Requests that arrive
// during the wait and go before are taken into account.
func (forecast forecast) latency() float64 {
	limit := maxAheadShare + (maxOverloadedAheadShare-maxAheadShare)*forecast.overloadDegree(forecast.urgentShare)
	wait := forecast.wait() / (1 - min(forecast.urgentShare+forecast.returnedShare, limit))
	variance := forecast.spread * (forecast.steps()*forecast.interval*forecast.interval + forecast.serviceTime*forecast.serviceTime)
	quantile := inTimeQuantile
	if manySlots*forecast.interval <= forecast.serviceTime {
		quantile = manySlotsQuantile
	}
	return wait + forecast.serviceTime + quantile*forecast.overloadDegree(forecast.neededShare)*math.Sqrt(variance)
}

// overloadDegree is 0 without overload and 1 from fullOverload above the threshold on. With it
// grows the margin of requests to their targets: at first, a few late answers cost less than
// refusals.
func (forecast forecast) overloadDegree(neededShare float64) float64 {
	return min(max((neededShare-forecast.threshold)/fullOverload, 0), 1)
}

// neededShare returns the share of the slots that requests of the request's class and of
// more urgent ones need.
func (broker *Broker) neededShare(waiter *Waiter, now time.Time) float64 {
	return broker.classLoads(waiter).needed(waiter.urgency, now) / max(broker.slotsOf(waiter, now), 1)
}

// slotsOf returns the number of slots for which the request competes.
func (broker *Broker) slotsOf(waiter *Waiter, now time.Time) float64 {
	if owner := broker.upstreams[waiter.owner.Upstream]; owner != nil {
		return float64(owner.slotLimit)
	}
	return broker.capacity(now)
}
