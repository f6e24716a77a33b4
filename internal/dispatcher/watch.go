package dispatcher

import (
	"time"

	"github.com/cuminstream/cuminstream/internal/timeliner"
	"github.com/cuminstream/cuminstream/pkg/answerer"
)

const (
	// watchInterval is the time between two checks of the timeouts.
	watchInterval = 50 * time.Millisecond
	// pauseThreshold is the time between two ticks above which this process was
	// paused. The lack of replies during a pause says nothing about the
	// upstreams.
	pauseThreshold = 4 * watchInterval
	// exclusiveWaitLimit is how long a suspect that waits to run alone may
	// delay other requests. Without it, a long upload would block its upstream.
	exclusiveWaitLimit = 500 * time.Millisecond
	// clockDriftMargin covers the difference between the rates of two clocks.
	clockDriftMargin = 50 * time.Millisecond
)

// watchLoop calls checkTimeouts at each tick until the lease term ends.
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

// checkTimeouts applies all changes that are caused only by the passing of
// time.
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
			upstream.lastReply = upstream.lastReply.Add(gap)
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

// checkUpstreamTimeouts applies the timeouts of one upstream. The caller must
// hold the mutex, as for all functions below except handleDrainHeader.
func (dispatcher *Dispatcher) checkUpstreamTimeouts(upstream *upstream, now time.Time) {
	name := upstream.spec.Name
	if upstream.health != healthLost && now.Sub(upstream.lastReply) >= lossTimeout {
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
	upstream.queue.Expired() // the timers of awaitSlot end the expired calls
	dispatcher.startQueued(upstream)
	dispatcher.finishDrain(upstream)
}

// updateFenced sets fenced once no upstream can still act on a grant of an
// earlier term: each upstream has confirmed a grant of this term or is not
// running, or the earlier grants have expired.
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

// declareLost marks the upstream as lost, cancels its requests in flight and
// counts one loss for each of their fingerprints. It cannot cancel requests
// that a former holder is finishing there; their keys stay in use until they
// end or their deadline passes.
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
		failure.call.upstreamLost = true
		fingerprints = append(fingerprints, failure.call.request.Fingerprint)
	}
	dispatcher.recordLosses(upstream, fingerprints)
	for _, failure := range upstream.connectionFailures {
		failure.resolve(false)
	}
	upstream.connectionFailures = nil
	dispatcher.reroute(upstream, func(*call) bool { return true })
	dispatcher.leaseTerm.requestPlan()
}

// recordLosses counts a loss of the upstream for each fingerprint.
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
	for _, entry := range dispatcher.leaseTerm.suspects.RecordLosses(nonZero...) {
		kind := "fingerprintSuspected"
		if entry.Losses >= lossesToRefuse {
			kind = "fingerprintConvicted"
		}
		dispatcher.recordEvent(timeliner.Event{Kind: kind, Upstream: upstream.spec.Name})
		dispatcher.leaseTerm.unreplicatedLosses = append(dispatcher.leaseTerm.unreplicatedLosses, entry)
	}
}

// handleDrainHeader handles the drain notice in the header of a response.
func (dispatcher *Dispatcher) handleDrainHeader(upstream *upstream) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	upstream.drainCauses.header = true
	dispatcher.updateDrain(upstream)
}

// updateDrain starts or cancels the drain of the upstream according to its
// causes.
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

// finishDrain records the end of a drain once the upstream has no requests and
// owns nothing. An upstream that was removed from the group is then deleted.
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
