package allocator

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/cuminstream/cuminstream/internal/keeper"
	"github.com/cuminstream/cuminstream/internal/storer"
	"github.com/cuminstream/cuminstream/pkg/broker"
	"github.com/cuminstream/cuminstream/pkg/budgeter"
)

const (
	// claimBatchDelay is the wait before the next watch after a change of claims, so that
	// changes that come together take one call.
	claimBatchDelay = 20 * time.Millisecond
	// ledgerRefreshInterval is how often a VM that is not the broker reads the ledger, and
	// ledgerRefreshWithoutBroker how often it does while there is no reachable broker.
	ledgerRefreshInterval      = 20 * time.Second
	ledgerRefreshWithoutBroker = time.Second
	// brokerCheckInterval is how often the brokers of all services are checked.
	brokerCheckInterval = 100 * time.Millisecond
	// suspicionTimeout is how long a broker must have been lost before it is replaced.
	suspicionTimeout = 200 * time.Millisecond
	// candidateStagger is the added delay of each further candidate for a vacant
	// service, so that not all candidates write at once.
	candidateStagger = 50 * time.Millisecond
	// maxCandidateDelay bounds the delay when many candidates are registered.
	maxCandidateDelay = 500 * time.Millisecond
	// smallVMShare is the fraction of the largest registered VM's CPU share below which a
	// VM leaves a vacant service to larger VMs for smallVMDelay. That is the greatest
	// difference between the times at which VMs detect the loss of a broker: a report's
	// interval and timeout, less the wait of the first candidates.
	smallVMShare = 0.5
	smallVMDelay = reportInterval + reportTimeout - suspicionTimeout
	// initialClaimDelay lets VMs that start together register first, so that the brokers
	// are spread over them. It exceeds the interval at which the list of VMs is read.
	initialClaimDelay = 1300 * time.Millisecond
	// storeLossTimeout is how long a broker may be unable to reach the store, while other
	// VMs reach it, before one of them takes over: without the store it cannot move keys
	// and does not learn of draining upstreams.
	storeLossTimeout = 400 * time.Millisecond
	// formerBrokerTimeout bounds each call to a broker that is being replaced.
	formerBrokerTimeout = 400 * time.Millisecond
	// indirectProbes is the number of VMs that are asked whether they reach a broker that
	// this VM cannot reach.
	indirectProbes = 3
	// indirectProbeTimeout bounds each indirect probe.
	indirectProbeTimeout = 400 * time.Millisecond
	// staleRenewalWindow is how long a broker that does not know of its replacement may
	// continue to renew grants, until it learns of it from its watch or its peers.
	staleRenewalWindow = 9 * time.Second
)

// NewClaimFollower returns a follower of the claims in the store.
func (allocator *Allocator) NewClaimFollower() *storer.Follower {
	created := &storer.Follower{
		Store: allocator.Store, Kind: KindBrokers, Clock: allocator.Clock, Log: allocator.Log, WatchDelay: func() time.Duration { return claimBatchDelay },
		Relayed: allocator.claimsRelayed,
		OnList: func(objects []storer.Object) {
			for _, object := range objects {
				allocator.handleClaim(object)
			}
		},
		OnChanges: func(changes []storer.Change) {
			for _, change := range changes {
				if !change.Deleted {
					allocator.handleClaim(change.Object)
				}
			}
		},
	}
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	allocator.claimFollower = created
	return created
}

// handleClaim records a claim read from the store and applies it to its service.
func (allocator *Allocator) handleClaim(object storer.Object) {
	claim, err := decodeClaim(object)
	if err != nil {
		allocator.Log.Warn("invalid claim", "service", object.Name, "revision", object.Revision, "error", err.Error())
		return
	}
	allocator.observeEra(object.Era)
	allocator.mutex.Lock()
	if len(allocator.claims) == 0 {
		allocator.claimsSince = allocator.Clock.Now()
	}
	allocator.claims[object.Name] = claim
	service := allocator.services[object.Name]
	allocator.mutex.Unlock()
	if service != nil {
		service.applyClaim(claim)
	}
}

