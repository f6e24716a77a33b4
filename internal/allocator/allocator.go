package allocator

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cuminstream/cuminstream/internal/courier"
	"github.com/cuminstream/cuminstream/internal/keeper"
	"github.com/cuminstream/cuminstream/internal/linker"
	"github.com/cuminstream/cuminstream/internal/sender"
	"github.com/cuminstream/cuminstream/internal/storer"
	"github.com/cuminstream/cuminstream/pkg/avoider"
	"github.com/cuminstream/cuminstream/pkg/broker"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/matcher"
)

// Peers calls other VMs.
type Peers interface {
	Call(ctx context.Context, vm, method string, body, answer any) error
	// Drop closes all links to the VM, which ends the calls on them.
	Drop(vm string)
}

// Members lists the VMs of the system.
type Members interface {
	// VMs returns the names of all registered VMs. The slice must not be changed.
	VMs() []string
	// CPUShare returns the CPU share of a VM, in cores.
	CPUShare(vm string) float64
}

// Allocator acquires slots for the requests of this VM, and assigns them for all VMs
// where this VM is the broker. The exported fields must be set before its first use.
type Allocator struct {
	VM      string
	Zone    string
	BootID  string // unique ID of this process
	Clock   clocker.Clock
	Log     *slog.Logger
	Store   storer.Store
	Peers   Peers
	Members Members
	Granter keeper.Granter
	// MaxStaleness bounds for how long a change in the store may be unknown to this VM
	// while it reaches the store or a broker that does.
	MaxStaleness time.Duration
	// StopTimeout bounds how long a shutdown waits for the store to answer. Until it
	// does, no other VM can take over.
	StopTimeout time.Duration
	// AwaitsFirstReports, set only at the first start of the whole system, reports whether
	// this VM leaves the store to the VMs that become brokers.
	AwaitsFirstReports func() bool
	// Followers receive the changes in the store that brokers relay, and learn from the
	// revisions of other VMs when they are behind. Their order is the same on all VMs.
	Followers []*storer.Follower

	// notices are what upstreams have said of themselves in responses to this VM, or, if they
	// are leaving, to VMs that have told this one.
	notices avoider.Avoider
	// updateMutex keeps updates of the list of upstreams in order. It is locked before
	// mutex.
	updateMutex sync.Mutex

	mutex         sync.Mutex
	tunables      tunables
	drainingSince map[incarnation]time.Time // since when upstreams are draining or removed
	storeKnownAt  time.Time                 // when a broker that reaches the store last answered a report
	services      map[string]*service
	claims        map[string]storedClaim
	claimsSince   time.Time         // when this VM learned of the first claim; zero before
	registered    []broker.Upstream // as listed in the store
	upstreams     []broker.Upstream // those of registered whose service a configuration has defined
	polling       bool              // what ShouldPoll reported last
	peers         map[string]*peer
	stopping      bool
	// claimReadsFailingSince is when reads of this VM's own claims began to fail; zero
	// while they succeed.
	claimReadsFailingSince time.Time
	tasks                  errgroup.Group
	ctx                    context.Context // of Run
}

// peer is the state of another VM as this VM knows it.
type peer struct {
	lastHeard time.Time // of its last report or answer to a report
	lostSince time.Time // zero while it answers reports
	reporting bool      // a report to it is in progress

	// From its last answer to a report:
	ledTerms     map[string]uint64 // its terms as broker, by service
	answeredAt   time.Time
	storeLostFor time.Duration // for how long it could not reach the store
	listAge      time.Duration // age of its lists of the store; 0 when it does not poll
}

