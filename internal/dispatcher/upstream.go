package dispatcher

import (
	"slices"
	"time"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/queuer"
)

// health is what the holder's own measurements say about an upstream.
type health string

const (
	healthUnknown health = "unknown" // not yet granted in this term
	healthUp      health = "up"
	healthLost    health = "lost"
)

const (
	grantTTL      = 800 * time.Millisecond
	renewalPeriod = 200 * time.Millisecond
	// renewalTimeout lets at least two renewals fail before the upstream
	// counts as lost.
	renewalTimeout = 300 * time.Millisecond
	// lossTimeout without an answer makes an upstream lost.
	lossTimeout = 600 * time.Millisecond
	// rampTime is how long the share of a cold upstream grows.
	rampTime     = 10 * time.Second
	minRampShare = 0.1
	// drainLimit is when a leaving upstream gets no new requests any more. The
	// promise is 3 s; the rest is for requests between the check and the send.
	drainSendLimit = 2800 * time.Millisecond
	drainSendBound = 3 * time.Second
)

// drainCauses are the reasons for which an upstream leaves.
type drainCauses struct {
	document, platform, removed bool
	// notice follows the answers to renewals; header is set by the header of
	// any answer, until the upstream has been lost.
	notice, header bool
}

func (causes drainCauses) any() bool {
	return causes.document || causes.platform || causes.notice || causes.header || causes.removed
}

// upstream is what the holder knows of one upstream.
type upstream struct {
	spec   configurer.Upstream
	health health
	// lastAnswer is when the upstream last answered a renewal or a probe.
	lastAnswer  time.Time
	instance    string
	clock       clockReading
	seq         uint64
	sentContent *grantContent // content of the newest grant that was sent
	nextContent *grantContent // content of the next one, unless something changes
	// confirmed is covered by the newest grant that was confirmed and by each
	// one sent since.
	confirmedUnits unitSet
	confirmedSeq   uint64
	// possibleUntil is the latest time at which the upstream may believe in a
	// grant; validUntil is the time until which a confirmed grant surely holds.
	mayActUntil, validUntil time.Time

	queue    *queuer.Queue[*call]
	inFlight map[*call]struct{}
	// inherited are the requests that a former holder finishes here.
	inherited          map[string]inheritedRequest
	exclusive          *call // a suspect that runs alone, or waits until it can
	connectionFailures []*connectionFailure

	drainCauses      drainCauses
	drainSince       time.Time // zero when not draining
	drained          bool
	coldSince        time.Time // zero when warm
	serviceTimes     serviceTimes
	relativeSpeed    float64       // speed relative to the group's median
	notListening     bool          // nothing listens at its address: a former process has ended
	renewedFor       *leaseTerm    // whose renewals are running
	joinedDuringTerm bool          // was added while the group was held
	renewalSignal    chan struct{} // asks for a renewal at once
}

// stamp is a reading of the upstream's clock and the local times around it.
type clockReading struct {
	value              int64
	sentAt, receivedAt time.Time
}

type inheritedRequest struct {
	key      string
	deadline time.Time
	reported bool // by the upstream, whose answers then tell the end
}

// breakage is a request whose connection broke. Whether the request took the
// upstream down is known once the upstream answers again or is lost.
type connectionFailure struct {
	ticket *call
	at     time.Time
	// verdict receives true when the upstream survived. It is nil when nobody
	// waits for it.
	upstreamSurvived chan bool
}

func newUpstream(spec configurer.Upstream) *upstream {
	return &upstream{
		spec: spec, health: healthUnknown, relativeSpeed: 1, inFlight: map[*call]struct{}{},
		inherited: map[string]inheritedRequest{}, renewalSignal: make(chan struct{}, 1),
	}
}

// begin prepares the upstream for a new term.
func (upstream *upstream) reset(clock clocker.Clock, policies [queuer.RankCount]queuer.Policy) {
	upstream.health, upstream.lastAnswer = healthUnknown, clock.Now()
	upstream.sentContent, upstream.nextContent, upstream.confirmedUnits = nil, nil, nil
	upstream.seq, upstream.confirmedSeq = 0, 0
	upstream.clock, upstream.validUntil, upstream.mayActUntil = clockReading{}, time.Time{}, time.Time{}
	upstream.connectionFailures, upstream.exclusive, upstream.joinedDuringTerm = nil, nil, false
	upstream.notListening = false
	upstream.replaceQueue(clock, policies)
}

// renewQueue replaces the queue. Requests in flight keep their slots.
func (upstream *upstream) replaceQueue(clock clocker.Clock, policies [queuer.RankCount]queuer.Policy) {
	upstream.queue = queuer.New[*call](clock, policies, upstream.spec.Slots)
	upstream.applySlots()
}