// applyClaim applies a newer claim. If it names another broker or another process, this
// process stops its work as broker.
func (service *service) applyClaim(claim storedClaim) {
	service.mutex.Lock()
	if !claim.version.After(service.claim.version) {
		service.mutex.Unlock()
		return
	}
	changed := service.claim.Broker != claim.Broker
	if service.claim.Term != claim.Term || service.claim.Broker != claim.Broker {
		service.claimSeenAt, service.vacantSince = service.allocator.Clock.Now(), time.Time{}
		service.allocator.Log.Info("broker changed", "service", service.name, "broker", claim.Broker, "term", claim.Term, "revision", claim.version)
	}
	service.known.Term = max(service.known.Term, claim.Term)
	if claim.precedes(service.claim.Claim) {
		// Another VM has reported a later broker, whose claim has not arrived yet, or the
		// store was restored from a copy without that claim.
		claim.Claim = service.claim.Claim
	}
	service.claim = claim
	superseded := service.leading && (claim.BootID != service.allocator.BootID || claim.Broker != service.allocator.VM)
	if superseded {
		service.leading = false
	}
	stop := service.stopKeeper
	service.mutex.Unlock()
	if changed {
		service.allocator.clearLost(claim.Broker)
	}
	if superseded {
		service.allocator.Log.Warn("this VM is no longer the broker", "service", service.name, "broker", claim.Broker, "term", claim.Term)
		if stop != nil {
			stop()
		}
	}
}

// Run ensures that every service has a broker, until stop is done. Then this VM resigns
// as broker. While the store is unreachable it remains the broker for up to StopTimeout.
func (allocator *Allocator) Run(stop context.Context) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	allocator.mutex.Lock()
	allocator.ctx = ctx
	allocator.mutex.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		defer cancel()
		select {
		case <-stop.Done():
			allocator.resign(ctx)
		case <-ctx.Done():
		}
		return nil
	})
	group.Go(func() error { return allocator.runPeriodically(ctx, brokerCheckInterval, allocator.checkBrokers) })
	group.Go(func() error { return allocator.runPeriodically(ctx, reportInterval, allocator.sendReports) })
	group.Go(func() error { return allocator.runPeriodically(ctx, wakeInterval, allocator.wakeWaiting) })
	group.Go(func() error { return allocator.runPeriodically(ctx, verifyInterval, allocator.verifyClaims) })
	return group.Wait()
}

// runPeriodically calls do at the interval until ctx is done.
func (allocator *Allocator) runPeriodically(ctx context.Context, interval time.Duration, do func(ctx context.Context)) error {
	ticker := allocator.Clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C():
			do(ctx)
		}
	}
}

// wakeWaiting dispatches queued requests whose upstream is no longer paused.
func (allocator *Allocator) wakeWaiting(context.Context) {
	for _, service := range allocator.allServices() {
		if service.broker.QueueLength() > 0 {
			service.broker.Redispatch()
		}
	}
}

// checkBrokers takes over services that have no broker or whose broker is lost, and
// starts the other work that is due for a service.
func (allocator *Allocator) checkBrokers(ctx context.Context) {
	allocator.observeFollowers()
	allocator.beginPolling()
	names := allocator.Members.VMs()
	members := make([]broker.Member, len(names))
	for i, name := range names {
		members[i] = broker.Member{Name: name, Zone: allocator.Members.Zone(name)}
	}
	for _, service := range allocator.allServices() {
		if !service.isBroker() {
			service.broker.SetLocalMode(allocator.VM, members)
		}
		service.broker.SetWarmupVMs(names)
		allocator.logWarmup(service)
		if service.beginLedgerFetch() {
			allocator.tasks.Go(func() error {
				service.fetchLedger(ctx)
				return nil
			})
		}
		if claim, ok := service.beginClearStaleRenewal(); ok {
			allocator.tasks.Go(func() error {
				service.clearStaleRenewal(ctx, claim)
				return nil
			})
		}
		if service.beginRewrite() {
			allocator.tasks.Go(func() error {
				service.rewrite(ctx)
				return nil
			})
		}
		if former, ok := service.beginClaim(); ok {
			allocator.tasks.Go(func() error {
				service.takeOver(ctx, former)
				return nil
			})
		}
	}
}

