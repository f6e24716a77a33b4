package dispatcher

import (
	"time"

	"github.com/cuminstream/cuminstream/internal/timeliner"
	"github.com/cuminstream/cuminstream/pkg/answerer"
)

const (
	watchPeriod = 50 * time.Millisecond
	// pauseGap between two ticks means that this process was paused. What it
	// did not hear meanwhile says nothing about the upstreams.
	pauseGap = 4 * watchPeriod
	// soloPatience is how long a suspect may keep other requests waiting until
	// it is alone. A long upload would otherwise stop its upstream.
	soloPatience = 500 * time.Millisecond
	// fenceMargin covers the difference between the speeds of two clocks.
	fenceMargin = 50 * time.Millisecond
)

// watch notices what follows from the passing of time alone.
func (dispatcher *Dispatcher) watch(tenure *tenure) {
	ticker := dispatcher.Clock.NewTicker(watchPeriod)
	defer ticker.Stop()
	for {
		dispatcher.check(tenure)
		select {
		case <-tenure.ctx.Done():
			return
		case <-ticker.C():
		}
	}
}

func (dispatcher *Dispatcher) check(tenure *tenure) {
	_, leased := tenure.lease.Valid()
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if dispatcher.tenure != tenure {
		return
	}
	now := dispatcher.Clock.Now()
	gap := now.Sub(tenure.watching)
	tenure.watching = now
	for _, upstream := range dispatcher.upstreams {
		if gap > pauseGap || !leased { // without a lease no renewals are sent
			upstream.lastAnswer = upstream.lastAnswer.Add(gap)
		}
		dispatcher.checkUpstream(upstream, now)
	}
	for id, stray := range dispatcher.strays {
		if !now.Before(stray.deadline) {
			dispatcher.settleStray(id)
		}
	}
	dispatcher.checkFence(tenure, now)
	if now.Sub(tenure.planned) >= planPeriod {
		tenure.wake()
	}
	dispatcher.unpark(func(*ticket) bool { return true })
}

func (dispatcher *Dispatcher) checkUpstream(upstream *upstream, now time.Time) {
	name := upstream.spec.Name
	if upstream.health != lost && now.Sub(upstream.lastAnswer) >= lossTimeout {
		dispatcher.lose(upstream, "no answer")
	}
	if upstream.health == lost && (upstream.absent || !now.Before(upstream.possibleUntil)) {
		if places := dispatcher.ownership.releasing(name, nil); len(places) > 0 {
			dispatcher.ownership.release(name, places)
			dispatcher.wakeAll()
		}
	}
	for id, inherited := range upstream.inherited {
		if !now.Before(inherited.deadline) {
			dispatcher.disinherit(upstream, id)
		}
	}
	if suspect := upstream.solo; suspect != nil && suspect.phase == solo && now.Sub(suspect.started) >= soloPatience {
		dispatcher.refuse(suspect, answerer.New(answerer.NotRunOverloaded,
			"upstreams were lost while they ran this request; it runs only alone, and %s is busy", name).WithRetryAfter(unavailableRetry))
	}
	if upstream.closed(now) {
		dispatcher.reroute(upstream, func(*ticket) bool { return true })
	}
	upstream.queue.Expired() // their own timers end them
	dispatcher.pump(upstream)
	dispatcher.noteDrained(upstream)
}

// checkFence notes when no upstream can act on a grant of a former term any
// more: each one has confirmed a grant of this term or does not run, or the
// former grants have expired.
func (dispatcher *Dispatcher) checkFence(tenure *tenure, now time.Time) {
	if tenure.fenced {
		return
	}
	tenure.fenced = !dispatcher.service.ChecksGrants || now.Sub(tenure.began) >= grantTTL+fenceMargin
	if !tenure.fenced {
		tenure.fenced = true
		for _, upstream := range dispatcher.upstreams {
			tenure.fenced = tenure.fenced && (upstream.confirmedSeq > 0 || upstream.absent)
		}
	}
	if tenure.fenced {
		dispatcher.record(timeliner.Event{Kind: "groupServed"})
	}
}

