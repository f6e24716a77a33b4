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
	// claimPause is the wait after changes of claims, which come together.
	claimPause = 20 * time.Millisecond
	// ledgerInterval is the age at which a VM that is not the broker reads the
	// ledger again, and lostLedgerInterval the one while there is no broker.
	ledgerInterval     = 20 * time.Second
	lostLedgerInterval = time.Second
	// tendInterval is the time between two looks at the brokers.
	tendInterval = 100 * time.Millisecond
	// suspicion is how long a broker must be silent before it is replaced.
	suspicion = 200 * time.Millisecond
	// stagger is the delay of each further candidate for a vacant service, so
	// that they do not all write at once.
	stagger = 50 * time.Millisecond
	// maxStagger bounds the delay when many candidates are registered.
	maxStagger = 500 * time.Millisecond
	// weakShare is the share of the largest registered VM's processor below which
	// a VM leaves services to larger ones for weakDelay. That is the longest time
	// by which VMs differ in noticing that a broker is lost: a report's interval
	// and its timeout, less what the first candidates wait themselves.
	weakShare = 0.5
	weakDelay = reportInterval + reportTimeout - suspicion
	// firstClaimWait lets VMs that start together register, so that the services
	// are spread over them. It is above the pause between two looks at the list.
	firstClaimWait = 1300 * time.Millisecond
	// withoutStore is how long a broker may be without the store, while other VMs
	// reach it, before one of them takes its place: it cannot move keys and does
	// not hear of upstreams that leave.
	withoutStore = 400 * time.Millisecond
	// deposeTimeout bounds the call that tells a broker that it is replaced.
	deposeTimeout = 400 * time.Millisecond
	// witnesses is the number of VMs that are asked whether they hear a broker
	// that this VM does not hear.
	witnesses = 3
	// hearsTimeout bounds the question to a witness.
	hearsTimeout = 400 * time.Millisecond
	// staleRenewals is how long a broker that has been replaced without noticing
	// it may go on renewing grants: until its watch or its peers tell it.
	staleRenewals = 9 * time.Second
)

// NewClaimFollower returns a follower that keeps the brokers' claims up to date.
func (allocator *Allocator) NewClaimFollower() *storer.Follower {
	return &storer.Follower{
		Store: allocator.Store, Kind: KindBrokers, Clock: allocator.Clock, Log: allocator.Log, WatchDelay: func() time.Duration { return claimPause },
		Relayed: allocator.relayedClaims,
		OnList: func(objects []storer.Object) {
			for _, object := range objects {
				allocator.see(object)
			}
		},
		OnChange: func(change storer.Change) {
			if !change.Deleted {
				allocator.see(change.Object)
			}
		},
	}
}

// see takes note of a claim in the store.
func (allocator *Allocator) see(object storer.Object) {
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
		service.see(claim)
	}
}

// see takes over a newer claim. A process that led in an earlier term stops.
func (service *service) see(claim storedClaim) {
	service.mutex.Lock()
	if claim.revision <= service.claim.revision {
		service.mutex.Unlock()
		return
	}
	changed := service.claim.Broker != claim.Broker
	if service.claim.Term != claim.Term || service.claim.Broker != claim.Broker {
		service.claimSeen, service.vacant = service.allocator.Clock.Now(), time.Time{}
		service.allocator.Log.Info("broker changed", "service", service.name, "broker", claim.Broker, "term", claim.Term, "revision", claim.revision)
	}
	if claim.Term < service.claim.Term {
		// Another VM has told of a later broker; its claim will follow.
		claim.Claim = service.claim.Claim
	}
	service.claim = claim
	deposed := service.leading && (claim.Boot != service.allocator.Boot || claim.Broker != service.allocator.VM)
	if deposed {
		service.leading = false
	}
	stop := service.stop
	service.mutex.Unlock()
	if changed {
		service.allocator.greet(claim.Broker)
	}
	if deposed {
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
	group.Go(func() error { return allocator.every(ctx, tendInterval, allocator.tend) })
	group.Go(func() error { return allocator.every(ctx, reportInterval, allocator.report) })
	group.Go(func() error { return allocator.every(ctx, wakeInterval, allocator.wake) })
	group.Go(func() error { return allocator.every(ctx, verifyInterval, allocator.verify) })
	return group.Wait()
}

func (allocator *Allocator) every(ctx context.Context, interval time.Duration, act func(ctx context.Context)) error {
	ticker := allocator.Clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C():
			act(ctx)
		}
	}
}

// wake looks for requests whose upstream is no longer paused.
func (allocator *Allocator) wake(context.Context) {
	for _, service := range allocator.all() {
		if service.broker.QueueLength() > 0 {
			service.broker.Redispatch()
		}
	}
}

// tend claims services that have no broker, or whose broker is lost.
func (allocator *Allocator) tend(ctx context.Context) {
	vms := len(allocator.Members.VMs())
	for _, service := range allocator.all() {
		if !service.mine() {
			service.broker.SetLocalMode(allocator.VM, vms)
		}
		if service.needsLedger() {
			allocator.group.Go(func() error {
				service.fetchLedger(ctx)
				return nil
			})
		}
		if claim, ok := service.outlived(); ok {
			allocator.group.Go(func() error {
				service.clearExposed(ctx, claim)
				return nil
			})
		}
		if former, ok := service.claimable(); ok {
			allocator.group.Go(func() error {
				service.take(ctx, former)
				return nil
			})
		}
	}
}