// beginClaim reports whether this VM should now take over as broker, and returns the
// claim that it would replace. If so, it sets claiming.
func (service *service) beginClaim() (former storedClaim, ok bool) {
	allocator, now := service.allocator, service.allocator.Clock.Now
	vm, term, since := service.otherBroker()
	allocator.mutex.Lock()
	stopping := allocator.stopping
	lostSince, disclaimed := time.Time{}, false
	if vm != "" {
		peer := allocator.peer(vm)
		if peer.lostSince.After(since) { // if lost earlier, it has written its claim since
			lostSince = peer.lostSince
		}
		ledTerm, ok := peer.ledTerms[service.name]
		// The VM answers but does not act as the broker that the claim names: it has
		// restarted, is stopping, or has lost the store.
		disclaimed = lostSince.IsZero() && peer.answeredAt.After(since.Add(reportInterval)) && !peer.answeredAt.IsZero() && (!ok || ledTerm < term || peer.storeLostFor > storeLossTimeout) && now().Sub(peer.answeredAt) < silenceTimeout
	}
	allocator.mutex.Unlock()
	era := allocator.storeEra()
	if allocator.storeLostFor() > 0 {
		return former, false // the claim could not be written
	}
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if service.leading || service.claiming || stopping || service.claim.Term != term || (vm != "" && service.claim.Broker != vm) {
		return former, false
	}
	switch {
	case vm != "" && lostSince.IsZero() && !disclaimed:
		service.vacantSince = time.Time{}
		return former, false
	case vm != "" && !disclaimed:
		service.vacantSince = lostSince.Add(suspicionTimeout)
	case service.vacantSince.IsZero():
		service.vacantSince = now()
	}
	delay := service.claimDelay(vm)
	if service.claim.version.IsZero() {
		delay += initialClaimDelay
	}
	if service.claim.isRestored(era) {
		delay += restoredClaimDelay
	}
	if now().Before(service.vacantSince.Add(delay)) {
		return former, false
	}
	service.claiming = true
	return service.claim, true
}

// otherBroker returns the VM that the claim names as broker, or "" if that is this VM,
// with the term and the time since which this VM has known it.
func (service *service) otherBroker() (vm string, term uint64, since time.Time) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if service.claim.Broker != service.allocator.VM {
		vm = service.claim.Broker
	}
	return vm, service.claim.Term, service.claimSeenAt
}

// claimDelay returns how long this VM waits for candidates that come before it. VMs with
// the largest CPU share come first, because a broker decides on all requests of its
// service. The order of equal VMs differs between services.
func (service *service) claimDelay(lost string) time.Duration {
	members, self := service.allocator.Members, service.allocator.VM
	weight := func(vm string) uint64 { return xxhash.Sum64String(service.name + "\x00" + vm) }
	ownShare, ownWeight := members.CPUShare(self), weight(self)
	before, largest, registered := 0, 0.0, false
	for _, vm := range members.VMs() {
		if vm == lost {
			continue
		}
		share := members.CPUShare(vm)
		largest = max(largest, share)
		switch {
		case vm == self:
			registered = true
		case share > ownShare, share == ownShare && weight(vm) > ownWeight:
			before++
		}
	}
	if !registered {
		return maxCandidateDelay + smallVMDelay
	}
	delay := min(time.Duration(before)*candidateStagger, maxCandidateDelay)
	if ownShare < smallVMShare*largest {
		delay += smallVMDelay
	}
	return delay
}