// lose declares the upstream lost: its requests in flight are cut, and each of
// their fingerprints gets one count. Requests that a former holder finishes
// there cannot be cut from here; their keys stay until they end or their
// deadline passes.
func (dispatcher *Dispatcher) lose(upstream *upstream, reason string) {
	losses.Inc()
	dispatcher.record(timeliner.Event{Kind: "upstreamLost", Upstream: upstream.spec.Name, Detail: reason})
	upstream.health = lost
	upstream.confirmed, upstream.confirmedSeq, upstream.validUntil = nil, 0, time.Time{}
	upstream.coldSince = time.Time{}
	var fingerprints []uint64
	for ticket := range upstream.inFlight {
		if !ticket.sent || ticket.tenure != dispatcher.tenure {
			continue
		}
		ticket.lost = true
		fingerprints = append(fingerprints, ticket.request.Fingerprint)
		if ticket.cancel != nil {
			ticket.cancel()
		}
	}
	for _, breakage := range upstream.broken {
		breakage.ticket.lost = true
		fingerprints = append(fingerprints, breakage.ticket.request.Fingerprint)
	}
	dispatcher.suspect(upstream, fingerprints)
	for _, breakage := range upstream.broken {
		breakage.decide(false)
	}
	upstream.broken = nil
	dispatcher.reroute(upstream, func(*ticket) bool { return true })
	dispatcher.tenure.wake()
}

func (dispatcher *Dispatcher) suspect(upstream *upstream, fingerprints []uint64) {
	var known []uint64
	for _, fingerprint := range fingerprints {
		if fingerprint != 0 {
			known = append(known, fingerprint)
		}
	}
	if len(known) == 0 {
		return
	}
	for _, entry := range dispatcher.tenure.suspects.RecordLosses(known...) {
		kind := "fingerprintSuspected"
		if entry.Losses >= convicted {
			kind = "fingerprintConvicted"
		}
		dispatcher.record(timeliner.Event{Kind: kind, Upstream: upstream.spec.Name})
		dispatcher.tenure.unsaved = append(dispatcher.tenure.unsaved, entry)
	}
}

// noticed handles the drain notice of an answer.
func (dispatcher *Dispatcher) noticed(upstream *upstream) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	upstream.causes.header = true
	dispatcher.checkDrain(upstream)
}

// checkDrain begins or ends the planned stop of the upstream.
func (dispatcher *Dispatcher) checkDrain(upstream *upstream) {
	name := upstream.spec.Name
	switch {
	case upstream.causes.any() && !upstream.draining():
		upstream.drainSince, upstream.drained = dispatcher.Clock.Now(), false
		dispatcher.record(timeliner.Event{Kind: "upstreamDraining", Upstream: name, Detail: upstream.causes.String()})
	case !upstream.causes.any() && upstream.draining():
		upstream.drainSince, upstream.drained = time.Time{}, false
		dispatcher.record(timeliner.Event{Kind: "upstreamDrainCancelled", Upstream: name})
	default:
		return
	}
	if dispatcher.tenure != nil {
		dispatcher.tenure.wake()
	}
}

// noteDrained reports the end of a planned stop. A removed upstream is then
// forgotten.
func (dispatcher *Dispatcher) noteDrained(upstream *upstream) {
	name := upstream.spec.Name
	if !upstream.draining() || upstream.taken() > 0 || dispatcher.ownership.holds(name) ||
		dispatcher.tenure == nil || len(dispatcher.ownership.targets(name, dispatcher.shardOf)) > 0 {
		return
	}
	if !upstream.drained {
		upstream.drained = true
		dispatcher.record(timeliner.Event{Kind: "upstreamDrained", Upstream: name})
	}
	if upstream.causes.removed && dispatcher.upstreams[name] == upstream {
		delete(dispatcher.upstreams, name)
	}
}