const (
	// reportInterval is the interval of reports to each broker.
	reportInterval = 400 * time.Millisecond
	// reportTimeout bounds a report. A broker that does not answer in time counts as
	// lost, and this VM assigns slots itself.
	reportTimeout = 600 * time.Millisecond
	// silenceTimeout is the time without a report after which the slots that a VM
	// holds are released.
	silenceTimeout = 1800 * time.Millisecond
	// releaseTimeout bounds the call that releases a slot at its broker.
	releaseTimeout = time.Second
	// wakeInterval is how often queued requests are checked for upstreams that are no
	// longer paused.
	wakeInterval = 25 * time.Millisecond
	// localRetryShare is the share of the retry budget that a VM may use while it cannot
	// reach the broker, and localRetrySlack the number of retries that it may always make.
	localRetryShare = 0.2
	localRetrySlack = 1
	// drainingRetention is how long a removed upstream stays in drainingSince.
	drainingRetention = time.Minute
	// drainMargin is the last part of an upstream's drain period, in which it is sent no
	// more requests. It covers a connection attempt (0.5 s) and the transit of the
	// request. Brokers move the upstream's keys within half a second.
	drainMargin = 1500 * time.Millisecond
	// drainedRetryAfter is the retry hint to callers whose slot was at an upstream that
	// has drained.
	drainedRetryAfter = 400 * time.Millisecond
)

// tunables are the settings that can change at run time.
type tunables struct {
	retryWindow time.Duration
	retryRatio  float64
	retrySlack  int
	maxGrantTTL time.Duration
	drainPeriod time.Duration
}

// Tune sets the retry budget of each service, the longest time for which keys can be
// granted, and how long draining upstreams continue to serve. A broker applies the
// retry budget from its next term on.
func (allocator *Allocator) Tune(retryWindow time.Duration, retryRatio float64, retrySlack int, maxGrantTTL, drainPeriod time.Duration) {
	allocator.mutex.Lock()
	allocator.tunables = tunables{retryWindow, retryRatio, retrySlack, maxGrantTTL, drainPeriod}
	services := slices.Collect(maps.Values(allocator.services))
	allocator.mutex.Unlock()
	for _, service := range services {
		service.mutex.Lock()
		keeper := service.keeper
		service.mutex.Unlock()
		if keeper != nil {
			keeper.SetMaxGrantTTL(maxGrantTTL)
		}
	}
}

// Init registers the handlers of calls from other VMs. It must be called before the
// first link is opened.
func (allocator *Allocator) Init(server linker.Registrar) {
	allocator.notices.Clock = allocator.Clock
	allocator.services = map[string]*service{}
	allocator.claims = map[string]storedClaim{}
	allocator.peers = map[string]*peer{}
	server.Handle(callAcquire, allocator.handleAcquire)
	server.Handle(callRelease, allocator.handleRelease)
	server.Handle(callReport, allocator.handleReport)
	server.Handle(callReachable, allocator.handleReachable)
	server.Handle(callStepDown, allocator.handleStepDown)
	server.Handle(callStatus, allocator.handleStatus)
}

// AddServices adds the services of a configuration that are not known yet.
func (allocator *Allocator) AddServices(config *matcher.Config) {
	allocator.updateMutex.Lock()
	defer allocator.updateMutex.Unlock()
	allocator.mutex.Lock()
	added := false
	for name, definition := range config.Services {
		if allocator.services[name] == nil {
			allocator.services[name] = allocator.newService(name, definition.Keyed)
			added = true
		}
	}
	registered := allocator.registered
	allocator.mutex.Unlock()
	if added {
		allocator.applyUpstreams(registered)
	}
}

// SetUpstreams replaces the list of upstreams. Upstreams of services that no
// configuration has defined are not used: their entries may come from another writer,
// and their addresses prove nothing.
func (allocator *Allocator) SetUpstreams(registered []broker.Upstream) {
	allocator.updateMutex.Lock()
	defer allocator.updateMutex.Unlock()
	allocator.applyUpstreams(registered)
}

// applyUpstreams passes the upstreams of known services on to all services. The
// updateMutex must be held.
func (allocator *Allocator) applyUpstreams(registered []broker.Upstream) {
	allocator.notices.SetRegistered(registered)
	allocator.mutex.Lock()
	upstreams := allocator.ofKnownServices(registered)
	allocator.updateDraining(upstreams)
	allocator.registered, allocator.upstreams = registered, upstreams
	services := slices.Collect(maps.Values(allocator.services))
	allocator.mutex.Unlock()
	for _, service := range services {
		service.setUpstreams(upstreams)
	}
}

