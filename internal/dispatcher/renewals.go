package dispatcher

import (
	"errors"
	"syscall"
	"time"

	"github.com/cuminstream/cuminstream/internal/replicator"
	"github.com/cuminstream/cuminstream/internal/timeliner"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// renewLoop renews the grant of one upstream, which also shows whether the
// upstream replies. It returns when the lease term ends or the upstream was
// removed.
func (dispatcher *Dispatcher) renewLoop(leaseTerm *leaseTerm, name string) {
	upstream := dispatcher.claimRenewals(leaseTerm, name)
	if upstream == nil {
		return
	}
	ticker := dispatcher.Clock.NewTicker(renewalInterval)
	defer ticker.Stop()
	for {
		if !dispatcher.sendRenewal(leaseTerm, upstream) {
			return
		}
		select {
		case <-leaseTerm.ctx.Done():
			return
		case <-ticker.C():
		case <-upstream.renewalSignal:
		}
	}
}

// claimRenewals returns the upstream, or nil if its renewLoop is already
// running. Two concurrent renewals could release a unit that the later one
// grants.
func (dispatcher *Dispatcher) claimRenewals(leaseTerm *leaseTerm, name string) *upstream {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	upstream := dispatcher.upstreams[name]
	if upstream == nil || upstream.renewedFor == leaseTerm {
		return nil
	}
	upstream.renewedFor = leaseTerm
	return upstream
}

// sendRenewal sends one renewal. It returns false if the lease term has ended
// or the upstream was removed.
func (dispatcher *Dispatcher) sendRenewal(leaseTerm *leaseTerm, upstream *upstream) bool {
	renewal := dispatcher.prepareRenewal(leaseTerm, upstream)
	if renewal == nil {
		return false
	}
	if _, ok := leaseTerm.lease.Valid(); !ok {
		return true
	}
	ctx, cancel := clocker.WithTimeout(leaseTerm.ctx, dispatcher.Clock, renewalTimeout)
	defer cancel()
	var reply ControlReply
	var err error
	if renewal.checksGrants {
		reply, err = dispatcher.UpstreamClient.Grant(ctx, renewal.spec, renewal.grant)
	} else {
		reply, err = dispatcher.UpstreamClient.Probe(ctx, renewal.spec)
	}
	dispatcher.handleReply(leaseTerm, upstream, renewal, reply, err)
	return true
}

// prepareRenewal returns the next renewal, or nil if the lease term has ended
// or the upstream was removed.
func (dispatcher *Dispatcher) prepareRenewal(leaseTerm *leaseTerm, upstream *upstream) *renewal {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if dispatcher.leaseTerm != leaseTerm || dispatcher.upstreams[upstream.spec.Name] != upstream {
		return nil
	}
	renewal := upstream.buildRenewal(dispatcher.grantContentFor(upstream), &leaseTerm.grantSeq, dispatcher.Clock.Now())
	renewal.grant.Group, renewal.grant.Term = dispatcher.Group, leaseTerm.term
	renewal.spec, renewal.checksGrants = upstream.spec, dispatcher.service.ChecksGrants
	return renewal
}

// grantContentFor returns the content of the upstream's grant. It is cached
// until something changes, because a group may have 16384 shards.
func (dispatcher *Dispatcher) grantContentFor(upstream *upstream) *grantContent {
	owners, name, isLost := dispatcher.ownership, upstream.spec.Name, upstream.health == healthLost
	if cached := upstream.nextContent; cached != nil && cached.revision == owners.revision && cached.lost == isLost {
		return cached
	}
	content := &grantContent{revision: owners.revision, lost: isLost, covered: unitSet{}}
	if !isLost {
		content.covered = owners.claimGrantable(name, dispatcher.shardOf)
	}
	content.grant = owners.buildGrant(name, content.covered, dispatcher.shardOf)
	content.releasing = owners.unitsToRelease(name, content.covered)
	upstream.nextContent = content
	return content
}

// handleReply handles the reply to a renewal.
func (dispatcher *Dispatcher) handleReply(leaseTerm *leaseTerm, upstream *upstream, renewal *renewal, reply ControlReply, err error) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	var refused *GrantRefusedError
	if dispatcher.leaseTerm != leaseTerm || dispatcher.upstreams[upstream.spec.Name] != upstream {
		return // the term has ended or the upstream was removed meanwhile
	}
	if err != nil && !errors.As(err, &refused) {
		upstream.notListening = upstream.notListening || errors.Is(err, syscall.ECONNREFUSED)
		return
	}
	upstream.notListening = false
	now := dispatcher.Clock.Now()
	upstream.lastReply = now
	upstream.clock = clockReading{value: reply.Timestamp, sentAt: renewal.sentAt, receivedAt: now}
	if reply.Instance != "" && upstream.instance != "" && reply.Instance != upstream.instance {
		upstream.drainCauses.header = false
		dispatcher.declareLost(upstream, "restarted")
	}
	if reply.Instance != "" {
		upstream.instance = reply.Instance
	}
	upstream.drainCauses.notice = reply.Draining
	dispatcher.updateDrain(upstream)
	dispatcher.resolveFailures(upstream, renewal.sentAt)
	if refused != nil {
		handleRefusedRenewal(upstream, renewal, refused.Reason)
		return
	}
	if upstream.health == healthLost && len(leaseTerm.unreplicatedLosses) > 0 {
		return // the upstream is used again only once the losses are replicated
	}
	dispatcher.reconcileRunning(upstream, reply.Running, now)
	upstream.confirm(renewal)
	dispatcher.ownership.release(upstream.spec.Name, renewal.releasing)
	if len(renewal.releasing) > 0 {
		dispatcher.requestRenewals()
	}
	dispatcher.markUp(upstream, now)
	dispatcher.updateFenced(leaseTerm, now)
	dispatcher.retryParked(func(*call) bool { return true })
	dispatcher.startQueued(upstream)
	dispatcher.finishDrain(upstream)
}

