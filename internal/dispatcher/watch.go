package dispatcher

import (
	"time"

	"github.com/cuminstream/cuminstream/internal/timeliner"
	"github.com/cuminstream/cuminstream/pkg/answerer"
)

const (
	watchInterval = 50 * time.Millisecond
	// pauseGap between two ticks means that this process was paused. What it
	// did not hear meanwhile says nothing about the upstreams.
	pauseThreshold = 4 * watchInterval
	// soloPatience is how long a suspect may keep other requests waiting until
	// it is alone. A long upload would otherwise stop its upstream.
	exclusiveWaitLimit = 500 * time.Millisecond
	// fenceMargin covers the difference between the speeds of two clocks.
	clockDriftMargin = 50 * time.Millisecond
)

// watch notices what follows from the passing of time alone.
func (dispatcher *Dispatcher) watchLoop(leaseTerm *leaseTerm) {
	ticker := dispatcher.Clock.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		dispatcher.checkTimeouts(leaseTerm)
		select {
		case <-leaseTerm.ctx.Done():
			return
		case <-ticker.C():
		}
	}
}

func (dispatcher *Dispatcher) checkTimeouts(leaseTerm *leaseTerm) {
	_, leaseValid := leaseTerm.lease.Valid()
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if dispatcher.leaseTerm != leaseTerm {
		return
	}
	now := dispatcher.Clock.Now()
	gap := now.Sub(leaseTerm.watchedAt)
	leaseTerm.watchedAt = now
	for _, upstream := range dispatcher.upstreams {
		if gap > pauseThreshold || !leaseValid { // without a lease no renewals are sent
			upstream.lastAnswer = upstream.lastAnswer.Add(gap)
		}
		dispatcher.checkUpstreamTimeouts(upstream, now)
	}
	for id, orphan := range dispatcher.orphans {
		if !now.Before(orphan.deadline) {
			dispatcher.removeOrphan(id)
		}
	}
	dispatcher.updateFenced(leaseTerm, now)
	if now.Sub(leaseTerm.balancedAt) >= balanceInterval {
		leaseTerm.requestPlan()
	}
	dispatcher.retryParked(func(*call) bool { return true })
}

func (dispatcher *Dispatcher) checkUpstreamTimeouts(upstream *upstream, now time.Time) {
	name := upstream.spec.Name
	if upstream.health != healthLost && now.Sub(upstream.lastAnswer) >= lossTimeout {
		dispatcher.declareLost(upstream, "no answer")
	}
	if upstream.health == healthLost && (upstream.notListening || !now.Before(upstream.mayActUntil)) {
		if units := dispatcher.ownership.unitsToRelease(name, nil); len(units) > 0 {
			dispatcher.ownership.release(name, units)
			dispatcher.requestRenewals()
		}
	}
	for id, inherited := range upstream.inherited {
		if !now.Before(inherited.deadline) {
			dispatcher.removeInherited(upstream, id)
		}
	}
	if suspect := upstream.exclusive; suspect != nil && suspect.phase == phaseAwaitingExclusive && now.Sub(suspect.slotTakenAt) >= exclusiveWaitLimit {
		dispatcher.refuse(suspect, answerer.New(answerer.NotRunOverloaded,
			"upstreams were lost while they ran this request; it runs only alone, and %s is busy", name).WithRetryAfter(unavailableRetryAfter))
	}
	if upstream.closedForDrain(now) {
		dispatcher.reroute(upstream, func(*call) bool { return true })
	}
	upstream.queue.Expired() // their own timers end them
	dispatcher.startQueued(upstream)
	dispatcher.finishDrain(upstream)
}

// checkFence notes when no upstream can act on a grant of a former term any
// more: each one has confirmed a grant of this term or does not run, or the
// former grants have expired.
func (dispatcher *Dispatcher) updateFenced(leaseTerm *leaseTerm, now time.Time) {
	if leaseTerm.fenced {
		return
	}
	leaseTerm.fenced = !dispatcher.service.ChecksGrants || now.Sub(leaseTerm.startedAt) >= grantTTL+clockDriftMargin
	if !leaseTerm.fenced {
		leaseTerm.fenced = true
		for _, upstream := range dispatcher.upstreams {
			leaseTerm.fenced = leaseTerm.fenced && (upstream.confirmedSeq > 0 || upstream.notListening)
		}
	}
	if leaseTerm.fenced {
		dispatcher.recordEvent(timeliner.Event{Kind: "groupServed"})
	}
}