// ofKnownServices returns the upstreams whose service a configuration has defined. Those
// that have said that they are leaving count as draining. The mutex must be held.
func (allocator *Allocator) ofKnownServices(registered []broker.Upstream) []broker.Upstream {
	upstreams := make([]broker.Upstream, 0, len(registered))
	for _, upstream := range registered {
		if allocator.services[upstream.Service] != nil {
			if _, leaving := allocator.notices.LeavingSince(upstream); leaving {
				upstream.Draining = true
			}
			upstreams = append(upstreams, upstream)
		}
	}
	return upstreams
}

// updateDraining records since when upstreams may have been draining or removed. The
// mutex must be held.
func (allocator *Allocator) updateDraining(upstreams []broker.Upstream) {
	// The drain may have begun at any time since the last news from the store.
	now := allocator.Clock.Now()
	if !allocator.storeKnownAt.IsZero() && now.Sub(allocator.storeKnownAt) < drainingRetention {
		now = allocator.storeKnownAt
	}
	updated := map[incarnation]time.Time{}
	present := make(map[incarnation]bool, len(upstreams))
	for _, upstream := range upstreams {
		key := incarnationOf(upstream)
		present[key] = true
		if upstream.Draining {
			updated[key] = now
		}
	}
	for _, upstream := range allocator.upstreams {
		if key := incarnationOf(upstream); !present[key] {
			updated[key] = now
		}
	}
	for key, since := range allocator.drainingSince {
		if _, ok := updated[key]; ok || (!present[key] && now.Sub(since) < drainingRetention) {
			updated[key] = since
		}
	}
	allocator.drainingSince = updated
}

// incarnation identifies one process of an upstream.
type incarnation struct {
	id        string
	startedAt int64
}

func incarnationOf(upstream broker.Upstream) incarnation {
	return incarnation{upstream.ID, upstream.StartedAt}
}

// drainElapsed reports whether the upstream has been draining or removed for so long
// that it must get no more requests. A broker that cannot reach the store may not know
// this yet.
func (allocator *Allocator) drainElapsed(upstream broker.Upstream) bool {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	since, ok := allocator.drainingSince[incarnationOf(upstream)]
	return ok && allocator.Clock.Now().Sub(since) > allocator.tunables.drainPeriod-drainMargin
}

// service returns the service, or nil if no configuration has defined it.
func (allocator *Allocator) service(name string) *service {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	return allocator.services[name]
}

func (allocator *Allocator) allServices() []*service {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	return slices.Collect(maps.Values(allocator.services))
}

// Acquire implements courier.Allocator.
func (allocator *Allocator) Acquire(ctx context.Context, name string, request broker.Request) courier.Slot {
	service := allocator.service(name)
	if service == nil {
		return courier.Slot{Decision: broker.Decision{Refusal: broker.Unavailable, RetryAfter: time.Second}}
	}
	for began := allocator.Clock.Now(); ; {
		slot := allocator.acquire(ctx, service, request)
		if slot.Ticket == 0 {
			return slot
		}
		result, retryAfter := allocator.checkSlot(slot)
		if retryAfter == 0 {
			return slot
		}
		allocator.Log.Info("slot released unused", "id", request.ID, "service", name, "upstream", slot.Upstream.ID, "broker", slot.Broker,
			"drained", result.BusyFor == 0, "busyForMs", result.BusyFor.Milliseconds())
		allocator.Release(name, slot, result)
		now := allocator.Clock.Now()
		request.Timeout, request.Target, began = request.Timeout-now.Sub(began), request.Target-now.Sub(began), now
		if request.Key != broker.NoKey || request.Timeout <= 0 {
			return courier.Slot{Broker: slot.Broker, Term: slot.Term, Decision: broker.Decision{Refusal: broker.Unavailable, RetryAfter: retryAfter}}
		}
		request.Exclude = append(slices.Clip(request.Exclude), slot.Upstream.ID)
	}
}

// checkSlot returns a retryAfter above 0 if the slot must not be used, because its upstream
// has drained or is busy and the broker does not know that yet. The result tells the broker.
func (allocator *Allocator) checkSlot(slot courier.Slot) (result broker.Result, retryAfter time.Duration) {
	if allocator.drainElapsed(slot.Upstream) {
		_, leaving := allocator.notices.LeavingSince(slot.Upstream)
		return broker.Result{Ticket: slot.Ticket, Outcome: broker.Unreachable, Notice: broker.Notice{Leaving: leaving}}, drainedRetryAfter
	}
	busyFor := allocator.notices.BusyFor(slot.Upstream)
	return broker.Result{Ticket: slot.Ticket, Outcome: broker.Abandoned, Notice: broker.Notice{BusyFor: busyFor}}, busyFor
}

