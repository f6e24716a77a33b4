package dispatcher

import (
	"slices"
	"time"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/queuer"
)

// health is the state of an upstream as observed by the lease holder.
type health string

const (
	healthUnknown health = "unknown" // has confirmed no grant in this term yet
	healthUp      health = "up"
	healthLost    health = "lost"
)

const (
	// grantTTL is how long a grant is valid.
	grantTTL = 800 * time.Millisecond
	// renewalInterval is the time between two renewals to an upstream.
	renewalInterval = 200 * time.Millisecond
	// renewalTimeout is so short that at least two renewals fail before the
	// upstream counts as lost.
	renewalTimeout = 300 * time.Millisecond
	// lossTimeout is the time without a reply after which an upstream counts as
	// lost.
	lossTimeout = 600 * time.Millisecond
	// rampTime is the time over which the share of a cold upstream grows from
	// minRampShare to its full share.
	rampTime     = 10 * time.Second
	minRampShare = 0.1
	// drainSendLimit is the time after which a draining upstream gets no new
	// requests. The guaranteed limit is drainSendBound; the difference is for
	// requests between the check and the send.
	drainSendLimit = 2800 * time.Millisecond
	drainSendBound = 3 * time.Second
)

// drainCauses are the reasons for which an upstream is draining.
type drainCauses struct {
	document, platform, removed bool
	// notice follows the replies to renewals. header is set by the header of a
	// response and cleared when the upstream restarts.
	notice, header bool
}

func (causes drainCauses) any() bool {
	return causes.document || causes.platform || causes.notice || causes.header || causes.removed
}

// upstream is the state of one upstream as known to the lease holder.
type upstream struct {
	spec   configurer.Upstream
	health health
	// lastReply is when the upstream last replied to a renewal or a probe.
	lastReply   time.Time
	instance    string
	clock       clockReading
	seq         uint64
	sentContent *grantContent // of the newest grant that was sent
	nextContent *grantContent // of the next grant, unless something changes
	// confirmedUnits are the units covered by the newest confirmed grant and by
	// each grant sent since.
	confirmedUnits unitSet
	confirmedSeq   uint64
	// mayActUntil is the latest time at which the upstream may consider a grant
	// valid. Until validUntil, a confirmed grant is certainly valid.
	mayActUntil, validUntil time.Time

	queue    *queuer.Queue[*call]
	inFlight map[*call]struct{}
	// inherited are the requests, by ID, that a former holder is finishing at
	// this upstream.
	inherited          map[string]inheritedRequest
	exclusive          *call // a suspect that runs alone or waits to run alone
	connectionFailures []*connectionFailure

	drainCauses      drainCauses
	drainSince       time.Time // zero if not draining
	drained          bool
	coldSince        time.Time // zero if warm
	serviceTimes     serviceTimes
	relativeSpeed    float64       // 1 or, for a slow upstream, a fraction of the group's median
	notListening     bool          // its address refuses connections, so that the former process has ended
	renewedFor       *leaseTerm    // the term whose renewLoop is running
	joinedDuringTerm bool          // was added during the lease term
	renewalSignal    chan struct{} // requests an immediate renewal
}

// clockReading is a reading of the upstream's clock with the local times at
// which the request for it was sent and the reply was received.
type clockReading struct {
	value              int64
	sentAt, receivedAt time.Time
}

// inheritedRequest is a request that a former holder sent and is still
// finishing.
type inheritedRequest struct {
	key      string
	deadline time.Time
	reported bool // by the upstream, whose replies then show its end
}

// connectionFailure is a request whose connection broke. Whether the upstream
// survived the request is known once the upstream replies again or is lost.
type connectionFailure struct {
	call *call
	at   time.Time
	// upstreamSurvived receives whether the upstream survived. It is nil if no
	// goroutine waits for the result.
	upstreamSurvived chan bool
}

func newUpstream(spec configurer.Upstream) *upstream {
	return &upstream{
		spec: spec, health: healthUnknown, relativeSpeed: 1, inFlight: map[*call]struct{}{},
		inherited: map[string]inheritedRequest{}, renewalSignal: make(chan struct{}, 1),
	}
}

// reset prepares the upstream for a new term.
func (upstream *upstream) reset(clock clocker.Clock, policies [queuer.RankCount]queuer.Policy) {
	upstream.health, upstream.lastReply = healthUnknown, clock.Now()
	upstream.sentContent, upstream.nextContent, upstream.confirmedUnits = nil, nil, nil
	upstream.seq, upstream.confirmedSeq = 0, 0
	upstream.clock, upstream.validUntil, upstream.mayActUntil = clockReading{}, time.Time{}, time.Time{}
	upstream.connectionFailures, upstream.exclusive, upstream.joinedDuringTerm = nil, nil, false
	upstream.notListening = false
	upstream.replaceQueue(clock, policies)
}