// takeOver makes this process the broker, unless other VMs can reach the broker that
// this VM cannot reach.
func (service *service) takeOver(ctx context.Context, former storedClaim) {
	allocator := service.allocator
	defer func() {
		service.mutex.Lock()
		service.claiming = false
		service.mutex.Unlock()
	}()
	if former.Broker != "" && former.Broker != allocator.VM && !allocator.isReachable(former.Broker) && allocator.reachableByOthers(ctx, former.Broker) {
		return
	}
	former, restored, ok := service.restoredFormer(ctx, former)
	if !ok {
		return
	}
	inherited, ended := staleRenewalWindow, false // brokers that nobody knows may renew as long
	if !restored {
		inherited, ended = service.probeFormerBroker(ctx, former)
	}
	next := Claim{Broker: allocator.VM, BootID: allocator.BootID, Term: service.nextTerm(former), Era: former.version.Era, StaleRenewalMs: inherited.Milliseconds()}
	if former.version.IsZero() {
		next.Era = allocator.storeEra()
	}
	version, ok := service.writeClaim(ctx, former, next)
	if !ok {
		return
	}
	service.setPendingTerm(next.Term)
	defer service.setPendingTerm(0)
	stale := inherited
	if !ended && former.Broker != "" && former.Broker != allocator.VM {
		stale, ended = service.demoteFormerBroker(ctx, former.Broker, next)
	}
	if restored {
		stale, ended = staleRenewalWindow, true // nothing proves an end of others
	}
	service.becomeBroker(storedClaim{next, version}, stale, former.Term > 0)
	if !ended {
		service.awaitFormerRestart(former, next.Term)
	}
}

// setPendingTerm records the term that this process has claimed but not started yet,
// because it still notifies the former broker; 0 for none.
func (service *service) setPendingTerm(term uint64) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.pendingTerm = term
}

// becomeBroker starts this process's term as broker. Earlier brokers may still renew
// grants for the given time. hadBroker is set if the service had one.
func (service *service) becomeBroker(claim storedClaim, stale time.Duration, hadBroker bool) {
	allocator := service.allocator
	allocator.mutex.Lock()
	ctx, upstreams, tunables := allocator.ctx, allocator.upstreams, allocator.tunables
	allocator.mutex.Unlock()
	service.broker.SetLocalMode(allocator.VM, nil)
	service.broker.SetRetryBudget(budgeter.New(allocator.Clock, tunables.retryWindow, tunables.retryRatio*brokerRetryShare, int(float64(tunables.retrySlack)*brokerRetryShare)))
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if claim.precedes(service.claim.Claim) {
		return // replaced before the term started
	}
	service.claim, service.claimSeenAt, service.leading = claim, allocator.Clock.Now(), true
	service.verifiedAt, service.acknowledgedAt = allocator.Clock.Now(), map[string]time.Time{}
	service.claimedAt, service.claimedIn, service.confirmed = service.verifiedAt, claim.Era, map[string]confirmation{}
	service.known.Term = max(service.known.Term, claim.Term)
	for _, follower := range allocator.Followers {
		follower.Relist()
	}
	allocator.Log.Info("this VM is the broker", "service", service.name, "term", claim.Term, "revision", claim.version)
	if !service.keyed {
		return
	}
	created := &keeper.Keeper{
		Service: service.name, BootID: allocator.BootID, Term: claim.Term, Clock: allocator.Clock, Store: allocator.Store,
		Granter: allocator.Granter, Broker: service.broker, Log: allocator.Log, MaxGrantTTL: tunables.maxGrantTTL, StaleRenewals: stale,
		OnLedgerWritten: service.setLedger, Authority: service, RestoredRenewals: staleRenewalWindow, AfterRestore: hadBroker, Known: service.ledger,
	}
	created.Init()
	created.SetUpstreams(upstreams)
	ctx, service.stopKeeper = context.WithCancel(ctx)
	service.keeper = created
	stopped := make(chan struct{})
	service.keeperStopped = stopped
	allocator.tasks.Go(func() error {
		defer close(stopped)
		err := created.Run(ctx)
		service.mutex.Lock()
		defer service.mutex.Unlock()
		if service.keeper == created && service.leading {
			service.leading = false
		}
		if err != nil && !errors.Is(err, keeper.ErrReplaced) {
			return err
		}
		return nil
	})
}

// brokerRetryShare is the share of the retry budget that brokers hand out. The rest is
// for VMs that cannot reach a broker.
const brokerRetryShare = 0.7