// Observe implements courier.Allocator. An upstream that says that it is leaving counts as
// draining from then on, whatever the store says.
func (allocator *Allocator) Observe(upstream broker.Upstream, notice broker.Notice) {
	change := allocator.notices.Observe(upstream, notice)
	if !change.BusyUntil.IsZero() {
		allocator.Log.Info("upstream is busy, as its response says", "upstream", upstream.ID, "born", upstream.StartedAt, "until", change.BusyUntil)
	}
	if !change.Leaving {
		return
	}
	allocator.Log.Info("upstream is leaving, as its response says", "upstream", upstream.ID, "born", upstream.StartedAt)
	allocator.updateMutex.Lock()
	defer allocator.updateMutex.Unlock()
	allocator.mutex.Lock()
	if _, ok := allocator.drainingSince[incarnationOf(upstream)]; !ok {
		if allocator.drainingSince == nil {
			allocator.drainingSince = map[incarnation]time.Time{}
		}
		allocator.drainingSince[incarnationOf(upstream)] = allocator.Clock.Now()
	}
	registered := allocator.registered
	allocator.mutex.Unlock()
	allocator.applyUpstreams(registered)
}

// acquire gets a slot from the broker, or assigns one locally if the broker cannot be
// reached.
func (allocator *Allocator) acquire(ctx context.Context, service *service, request broker.Request) courier.Slot {
	vm, term := service.brokerVM()
	if vm != "" && vm != allocator.VM && allocator.isReachable(vm) {
		began := allocator.Clock.Now()
		if slot, ok := allocator.acquireFromBroker(ctx, service, vm, request); ok {
			return slot
		}
		if ctx.Err() != nil {
			return courier.Slot{Broker: vm, Term: term, Decision: broker.Decision{Refusal: broker.TooLate}}
		}
		elapsed := allocator.Clock.Now().Sub(began)
		request.Timeout -= elapsed
		request.Target -= elapsed
	}
	decision := service.broker.Acquire(ctx, request)
	slot := courier.Slot{Decision: decision}
	if vm == allocator.VM {
		slot.Broker, slot.Term = vm, term
	}
	service.addSlot(slot)
	return slot
}

// acquireFromBroker asks the broker VM for a slot. If that VM names a newer broker, it
// asks that one. It returns false if no broker has decided.
func (allocator *Allocator) acquireFromBroker(ctx context.Context, service *service, vm string, request broker.Request) (courier.Slot, bool) {
	var answer acquireAnswer
	err := allocator.Peers.Call(ctx, vm, callAcquire, acquireMessage{
		Service: service.name, RequestID: request.ID, Zone: request.Zone, Key: request.Key, Rank: request.Rank, BodyBytes: request.BodyBytes,
		Retry: request.Retry, Exclude: request.Exclude, Target: request.Target, Timeout: request.Timeout, Fingerprint: request.Fingerprint,
	}, &answer)
	if err == nil && answer.NotBroker && answer.Broker != "" && service.adoptBroker(answer.Broker, answer.Term) {
		if answer.Broker != allocator.VM && allocator.isReachable(answer.Broker) {
			return allocator.acquireFromBroker(ctx, service, answer.Broker, request)
		}
		return courier.Slot{}, false
	}
	if err != nil || answer.NotBroker {
		if ctx.Err() == nil {
			allocator.Log.Info("slot request to broker failed", "id", request.ID, "service", service.name, "broker", vm, "notBroker", answer.NotBroker, "error", errorText(err))
		}
		return courier.Slot{}, false
	}
	slot := courier.Slot{Broker: vm, Term: answer.Term, Decision: broker.Decision{
		Ticket:   answer.Ticket,
		Upstream: broker.Upstream{ID: answer.Upstream, StartedAt: answer.StartedAt, Service: service.name, Address: answer.Address, Slots: answer.Slots},
		Refusal:  answer.Refusal, RetryAfter: answer.RetryAfter, Waited: answer.Waited, QueueLength: answer.QueueLength,
	}}
	service.addSlot(slot)
	return slot, true
}