// lose declares the upstream lost: its requests in flight are cut, and each of
// their fingerprints gets one count. Requests that a former holder finishes
// there cannot be cut from here; their keys stay until they end or their
// deadline passes.
func (dispatcher *Dispatcher) declareLost(upstream *upstream, reason string) {
	upstreamLosses.Inc()
	dispatcher.recordEvent(timeliner.Event{Kind: "upstreamLost", Upstream: upstream.spec.Name, Detail: reason})
	upstream.health = healthLost
	upstream.confirmedUnits, upstream.confirmedSeq, upstream.validUntil = nil, 0, time.Time{}
	upstream.coldSince = time.Time{}
	var fingerprints []uint64
	for call := range upstream.inFlight {
		if !call.sent || call.leaseTerm != dispatcher.leaseTerm {
			continue
		}
		call.upstreamLost = true
		fingerprints = append(fingerprints, call.request.Fingerprint)
		if call.cancel != nil {
			call.cancel()
		}
	}
	for _, failure := range upstream.connectionFailures {
		failure.ticket.upstreamLost = true
		fingerprints = append(fingerprints, failure.ticket.request.Fingerprint)
	}
	dispatcher.recordLosses(upstream, fingerprints)
	for _, failure := range upstream.connectionFailures {
		failure.resolve(false)
	}
	upstream.connectionFailures = nil
	dispatcher.reroute(upstream, func(*call) bool { return true })
	dispatcher.leaseTerm.requestPlan()
}

func (dispatcher *Dispatcher) recordLosses(upstream *upstream, fingerprints []uint64) {
	var nonZero []uint64
	for _, fingerprint := range fingerprints {
		if fingerprint != 0 {
			nonZero = append(nonZero, fingerprint)
		}
	}
	if len(nonZero) == 0 {
		return
	}
	for _, entry := range dispatcher.leaseTerm.suspects.Lose(nonZero...) {
		kind := "fingerprintSuspected"
		if entry.Losses >= lossesToRefuse {
			kind = "fingerprintConvicted"
		}
		dispatcher.recordEvent(timeliner.Event{Kind: kind, Upstream: upstream.spec.Name})
		dispatcher.leaseTerm.unreplicatedLosses = append(dispatcher.leaseTerm.unreplicatedLosses, entry)
	}
}

// noticed handles the drain notice of an answer.
func (dispatcher *Dispatcher) handleDrainHeader(upstream *upstream) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	upstream.drainCauses.header = true
	dispatcher.updateDrain(upstream)
}

// checkDrain begins or ends the planned stop of the upstream.
func (dispatcher *Dispatcher) updateDrain(upstream *upstream) {
	name := upstream.spec.Name
	switch {
	case upstream.drainCauses.any() && !upstream.draining():
		upstream.drainSince, upstream.drained = dispatcher.Clock.Now(), false
		dispatcher.recordEvent(timeliner.Event{Kind: "upstreamDraining", Upstream: name, Detail: upstream.drainCauses.String()})
	case !upstream.drainCauses.any() && upstream.draining():
		upstream.drainSince, upstream.drained = time.Time{}, false
		dispatcher.recordEvent(timeliner.Event{Kind: "upstreamDrainCancelled", Upstream: name})
	default:
		return
	}
	if dispatcher.leaseTerm != nil {
		dispatcher.leaseTerm.requestPlan()
	}
}

// noteDrained reports the end of a planned stop. A removed upstream is then
// forgotten.
func (dispatcher *Dispatcher) finishDrain(upstream *upstream) {
	name := upstream.spec.Name
	if !upstream.draining() || upstream.usedSlots() > 0 || dispatcher.ownership.holdsAny(name) ||
		dispatcher.leaseTerm == nil || len(dispatcher.ownership.assignedUnits(name, dispatcher.shardOf)) > 0 {
		return
	}
	if !upstream.drained {
		upstream.drained = true
		dispatcher.recordEvent(timeliner.Event{Kind: "upstreamDrained", Upstream: name})
	}
	if upstream.drainCauses.removed && dispatcher.upstreams[name] == upstream {
		delete(dispatcher.upstreams, name)
	}
}