// replaceQueue replaces the queue. Requests in flight keep their slots.
func (upstream *upstream) replaceQueue(clock clocker.Clock, policies [queuer.RankCount]queuer.Policy) {
	upstream.queue = queuer.New[*call](clock, policies, upstream.spec.Slots)
	upstream.applySlots()
}

// slotsOutsideQueue returns the number of slots in use by requests that the
// current queue has not started.
func (upstream *upstream) slotsOutsideQueue() int {
	count := len(upstream.inherited)
	for call := range upstream.inFlight {
		if call.queue != upstream.queue {
			count++
		}
	}
	return count
}

// applySlots gives the queue the slots that are not in use outside it.
func (upstream *upstream) applySlots() {
	if upstream.queue != nil {
		upstream.queue.SetSlots(max(upstream.spec.Slots-upstream.slotsOutsideQueue(), 0))
	}
}

func (upstream *upstream) draining() bool { return !upstream.drainSince.IsZero() }

// closedForDrain reports whether the upstream gets no new requests because it
// is draining.
func (upstream *upstream) closedForDrain(now time.Time) bool {
	return upstream.draining() && now.Sub(upstream.drainSince) >= drainSendLimit
}

// available reports whether shards may be placed on the upstream.
func (upstream *upstream) available() bool {
	return upstream.health != healthLost && !upstream.draining()
}

// servable reports whether the upstream is up and has a grant that is certainly
// valid.
func (upstream *upstream) servable(now time.Time) bool {
	return upstream.health == healthUp && now.Before(upstream.validUntil) && !upstream.closedForDrain(now)
}

// grantCovers reports whether the confirmed grant covers the unit.
func (upstream *upstream) grantCovers(unit placementUnit) bool { return upstream.confirmedUnits[unit] }

// capacity returns the share of the load that the upstream should receive, in
// slots.
func (upstream *upstream) capacity(now time.Time) float64 {
	ramp := 1.0
	if !upstream.coldSince.IsZero() {
		ramp = min(max(now.Sub(upstream.coldSince).Seconds()/rampTime.Seconds(), minRampShare), 1)
	}
	return float64(max(upstream.spec.Slots, 1)) * ramp * upstream.relativeSpeed
}

// grantContent is the content of an upstream's grant at a revision of the
// ownership.
type grantContent struct {
	revision  uint64
	lost      bool // a lost upstream is granted nothing
	grant     Grant
	covered   unitSet         // units of the grant
	releasing []placementUnit // units that the upstream still holds without a grant
}

// renewal is one message that replaces or renews the grant.
type renewal struct {
	grant   Grant
	covered unitSet
	// releasing are the units that the upstream releases by confirming the
	// grant.
	releasing    []placementUnit
	sentAt       time.Time
	clock        clockReading // the TTL of the grant counts from it
	spec         configurer.Upstream
	checksGrants bool // otherwise the renewal is a probe
}

// buildRenewal returns the next renewal to send. The content of the grant is
// omitted if the upstream has confirmed the same content. seq is the highest
// Seq of the term.
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

// confirm records that the upstream has accepted the renewal.
func (upstream *upstream) confirm(renewal *renewal) {
	upstream.confirmedSeq = renewal.grant.Seq
	upstream.confirmedUnits = renewal.covered
	from := renewal.sentAt // for a probe, which has no clock reading
	if renewal.checksGrants {
		from = renewal.clock.sentAt
	}
	if until := from.Add(grantTTL); until.After(upstream.validUntil) {
		upstream.validUntil = until
	}
}

func sameGrant(a, b Grant) bool {
	return slices.Equal(a.Shards, b.Shards) && slices.Equal(a.Keys, b.Keys) && slices.Equal(a.ExcludedKeys, b.ExcludedKeys)
}

// intersection returns the units of both sets. While a grant is being replaced,
// only units that both grants cover are served.
func intersection(a, b unitSet) unitSet {
	both := unitSet{}
	for unit := range a {
		if b[unit] {
			both[unit] = true
		}
	}
	return both
}

// requestRenewal requests an immediate renewal.
func (upstream *upstream) requestRenewal() {
	select {
	case upstream.renewalSignal <- struct{}{}:
	default:
	}
}

// resolve tells the waiting goroutine whether the upstream survived the
// request.
func (failure *connectionFailure) resolve(survived bool) {
	if failure.upstreamSurvived != nil {
		failure.upstreamSurvived <- survived
	}
}