// errorText returns the text of the error for a log attribute, empty for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Release implements courier.Allocator.
func (allocator *Allocator) Release(name string, slot courier.Slot, result broker.Result) {
	service := allocator.service(name)
	if service == nil {
		return
	}
	service.removeSlot(slot)
	if slot.Broker == "" || slot.Broker == allocator.VM {
		service.broker.Release(result)
		return
	}
	service.broker.RecordResult(slot.Upstream.ID, allocator.VM, allocator.Zone, result)
	message := releaseMessage{
		Service: name, Term: slot.Term, Ticket: result.Ticket, Outcome: result.Outcome, Elapsed: result.Elapsed, FreeSlot: result.FreeSlot, BusyFor: result.BusyFor,
	}
	if result.Leaving {
		message.Leaving, message.Upstream, message.StartedAt = true, slot.Upstream.ID, slot.Upstream.StartedAt
	}
	allocator.tasks.Go(func() error {
		ctx, cancel := clocker.WithTimeout(context.Background(), allocator.Clock, releaseTimeout)
		defer cancel()
		err := allocator.Peers.Call(ctx, slot.Broker, callRelease, message, nil)
		if err != nil {
			allocator.Log.Info("slot release not delivered to broker", "service", name, "broker", slot.Broker, "ticket", result.Ticket, "error", err.Error())
		}
		return nil
	})
}

// isReachable reports whether the VM answered the last report.
func (allocator *Allocator) isReachable(vm string) bool {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	return allocator.peer(vm).lostSince.IsZero()
}

// clearLost marks a VM that has just become a broker as reachable, so that slots are
// requested from it before the next report to it.
func (allocator *Allocator) clearLost(vm string) {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	if known := allocator.peers[vm]; known != nil {
		known.lostSince = time.Time{}
	}
}

// peer returns the state of the VM and creates it if needed. The mutex must be held.
func (allocator *Allocator) peer(vm string) *peer {
	known := allocator.peers[vm]
	if known == nil {
		known = &peer{}
		allocator.peers[vm] = known
	}
	return known
}

// storeLostFor returns for how long this VM has been unable to reach the store; 0 while
// it can.
func (allocator *Allocator) storeLostFor() time.Duration {
	allocator.mutex.Lock()
	longest := time.Duration(0)
	if !allocator.claimReadsFailingSince.IsZero() {
		longest = allocator.Clock.Now().Sub(allocator.claimReadsFailingSince)
	}
	allocator.mutex.Unlock()
	for _, follower := range allocator.Followers {
		longest = max(longest, follower.FailingFor())
	}
	return longest
}

// ShouldPoll reports whether this VM polls the store on behalf of all VMs. The brokers
// come in the order of the names of their services. One polls if those before it cannot
// be reached, or show no recent lists.
func (allocator *Allocator) ShouldPoll() bool {
	services := allocator.allServices()
	slices.SortFunc(services, func(a, b *service) int { return strings.Compare(a.name, b.name) })
	for _, service := range services {
		if service.isBroker() {
			return true
		}
		if vm, _, since := service.otherBroker(); vm != "" && allocator.mayPoll(vm, since) {
			return false
		}
	}
	return false
}

// mayPoll reports whether another VM, a broker since the given time, polls the store or
// is about to begin.
func (allocator *Allocator) mayPoll(vm string, since time.Time) bool {
	now := allocator.Clock.Now()
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	peer := allocator.peer(vm)
	switch {
	case !peer.lostSince.IsZero(), peer.storeLostFor > 0:
		return false
	case now.Sub(since) < pollPatience:
		return true
	}
	return peer.listAge > 0 && peer.listAge+now.Sub(peer.answeredAt) < pollPatience
}

// RegisteredUpstreams returns the upstreams that requests may be sent to.
func (allocator *Allocator) RegisteredUpstreams() map[sender.Upstream]bool {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	registered := make(map[sender.Upstream]bool, len(allocator.upstreams))
	for _, upstream := range allocator.upstreams {
		registered[sender.Upstream{ID: upstream.ID, StartedAt: upstream.StartedAt, Address: upstream.Address}] = true
	}
	return registered
}
