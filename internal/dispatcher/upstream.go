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
	unknown health = "unknown" // not yet granted in this term
	up      health = "up"
	lost    health = "lost"
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
	rampTime = 10 * time.Second
	minRamp  = 0.1
	// drainLimit is when a leaving upstream gets no new requests any more. The
	// promise is 3 s; the rest is for requests between the check and the send.
	drainLimit   = 2800 * time.Millisecond
	drainPromise = 3 * time.Second
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
	lastAnswer time.Time
	instance   string
	stamp      stamp
	seq        uint64
	sent       *granting // content of the newest grant that was sent
	granting   *granting // content of the next one, unless something changes
	// confirmed is covered by the newest grant that was confirmed and by each
	// one sent since.
	confirmed    content
	confirmedSeq uint64
	// possibleUntil is the latest time at which the upstream may believe in a
	// grant; validUntil is the time until which a confirmed grant surely holds.
	possibleUntil, validUntil time.Time

	queue    *queuer.Queue[*ticket]
	inFlight map[*ticket]struct{}
	// inherited are the requests that a former holder finishes here.
	inherited map[string]inheritance
	solo      *ticket // a suspect that runs alone, or waits until it can
	broken    []*breakage

	causes     drainCauses
	drainSince time.Time // zero when not draining
	drained    bool
	coldSince  time.Time // zero when warm
	speed      speed
	relative   float64       // speed relative to the group's median
	absent     bool          // nothing listens at its address: a former process has ended
	renewing   *tenure       // whose renewals are running
	joined     bool          // was added while the group was held
	kick       chan struct{} // asks for a renewal at once
}

// stamp is a reading of the upstream's clock and the local times around it.
type stamp struct {
	value          int64
	sent, received time.Time
}

type inheritance struct {
	key      string
	deadline time.Time
	reported bool // by the upstream, whose answers then tell the end
}

// breakage is a request whose connection broke. Whether the request took the
// upstream down is known once the upstream answers again or is lost.
type breakage struct {
	ticket *ticket
	at     time.Time
	// verdict receives true when the upstream survived. It is nil when nobody
	// waits for it.
	verdict chan bool
}

func newUpstream(spec configurer.Upstream) *upstream {
	return &upstream{
		spec: spec, health: unknown, relative: 1, inFlight: map[*ticket]struct{}{},
		inherited: map[string]inheritance{}, kick: make(chan struct{}, 1),
	}
}

// begin prepares the upstream for a new term.
func (upstream *upstream) begin(clock clocker.Clock, policies [queuer.RankCount]queuer.Policy) {
	upstream.health, upstream.lastAnswer = unknown, clock.Now()
	upstream.sent, upstream.granting, upstream.confirmed = nil, nil, nil
	upstream.seq, upstream.confirmedSeq = 0, 0
	upstream.stamp, upstream.validUntil, upstream.possibleUntil = stamp{}, time.Time{}, time.Time{}
	upstream.broken, upstream.solo, upstream.joined = nil, nil, false
	upstream.absent = false
	upstream.renewQueue(clock, policies)
}

// renewQueue replaces the queue. Requests in flight keep their slots.
func (upstream *upstream) renewQueue(clock clocker.Clock, policies [queuer.RankCount]queuer.Policy) {
	upstream.queue = queuer.New[*ticket](clock, policies, upstream.spec.Slots)
	upstream.applySlots()
}

// foreign is the number of slots taken by requests that the present queue has
// not started.
func (upstream *upstream) foreign() int {
	count := len(upstream.inherited)
	for ticket := range upstream.inFlight {
		if ticket.queue != upstream.queue {
			count++
		}
	}
	return count
}

func (upstream *upstream) applySlots() {
	if upstream.queue != nil {
		upstream.queue.SetSlots(max(upstream.spec.Slots-upstream.foreign(), 0))
	}
}

func (upstream *upstream) draining() bool { return !upstream.drainSince.IsZero() }

// closed reports whether the upstream gets no new requests because it leaves.
func (upstream *upstream) closed(now time.Time) bool {
	return upstream.draining() && now.Sub(upstream.drainSince) >= drainLimit
}

// available reports whether shards may be placed on the upstream.
func (upstream *upstream) available() bool { return upstream.health != lost && !upstream.draining() }

// servable reports whether the upstream answers and its grant surely holds.
func (upstream *upstream) servable(now time.Time) bool {
	return upstream.health == up && now.Before(upstream.validUntil) && !upstream.closed(now)
}

// serves reports whether the confirmed grant covers the place.
func (upstream *upstream) serves(place place) bool { return upstream.confirmed[place] }

// capacity is the share of load that the upstream shall receive, in slots.
func (upstream *upstream) capacity(now time.Time) float64 {
	ramp := 1.0
	if !upstream.coldSince.IsZero() {
		ramp = min(max(now.Sub(upstream.coldSince).Seconds()/rampTime.Seconds(), minRamp), 1)
	}
	return float64(max(upstream.spec.Slots, 1)) * ramp * upstream.relative
}

// granting is what an upstream is granted, as of a revision of the ownership.
type granting struct {
	revision  uint64
	lost      bool
	full      Grant
	covered   content
	releasing []place
}

// renewal is one call that replaces or renews the grant.
type renewal struct {
	grant   Grant
	covered content
	// releasing are the places that the upstream gives up by confirming.
	releasing []place
	sent      time.Time
	stamp     stamp // that the grant's time counts from
	spec      configurer.Upstream
	checks    bool // the upstream checks grants
}

// renew returns the next grant to send. Its content is left out when the
// upstream has confirmed the same content. seq is the highest one of the term.
func (upstream *upstream) renew(granting *granting, seq *uint64, now time.Time) *renewal {
	full := granting.full
	if upstream.seq == 0 || upstream.sent != granting && !sameGrant(upstream.sent.full, full) {
		*seq++
		upstream.seq = *seq
		upstream.confirmed = intersection(upstream.confirmed, granting.covered)
	}
	upstream.sent = granting
	full.Seq, full.TTL, full.Timestamp = upstream.seq, grantTTL, upstream.stamp.value
	if upstream.confirmedSeq == upstream.seq {
		full.Renew, full.Shards, full.Keys, full.ExcludedKeys = true, nil, nil, nil
	}
	if until := upstream.stamp.received.Add(grantTTL); until.After(upstream.possibleUntil) {
		upstream.possibleUntil = until
	}
	return &renewal{grant: full, covered: granting.covered, releasing: granting.releasing, sent: now, stamp: upstream.stamp}
}

// confirm notes that the upstream has accepted the renewal.
func (upstream *upstream) confirm(renewal *renewal) {
	upstream.confirmedSeq = renewal.grant.Seq
	upstream.confirmed = renewal.covered
	from := renewal.sent // of an upstream without grants, whose answer is all there is
	if renewal.checks {
		from = renewal.stamp.sent
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
func intersection(a, b content) content {
	both := content{}
	for place := range a {
		if b[place] {
			both[place] = true
		}
	}
	return both
}

// wake asks for a renewal at once.
func (upstream *upstream) wake() {
	select {
	case upstream.kick <- struct{}{}:
	default:
	}
}

// decide tells the waiting request whether the upstream survived it.
func (breakage *breakage) decide(survived bool) {
	if breakage.verdict != nil {
		breakage.verdict <- survived
	}
}
