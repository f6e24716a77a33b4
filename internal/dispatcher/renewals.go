package dispatcher

import (
	"errors"
	"syscall"
	"time"

	"github.com/cuminstream/cuminstream/internal/replicator"
	"github.com/cuminstream/cuminstream/internal/timeliner"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// renewals keeps the grant of one upstream, and thereby learns whether the
// upstream answers. It ends with the tenure or when the upstream has left.
func (dispatcher *Dispatcher) renewals(tenure *tenure, name string) {
	known := dispatcher.claim(tenure, name)
	if known == nil {
		return
	}
	ticker := dispatcher.Clock.NewTicker(renewalPeriod)
	defer ticker.Stop()
	for {
		if !dispatcher.renew(tenure, known) {
			return
		}
		select {
		case <-tenure.ctx.Done():
			return
		case <-ticker.C():
		case <-known.kick:
		}
	}
}

// claim returns the upstream, or nil when its renewals are running already. Two
// renewals at once could release a place that the later one grants.
func (dispatcher *Dispatcher) claim(tenure *tenure, name string) *upstream {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	known := dispatcher.upstreams[name]
	if known == nil || known.renewing == tenure {
		return nil
	}
	known.renewing = tenure
	return known
}

// renew sends one renewal. It returns false when there is nothing to renew any
// more.
func (dispatcher *Dispatcher) renew(tenure *tenure, known *upstream) bool {
	renewal := dispatcher.nextRenewal(tenure, known)
	if renewal == nil {
		return false
	}
	if _, ok := tenure.lease.Valid(); !ok {
		return true
	}
	ctx, cancel := clocker.WithTimeout(tenure.ctx, dispatcher.Clock, renewalTimeout)
	defer cancel()
	var reply ControlReply
	var err error
	if renewal.checks {
		reply, err = dispatcher.UpstreamClient.Grant(ctx, renewal.spec, renewal.grant)
	} else {
		reply, err = dispatcher.UpstreamClient.Probe(ctx, renewal.spec)
	}
	dispatcher.renewed(tenure, known, renewal, reply, err)
	return true
}

func (dispatcher *Dispatcher) nextRenewal(tenure *tenure, known *upstream) *renewal {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if dispatcher.tenure != tenure || dispatcher.upstreams[known.spec.Name] != known {
		return nil
	}
	renewal := known.renew(dispatcher.grantTo(known), &tenure.seq, dispatcher.Clock.Now())
	renewal.grant.Group, renewal.grant.Term = dispatcher.Group, tenure.term
	renewal.spec, renewal.checks = known.spec, dispatcher.service.ChecksGrants
	return renewal
}

// grantTo returns what the upstream is granted. A group may have 16384 shards,
// so that the result is kept until something changes.
func (dispatcher *Dispatcher) grantTo(known *upstream) *granting {
	owners, name, isLost := dispatcher.ownership, known.spec.Name, known.health == lost
	if kept := known.granting; kept != nil && kept.revision == owners.revision && kept.lost == isLost {
		return kept
	}
	made := &granting{revision: owners.revision, lost: isLost, covered: content{}}
	if !isLost {
		made.covered = owners.grantable(name, dispatcher.shardOf)
	}
	made.full = owners.grant(name, made.covered, dispatcher.shardOf)
	made.releasing = owners.releasing(name, made.covered)
	known.granting = made
	return made
}

// renewed handles the answer to a renewal.
func (dispatcher *Dispatcher) renewed(tenure *tenure, known *upstream, renewal *renewal, reply ControlReply, err error) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	var refused *GrantRefusedError
	if dispatcher.tenure != tenure || dispatcher.upstreams[known.spec.Name] != known {
		return // given up, or removed meanwhile
	}
	if err != nil && !errors.As(err, &refused) {
		known.absent = known.absent || errors.Is(err, syscall.ECONNREFUSED)
		return
	}
	known.absent = false
	now := dispatcher.Clock.Now()
	known.lastAnswer = now
	known.stamp = stamp{value: reply.Timestamp, sent: renewal.sent, received: now}
	if reply.Instance != "" && known.instance != "" && reply.Instance != known.instance {
		known.causes.header = false
		dispatcher.lose(known, "restarted")
	}
	if reply.Instance != "" {
		known.instance = reply.Instance
	}
	known.causes.notice = reply.Draining
	dispatcher.checkDrain(known)
	dispatcher.survived(known, renewal.sent)
	if refused != nil {
		renewalRefused(known, renewal, refused.Reason)
		return
	}
	if known.health == lost && len(tenure.unsaved) > 0 {
		return // served again only once the losses are stored
	}
	dispatcher.reported(known, reply.Running, now)
	known.confirm(renewal)
	dispatcher.ownership.release(known.spec.Name, renewal.releasing)
	if len(renewal.releasing) > 0 {
		dispatcher.wakeAll()
	}
	dispatcher.rise(known, now)
	dispatcher.checkFence(tenure, now)
	dispatcher.unpark(func(*ticket) bool { return true })
	dispatcher.pump(known)
	dispatcher.noteDrained(known)
}

// renewalRefused prepares the next renewal. It is sent at once only where that
// cannot repeat without end.
func renewalRefused(known *upstream, renewal *renewal, reason Reason) {
	if reason == ReasonUnknownGrant {
		known.confirmedSeq, known.validUntil = 0, time.Time{}
	}
	if reason == ReasonGrantExpired && renewal.grant.Timestamp == 0 || reason == ReasonUnknownGrant && renewal.grant.Renew {
		known.wake()
	}
}

// rise notes that the upstream has confirmed a grant. One that was lost, or
// that joined during the tenure, is cold.
func (dispatcher *Dispatcher) rise(known *upstream, now time.Time) {
	if known.health == up {
		return
	}
	if known.health == lost || known.joined {
		known.coldSince = now
	}
	dispatcher.record(timeliner.Event{Kind: "upstreamUp", Upstream: known.spec.Name, Detail: "was " + string(known.health)})
	known.health, known.joined = up, false
	known.wake()
	dispatcher.tenure.wake()
}

// reported compares the requests that the upstream runs with those that are in
// flight. When the upstream begins to be served, the others are of a former
// holder or were cut: their slots and keys stay taken until they are not
// reported any more.
func (dispatcher *Dispatcher) reported(known *upstream, running []RunningRequest, now time.Time) {
	still := map[string]bool{}
	for _, request := range running {
		still[request.ID] = true
		if known.health != up && request.ID != "" {
			dispatcher.inherit(replicator.InFlight{
				ID: request.ID, Key: request.Key, Upstream: known.spec.Name, Remaining: request.Remaining,
			}, now)
			if inherited, ok := known.inherited[request.ID]; ok {
				inherited.reported = true
				known.inherited[request.ID] = inherited
			}
		}
	}
	known.applySlots()
	for id, inherited := range known.inherited {
		if inherited.reported && !still[id] {
			dispatcher.disinherit(known, id)
		}
	}
}

// survived decides the breakages that the upstream has outlived: those before
// the answered renewal was sent.
func (dispatcher *Dispatcher) survived(known *upstream, sent time.Time) {
	var open []*breakage
	for _, breakage := range known.broken {
		if !breakage.at.Before(sent) {
			open = append(open, breakage)
			continue
		}
		breakage.decide(true)
	}
	known.broken = open
}

func (dispatcher *Dispatcher) wakeAll() {
	for _, upstream := range dispatcher.upstreams {
		upstream.wake()
	}
}