// handleRefusedRenewal prepares the next renewal. It is sent immediately only
// if this cannot cause an endless loop.
func handleRefusedRenewal(upstream *upstream, renewal *renewal, reason Reason) {
	if reason == ReasonUnknownGrant {
		upstream.confirmedSeq, upstream.validUntil = 0, time.Time{}
	}
	if reason == ReasonGrantExpired && renewal.grant.Timestamp == 0 || reason == ReasonUnknownGrant && renewal.grant.Renew {
		upstream.requestRenewal()
	}
}

// markUp marks an upstream that has confirmed a grant as up. An upstream that
// was lost or that joined during the term is cold.
func (dispatcher *Dispatcher) markUp(upstream *upstream, now time.Time) {
	if upstream.health == healthUp {
		return
	}
	if upstream.health == healthLost || upstream.joinedDuringTerm {
		upstream.coldSince = now
	}
	dispatcher.recordEvent(timeliner.Event{Kind: "upstreamUp", Upstream: upstream.spec.Name, Detail: "was " + string(upstream.health)})
	upstream.health, upstream.joinedDuringTerm = healthUp, false
	upstream.requestRenewal()
	dispatcher.leaseTerm.requestPlan()
}

// reconcileRunning compares the requests that the upstream reports as running
// with those that are in flight. If the upstream was not up, the remaining ones
// are of a former holder or were cancelled: their slots and keys stay in use
// until the upstream no longer reports them.
func (dispatcher *Dispatcher) reconcileRunning(upstream *upstream, running []RunningRequest, now time.Time) {
	stillRunning := map[string]bool{}
	for _, request := range running {
		stillRunning[request.ID] = true
		if upstream.health != healthUp && request.ID != "" {
			dispatcher.addInherited(replicator.InFlight{
				ID: request.ID, Key: request.Key, Upstream: upstream.spec.Name, Remaining: request.Remaining,
			}, now)
			if inherited, ok := upstream.inherited[request.ID]; ok {
				inherited.reported = true
				upstream.inherited[request.ID] = inherited
			}
		}
	}
	upstream.applySlots()
	for id, inherited := range upstream.inherited {
		if inherited.reported && !stillRunning[id] {
			dispatcher.removeInherited(upstream, id)
		}
	}
}

// resolveFailures resolves the connection failures that the upstream has
// survived, which are those before the renewal with a reply was sent.
func (dispatcher *Dispatcher) resolveFailures(upstream *upstream, sent time.Time) {
	var unresolved []*connectionFailure
	for _, failure := range upstream.connectionFailures {
		if !failure.at.Before(sent) {
			unresolved = append(unresolved, failure)
			continue
		}
		failure.resolve(true)
	}
	upstream.connectionFailures = unresolved
}

// requestRenewals requests immediate renewals for all upstreams.
func (dispatcher *Dispatcher) requestRenewals() {
	for _, upstream := range dispatcher.upstreams {
		upstream.requestRenewal()
	}
}
