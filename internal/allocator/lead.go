package allocator

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/cuminstream/cuminstream/internal/keeper"
	"github.com/cuminstream/cuminstream/internal/storer"
	"github.com/cuminstream/cuminstream/pkg/budgeter"
)

const (
	// claimBatchDelay is the wait after changes of claims, which come together.
	claimBatchDelay = 20 * time.Millisecond
	// ledgerRefreshInterval is the age at which a VM that is not the broker reads the
	// ledger again, and lostLedgerInterval the one while there is no broker.
	ledgerRefreshInterval      = 20 * time.Second
	ledgerRefreshWithoutBroker = time.Second
	// brokerCheckInterval is the time between two looks at the brokers.
	brokerCheckInterval = 100 * time.Millisecond
	// suspicionTimeout is how long a broker must be silent before it is replaced.
	suspicionTimeout = 200 * time.Millisecond
	// candidateStagger is the delay of each further candidate for a vacant service, so
	// that they do not all write at once.
	candidateStagger = 50 * time.Millisecond
	// maxCandidateDelay bounds the delay when many candidates are registered.
	maxCandidateDelay = 500 * time.Millisecond
	// smallVMShare is the share of the largest registered VM's processor below which
	// a VM leaves services to larger ones for weakDelay. That is the longest time
	// by which VMs differ in noticing that a broker is lost: a report's interval
	// and its timeout, less what the first candidates wait themselves.
	smallVMShare = 0.5
	smallVMDelay = reportInterval + reportTimeout - suspicionTimeout
	// initialClaimDelay lets VMs that start together register, so that the services
	// are spread over them. It is above the pause between two looks at the list.
	initialClaimDelay = 1300 * time.Millisecond
	// storeLossTimeout is how long a broker may be without the store, while other VMs
	// reach it, before one of them takes its place: it cannot move keys and does
	// not hear of upstreams that leave.
	storeLossTimeout = 400 * time.Millisecond
	// formerBrokerTimeout bounds the call that tells a broker that it is replaced.
	formerBrokerTimeout = 400 * time.Millisecond
	// indirectProbes is the number of VMs that are asked whether they hear a broker
	// that this VM does not hear.
	indirectProbes = 3
	// indirectProbeTimeout bounds the question to a witness.
	indirectProbeTimeout = 400 * time.Millisecond
	// staleRenewalWindow is how long a broker that has been replaced without noticing
	// it may go on renewing grants: until its watch or its peers tell it.
	staleRenewalWindow = 9 * time.Second
)

// NewClaimFollower returns a follower that keeps the brokers' claims up to date.
func (allocator *Allocator) NewClaimFollower() *storer.Follower {
	return &storer.Follower{
		Store: allocator.Store, Kind: KindBrokers, Clock: allocator.Clock, Log: allocator.Log, WatchDelay: func() time.Duration { return claimBatchDelay },
		Relayed: allocator.claimsRelayed,
		OnList: func(objects []storer.Object) {
			for _, object := range objects {
				allocator.handleClaim(object)
			}
		},
		OnChange: func(change storer.Change) {
			if !change.Deleted {
				allocator.handleClaim(change.Object)
			}
		},
	}
}

// handleClaim takes note of a claim in the store.
func (allocator *Allocator) handleClaim(object storer.Object) {
	claim, err := decodeClaim(object)
	if err != nil {
		allocator.Log.Warn("claim is not usable", "service", object.Name, "revision", object.Revision, "error", err.Error())
		return
	}
	allocator.mutex.Lock()
	allocator.claims[object.Name] = claim
	service := allocator.services[object.Name]
	allocator.mutex.Unlock()
	if service != nil {
		service.applyClaim(claim)
	}
}