// foreign is the number of slots taken by requests that the present queue has
// not started.
func (upstream *upstream) slotsOutsideQueue() int {
	count := len(upstream.inherited)
	for call := range upstream.inFlight {
		if call.queue != upstream.queue {
			count++
		}
	}
	return count
}

func (upstream *upstream) applySlots() {
	if upstream.queue != nil {
		upstream.queue.SetSlots(max(upstream.spec.Slots-upstream.slotsOutsideQueue(), 0))
	}
}

func (upstream *upstream) draining() bool { return !upstream.drainSince.IsZero() }

// closed reports whether the upstream gets no new requests because it leaves.
func (upstream *upstream) closedForDrain(now time.Time) bool {
	return upstream.draining() && now.Sub(upstream.drainSince) >= drainSendLimit
}

// available reports whether shards may be placed on the upstream.
func (upstream *upstream) available() bool {
	return upstream.health != healthLost && !upstream.draining()
}

// servable reports whether the upstream answers and its grant surely holds.
func (upstream *upstream) servable(now time.Time) bool {
	return upstream.health == healthUp && now.Before(upstream.validUntil) && !upstream.closedForDrain(now)
}

// serves reports whether the confirmed grant covers the place.
func (upstream *upstream) grantCovers(unit placementUnit) bool { return upstream.confirmedUnits[unit] }

// capacity is the share of load that the upstream shall receive, in slots.
func (upstream *upstream) capacity(now time.Time) float64 {
	ramp := 1.0
	if !upstream.coldSince.IsZero() {
		ramp = min(max(now.Sub(upstream.coldSince).Seconds()/rampTime.Seconds(), minRampShare), 1)
	}
	return float64(max(upstream.spec.Slots, 1)) * ramp * upstream.relativeSpeed
}

// granting is what an upstream is granted, as of a revision of the ownership.
type grantContent struct {
	revision  uint64
	lost      bool
	grant     Grant
	covered   unitSet
	releasing []placementUnit
}

// renewal is one call that replaces or renews the grant.
type renewal struct {
	grant   Grant
	covered unitSet
	// releasing are the places that the upstream gives up by confirming.
	releasing []placementUnit
	sentAt    time.Time
	clock     clockReading // that the grant's time counts from
	spec      configurer.Upstream
	checks    bool // the upstream checks grants
}

// renew returns the next grant to send. Its content is left out when the
// upstream has confirmed the same content. seq is the highest one of the term.
func (upstream *upstream) buildRenewal(content *grantContent, seq *uint64, now time.Time) *renewal {
	grant := content.grant
	if upstream.seq == 0 || upstream.sentContent != content && !sameGrant(upstream.sentContent.grant, grant) {
		*seq++
		upstream.seq = *seq
		upstream.confirmedUnits = intersection(upstream.confirmedUnits, content.covered)
	}
	upstream.sentContent = content
	grant.Seq, grant.TTL, grant.Timestamp = upstream.seq, grantTTL, upstream.clock.value
	if upstream.confirmedSeq == upstream.seq {
		grant.Renew, grant.Shards, grant.Keys, grant.ExcludedKeys = true, nil, nil, nil
	}
	if until := upstream.clock.receivedAt.Add(grantTTL); until.After(upstream.mayActUntil) {
		upstream.mayActUntil = until
	}
	return &renewal{grant: grant, covered: content.covered, releasing: content.releasing, sentAt: now, clock: upstream.clock}
}

// confirm notes that the upstream has accepted the renewal.
func (upstream *upstream) confirm(renewal *renewal) {
	upstream.confirmedSeq = renewal.grant.Seq
	upstream.confirmedUnits = renewal.covered
	from := renewal.sentAt // of an upstream without grants, whose answer is all there is
	if renewal.checks {
		from = renewal.clock.sentAt
	}
	if until := from.Add(grantTTL); until.After(upstream.validUntil) {
		upstream.validUntil = until
	}
}

func sameGrant(a, b Grant) bool {
	return slices.Equal(a.Shards, b.Shards) && slices.Equal(a.Keys, b.Keys) && slices.Equal(a.ExcludedKeys, b.ExcludedKeys)
}

// intersection returns the places of both. While a grant is replaced, only what
// both grants cover is served.
func intersection(a, b unitSet) unitSet {
	both := unitSet{}
	for unit := range a {
		if b[unit] {
			both[unit] = true
		}
	}
	return both
}

// wake asks for a renewal at once.
func (upstream *upstream) requestRenewal() {
	select {
	case upstream.renewalSignal <- struct{}{}:
	default:
	}
}

// decide tells the waiting request whether the upstream survived it.
func (failure *connectionFailure) resolve(survived bool) {
	if failure.upstreamSurvived != nil {
		failure.upstreamSurvived <- survived
	}
}
