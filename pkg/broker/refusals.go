package broker

import (
	"math"
	"time"
)

// Upstreams may refuse requests although they have free slots. If one does, the others
// can take its place. If most upstreams of a service refuse at random, pauses would take
// away capacity that callers need. The two are told apart by the number of consecutive
// refusals, compared with what chance gives at the other upstreams' share of refusals.
const (
	// chanceLimit is the probability of a run of refusals by chance below which the
	// upstream is paused. A service whose other upstreams refuse fewer requests than
	// this share pauses each upstream after its first refusal.
	chanceLimit = 0.02
	// assumedAcceptances is added to the requests that the other upstreams have
	// accepted, so that a few results are no evidence of common refusals.
	assumedAcceptances = 10
)

// refusalMeter measures the share of requests that upstreams refuse.
type refusalMeter struct {
	refused  rateMeter
	accepted rateMeter
}

// otherShare returns the share of requests that the other upstreams have refused.
func (meter *refusalMeter) otherShare(upstream *refusalMeter, now time.Time) float64 {
	refused := max(meter.refused.perSecond(now)-upstream.refused.perSecond(now), 0)
	accepted := max(meter.accepted.perSecond(now)-upstream.accepted.perSecond(now), 0)
	return refused / (refused + accepted + assumedAcceptances/meterWindow.Seconds())
}

// recordAcceptance records that the upstream has run a request.
func (upstream *upstreamState) recordAcceptance(now time.Time) {
	upstream.consecutiveSheds = 0
	upstream.refusals.accepted.add(now, 1)
	upstream.serviceRefusals.accepted.add(now, 1)
}

// recordRefusal records that the upstream has refused a request, and pauses it unless a
// pause would not help.
func (upstream *upstreamState) recordRefusal(result Result, now time.Time) {
	upstream.interruptions = 0
	if result.Outcome == Shed {
		upstream.refusals.refused.add(now, 1)
		upstream.serviceRefusals.refused.add(now, 1)
	}
	if result.FreeSlot {
		return // it refuses requests despite a free slot: a pause would not help
	}
	upstream.consecutiveSheds++
	expected := 0
	if result.Outcome == Shed && !upstream.mayBeFull() {
		expected = expectedRun(upstream.serviceRefusals.otherShare(&upstream.refusals, now))
	}
	if excess := upstream.consecutiveSheds - expected; excess > 0 {
		upstream.pausedUntil = now.Add(min(shedPause<<min(excess-1, 8), maxShedPause))
	}
}

// mayBeFull reports whether the upstream may have refused a request because it is full.
// The broker counts all slots in use unless it is in local mode. It assigns one request
// more than the upstream has slots, which waits at the upstream.
func (upstream *upstreamState) mayBeFull() bool {
	return upstream.slotLimit < upstream.Slots || upstream.inUse() > upstream.Slots
}

// expectedRun returns the longest run of consecutive refusals that chance explains if
// the upstream refuses the share of requests.
func expectedRun(share float64) int {
	if share <= chanceLimit {
		return 0
	}
	return int(math.Log(chanceLimit) / math.Log(share))
}

// discountRefused removes a refused request, which has taken no service time, from the
// offered load. An attempt after it counts again.
func (broker *Broker) discountRefused(ticket *ticket, now time.Time) {
	mean, ownMean := broker.meanServiceTime(), ticket.upstream.serviceTime
	broker.offeredLoad.subtract(now, mean)
	ticket.upstream.offeredLoad.subtract(now, ownMean)
	if broker.Owners == nil {
		ownMean = mean
	}
	ticket.class.offered.subtract(now, ownMean*broker.ratio(ticket.class.urgency))
}

// subtract removes an amount that was added before.
func (meter *rateMeter) subtract(now time.Time, amount float64) {
	meter.decay(now)
	meter.sum = max(meter.sum-amount, 0)
}