// applyClaim takes over a newer claim. A process that led in an earlier term stops.
func (service *service) applyClaim(claim storedClaim) {
	service.mutex.Lock()
	if claim.revision <= service.claim.revision {
		service.mutex.Unlock()
		return
	}
	changed := service.claim.Broker != claim.Broker
	if service.claim.Term != claim.Term || service.claim.Broker != claim.Broker {
		service.claimSeenAt, service.vacantSince = service.allocator.Clock.Now(), time.Time{}
		service.allocator.Log.Info("broker changed", "service", service.name, "broker", claim.Broker, "term", claim.Term, "revision", claim.revision)
	}
	if claim.Term < service.claim.Term {
		// Another VM has told of a later broker; its claim will follow.
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

// Run keeps a broker for every service, until ctx is done. Then it resigns, which
// may take up to StopTimeout while the store is away: until then this VM goes on as
// the broker.
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

// wakeWaiting looks for requests whose upstream is no longer paused.
func (allocator *Allocator) wakeWaiting(context.Context) {
	for _, service := range allocator.allServices() {
		if service.broker.QueueLength() > 0 {
			service.broker.Redispatch()
		}
	}
}

// checkBrokers claims services that have no broker, or whose broker is lost.
func (allocator *Allocator) checkBrokers(ctx context.Context) {
	vms := len(allocator.Members.VMs())
	for _, service := range allocator.allServices() {
		if !service.isBroker() {
			service.broker.SetLocalMode(allocator.VM, vms)
		}
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
		if former, ok := service.beginClaim(); ok {
			allocator.tasks.Go(func() error {
				service.takeOver(ctx, former)
				return nil
			})
		}
	}
}

// beginClaim reports whether it is this VM's turn to become the broker, and
// returns the claim that it would replace.
func (service *service) beginClaim() (former storedClaim, ok bool) {
	allocator, now := service.allocator, service.allocator.Clock.Now
	vm, term, since := service.otherBroker()
	allocator.mutex.Lock()
	stopping := allocator.stopping
	lostSince, disclaimed := time.Time{}, false
	if vm != "" {
		peer := allocator.peer(vm)
		if peer.lostSince.After(since) { // before, it has written its claim
			lostSince = peer.lostSince
		}
		leads, ok := peer.ledTerms[service.name]
		// The VM answers, but is not the broker that the ledger names: it has
		// restarted or is stopping.
		disclaimed = lostSince.IsZero() && peer.answeredAt.After(since.Add(reportInterval)) && !peer.answeredAt.IsZero() && (!ok || leads < term || peer.storeLostFor > storeLossTimeout) && now().Sub(peer.answeredAt) < silenceTimeout
	}
	allocator.mutex.Unlock()
	if allocator.storeLostFor() > 0 {
		return former, false // the claim could not be written
	}
	delay := service.claimDelay(vm)
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
	if service.claim.revision == 0 {
		delay += initialClaimDelay
	}
	if now().Before(service.vacantSince.Add(delay)) {
		return former, false
	}
	service.claiming = true
	return service.claim, true
}

// otherBroker returns the other VM that the claim names as broker, or "", and since
// when this VM knows the claim.
func (service *service) otherBroker() (vm string, term uint64, since time.Time) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if service.claim.Broker != service.allocator.VM {
		vm = service.claim.Broker
	}
	return vm, service.claim.Term, service.claimSeenAt
}

// claimDelay returns how long this VM leaves the claim to others that come before it.
// The VMs with most processor come first, because a broker decides on all requests
// of its service; the order among equals differs between services.
func (service *service) claimDelay(lost string) time.Duration {
	members := service.allocator.Members
	candidates := slices.DeleteFunc(members.VMs(), func(vm string) bool { return vm == lost })
	weight := func(vm string) uint64 { return xxhash.Sum64String(service.name + "\x00" + vm) }
	slices.SortFunc(candidates, func(a, b string) int {
		return cmp.Or(cmp.Compare(members.CPUShare(b), members.CPUShare(a)), cmp.Compare(weight(b), weight(a)))
	})
	position := slices.Index(candidates, service.allocator.VM)
	if position < 0 {
		return maxCandidateDelay + smallVMDelay
	}
	delay := min(time.Duration(position)*candidateStagger, maxCandidateDelay)
	if members.CPUShare(service.allocator.VM) < smallVMShare*members.CPUShare(candidates[0]) {
		delay += smallVMDelay
	}
	return delay
}

// takeOver makes this process the broker, unless the broker that it cannot hear is
// heard by others.
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
	inherited, ended := service.probeFormerBroker(ctx, former)
	next := Claim{Broker: allocator.VM, BootID: allocator.BootID, Term: former.Term + 1, StaleRenewalMs: inherited.Milliseconds()}
	revision, ok := service.writeClaim(ctx, former, next)
	if !ok {
		return
	}
	service.setPendingTerm(next.Term)
	defer service.setPendingTerm(0)
	stale := inherited
	if !ended {
		stale, ended = service.demoteFormerBroker(ctx, former.Broker, next.Term)
	}
	service.becomeBroker(storedClaim{next, revision}, stale)
	if !ended {
		service.awaitFormerRestart(former, next.Term)
	}
}