// claimable reports whether it is this VM's turn to become the broker, and
// returns the claim that it would replace.
func (service *service) claimable() (former storedClaim, ok bool) {
	allocator, now := service.allocator, service.allocator.Clock.Now
	vm, term, since := service.recorded()
	allocator.mutex.Lock()
	stopping := allocator.stopping
	lostSince, denied := time.Time{}, false
	if vm != "" {
		peer := allocator.peer(vm)
		if peer.lostSince.After(since) { // before, it has written its claim
			lostSince = peer.lostSince
		}
		leads, ok := peer.leads[service.name]
		// The VM answers, but is not the broker that the ledger names: it has
		// restarted or is stopping.
		denied = lostSince.IsZero() && peer.said.After(since.Add(reportInterval)) && !peer.said.IsZero() && (!ok || leads < term || peer.storeLost > withoutStore) && now().Sub(peer.said) < silentVM
	}
	allocator.mutex.Unlock()
	if allocator.storeLost() > 0 {
		return former, false // the claim could not be written
	}
	turn := service.turn(vm)
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if service.leading || service.claiming || stopping || service.claim.Term != term || (vm != "" && service.claim.Broker != vm) {
		return former, false
	}
	switch {
	case vm != "" && lostSince.IsZero() && !denied:
		service.vacant = time.Time{}
		return former, false
	case vm != "" && !denied:
		service.vacant = lostSince.Add(suspicion)
	case service.vacant.IsZero():
		service.vacant = now()
	}
	if service.claim.revision == 0 {
		turn += firstClaimWait
	}
	if now().Before(service.vacant.Add(turn)) {
		return former, false
	}
	service.claiming = true
	return service.claim, true
}

// recorded returns the other VM that the claim names as broker, or "", and since
// when this VM knows the claim.
func (service *service) recorded() (vm string, term uint64, since time.Time) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if service.claim.Broker != service.allocator.VM {
		vm = service.claim.Broker
	}
	return vm, service.claim.Term, service.claimSeen
}

// turn returns how long this VM leaves the claim to others that come before it.
// The VMs with most processor come first, because a broker decides on all requests
// of its service; the order among equals differs between services.
func (service *service) turn(lost string) time.Duration {
	members := service.allocator.Members
	candidates := slices.DeleteFunc(members.VMs(), func(vm string) bool { return vm == lost })
	weight := func(vm string) uint64 { return xxhash.Sum64String(service.name + "\x00" + vm) }
	slices.SortFunc(candidates, func(a, b string) int {
		return cmp.Or(cmp.Compare(members.CPUShare(b), members.CPUShare(a)), cmp.Compare(weight(b), weight(a)))
	})
	position := slices.Index(candidates, service.allocator.VM)
	if position < 0 {
		return maxStagger + weakDelay
	}
	delay := min(time.Duration(position)*stagger, maxStagger)
	if members.CPUShare(service.allocator.VM) < weakShare*members.CPUShare(candidates[0]) {
		delay += weakDelay
	}
	return delay
}

// take makes this process the broker, unless the broker that it cannot hear is
// heard by others.
func (service *service) take(ctx context.Context, former storedClaim) {
	allocator := service.allocator
	defer func() {
		service.mutex.Lock()
		service.claiming = false
		service.mutex.Unlock()
	}()
	if former.Broker != "" && former.Broker != allocator.VM && !allocator.answers(former.Broker) && allocator.heardByOthers(ctx, former.Broker) {
		return
	}
	inherited, ended := service.inherited(ctx, former)
	next := Claim{Broker: allocator.VM, Boot: allocator.Boot, Term: former.Term + 1, StaleRenewalMs: inherited.Milliseconds()}
	revision, ok := service.writeClaim(ctx, former, next)
	if !ok {
		return
	}
	service.assume(next.Term)
	defer service.assume(0)
	stale := inherited
	if !ended {
		stale, ended = service.deposeOther(ctx, former.Broker, next.Term)
	}
	service.lead(storedClaim{next, revision}, stale)
	if !ended {
		service.awaitRestart(former, next.Term)
	}
}

// assume records the term that this process has claimed and does not lead in yet,
// because it still tells the former broker; 0 for none.
func (service *service) assume(term uint64) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.assumed = term
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
	allocator.see(object)
	return 0, false
}

// lead starts the work of a broker.
func (service *service) lead(claim storedClaim, stale time.Duration) {
	allocator := service.allocator
	allocator.mutex.Lock()
	ctx, upstreams, tunables := allocator.ctx, allocator.upstreams, allocator.tunables
	allocator.mutex.Unlock()
	service.broker.SetLocalMode(allocator.VM, 1)
	service.broker.SetRetryBudget(budgeter.New(allocator.Clock, tunables.retryWindow, tunables.retryRatio*budgetShare, int(float64(tunables.retrySlack)*budgetShare)))
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if service.claim.Term > claim.Term {
		return // replaced before it began
	}
	service.claim, service.claimSeen, service.leading = claim, allocator.Clock.Now(), true
	service.verified, service.followers = allocator.Clock.Now(), map[string]time.Time{}
	for _, follower := range allocator.Followers {
		follower.Relist()
	}
	allocator.Log.Info("this VM is the broker", "service", service.name, "term", claim.Term, "revision", claim.revision)
	if !service.keyed {
		return
	}
	created := &keeper.Keeper{
		Service: service.name, BootID: allocator.Boot, Term: claim.Term, Clock: allocator.Clock, Store: allocator.Store,
		Granter: allocator.Granter, Broker: service.broker, Log: allocator.Log, MaxGrantTTL: tunables.maxHold, StaleRenewals: stale,
		OnLedgerWritten: service.written, Authority: service,
	}
	created.Init()
	created.SetUpstreams(upstreams)
	ctx, service.stop = context.WithCancel(ctx)
	service.keeper = created
	stopped := make(chan struct{})
	service.stopped = stopped
	allocator.group.Go(func() error {
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

// budgetShare is the part of the allowed repeats that brokers give out. The rest
// is for VMs that cannot ask.
const budgetShare = 0.7