// setPendingTerm records the term that this process has claimed and does not lead in yet,
// because it still tells the former broker; 0 for none.
func (service *service) setPendingTerm(term uint64) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.pendingTerm = term
}

// writeClaim writes the claim. After an answer was lost it reads the claim back,
// because the write may have taken effect.
func (service *service) writeClaim(ctx context.Context, former storedClaim, next Claim) (revision uint64, ok bool) {
	allocator := service.allocator
	var object storer.Object
	var err error
	if former.revision == 0 {
		object, err = allocator.Store.Create(ctx, KindBrokers, service.name, next)
	} else {
		object, err = allocator.Store.Replace(ctx, KindBrokers, service.name, former.revision, next)
	}
	if err == nil {
		return object.Revision, true
	}
	if storer.HasCurrentObject(object, err) {
		err = nil
	} else if !errors.Is(err, storer.ErrRefused) {
		object, err = allocator.Store.Get(ctx, KindBrokers, service.name)
	}
	if err != nil {
		allocator.Log.Info("claim of a service failed", "service", service.name, "error", err.Error())
		return 0, false
	}
	stored, err := decodeClaim(object)
	if err == nil && stored.Claim == next {
		return object.Revision, true
	}
	allocator.handleClaim(object)
	return 0, false
}

// becomeBroker starts the work of a broker.
func (service *service) becomeBroker(claim storedClaim, stale time.Duration) {
	allocator := service.allocator
	allocator.mutex.Lock()
	ctx, upstreams, tunables := allocator.ctx, allocator.upstreams, allocator.tunables
	allocator.mutex.Unlock()
	service.broker.SetLocalMode(allocator.VM, 1)
	service.broker.SetRetryBudget(budgeter.New(allocator.Clock, tunables.retryWindow, tunables.retryRatio*brokerRetryShare, int(float64(tunables.retrySlack)*brokerRetryShare)))
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if service.claim.Term > claim.Term {
		return // replaced before it began
	}
	service.claim, service.claimSeenAt, service.leading = claim, allocator.Clock.Now(), true
	service.verifiedAt, service.acknowledgedAt = allocator.Clock.Now(), map[string]time.Time{}
	for _, follower := range allocator.Followers {
		follower.Relist()
	}
	allocator.Log.Info("this VM is the broker", "service", service.name, "term", claim.Term, "revision", claim.revision)
	if !service.keyed {
		return
	}
	created := &keeper.Keeper{
		Service: service.name, BootID: allocator.BootID, Term: claim.Term, Clock: allocator.Clock, Store: allocator.Store,
		Granter: allocator.Granter, Broker: service.broker, Log: allocator.Log, MaxGrantTTL: tunables.maxGrantTTL, StaleRenewals: stale,
		OnLedgerWritten: service.setLedger, Authority: service,
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

// brokerRetryShare is the part of the allowed repeats that brokers give out. The rest
// is for VMs that cannot ask.
const brokerRetryShare = 0.7
