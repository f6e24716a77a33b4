package allocator

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cuminstream/cuminstream/internal/courier"
	"github.com/cuminstream/cuminstream/internal/keeper"
	"github.com/cuminstream/cuminstream/internal/linker"
	"github.com/cuminstream/cuminstream/internal/sender"
	"github.com/cuminstream/cuminstream/internal/storer"
	"github.com/cuminstream/cuminstream/pkg/broker"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/matcher"
)

// Peers calls other VMs.
type Peers interface {
	Call(ctx context.Context, vm, method string, body, answer any) error
	Drop(vm string)
}

// Members tells the VMs of the system.
type Members interface {
	// VMs returns the names of all registered VMs.
	VMs() []string
	// CPUShare returns the processor that a VM has, in cores.
	CPUShare(vm string) float64
}

// Allocator assigns slots for the requests of this VM, and as a broker for those
// of others. The exported fields are set before its first use.
type Allocator struct {
	VM      string
	Zone    string
	Boot    string // unique ID of this process
	Clock   clocker.Clock
	Log     *slog.Logger
	Store   storer.Store
	Peers   Peers
	Members Members
	Granter keeper.Granter
	// StopTimeout is how long a stop may wait for the store, so that another VM can
	// take over.
	StopTimeout time.Duration
	// Followers are told when other VMs have received newer changes. All VMs have
	// them in the same order.
	Followers []*storer.Follower

	mutex     sync.Mutex
	tunables  tunables
	leaving   map[string]time.Time // upstreams known to leave or be gone, since when
	heard     time.Time            // when a broker last passed on what it knows of the store
	services  map[string]*service
	claims    map[string]storedClaim
	upstreams []broker.Upstream
	peers     map[string]*peer
	stopping  bool
	// unverified is since when looks at the own claims fail; zero while they do not.
	unverified time.Time
	group      errgroup.Group
	ctx        context.Context
}

// peer is what this VM knows of another one.
type peer struct {
	heard     time.Time // its last report or answer
	lostSince time.Time // zero while it answers
	asking    bool
	leads     map[string]uint64 // what it said to lead, with the term
	said      time.Time         // when it said so
	storeLost time.Duration     // for how long it said not to have reached the store
	listedAgo time.Duration     // how old it said its lists are; 0 when it does not list
}

const (
	// reportInterval is the time between two reports to a broker.
	reportInterval = 400 * time.Millisecond
	// reportTimeout is how long a broker may take to answer a report before this
	// VM assigns slots itself.
	reportTimeout = 600 * time.Millisecond
	// silentVM is the time without a report after which the slots of a VM are
	// taken as free.
	silentVM = 1800 * time.Millisecond
	// doneTimeout bounds the call that ends the use of a slot.
	doneTimeout = time.Second
	// wakeInterval is the time between two looks at waiting requests whose
	// upstream has paused.
	wakeInterval = 25 * time.Millisecond
	// localShare is the part of the allowed repeats that a VM may make while it
	// cannot ask the broker, and localSlack the number that it may always make.
	localShare = 0.2
	localSlack = 1
	// leavingMemory is how long an upstream that is gone is remembered.
	leavingMemory = time.Minute
	// drainReserve is the part of the time that a leaving upstream goes on serving
	// in which it gets no more requests: for a connection attempt (0.5 s) and the way
	// of the request. Brokers move its keys within half a second.
	drainReserve = 1500 * time.Millisecond
	// leftRetryAfter is the hint to callers whose key belongs to an upstream that
	// has left.
	leftRetryAfter = 400 * time.Millisecond
)

// tunables are settings that can change.
type tunables struct {
	retryWindow time.Duration
	retryRatio  float64
	retrySlack  int
	maxHold     time.Duration
	drain       time.Duration
}

// Tune sets the bounds of repeats by service, the longest time for which keys can
// be granted, and the time that leaving upstreams go on serving. Brokers use the
// first ones from their next term on.
func (allocator *Allocator) Tune(retryWindow time.Duration, retryRatio float64, retrySlack int, maxHold, drain time.Duration) {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	allocator.tunables = tunables{retryWindow, retryRatio, retrySlack, maxHold, drain}
}

// Init registers the calls of other VMs. It is called before the first link.
func (allocator *Allocator) Init(server linker.Registrar) {
	allocator.services = map[string]*service{}
	allocator.claims = map[string]storedClaim{}
	allocator.peers = map[string]*peer{}
	server.Handle(callAsk, allocator.handleAsk)
	server.Handle(callDone, allocator.handleDone)
	server.Handle(callReport, allocator.handleReport)
	server.Handle(callHears, allocator.handleHears)
	server.Handle(callDepose, allocator.handleDepose)
	server.Handle(callStatus, allocator.handleStatus)
}

// AddServices creates the services of a configuration that do not exist yet.
func (allocator *Allocator) AddServices(document *matcher.Config) {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	for name, described := range document.Services {
		if allocator.services[name] == nil {
			allocator.services[name] = allocator.newService(name, described.Keyed)
		}
	}
}

// SetUpstreams replaces the list of upstreams.
func (allocator *Allocator) SetUpstreams(upstreams []broker.Upstream) {
	allocator.mutex.Lock()
	allocator.noteLeaving(upstreams)
	allocator.upstreams = upstreams
	services := slices.Collect(maps.Values(allocator.services))
	allocator.mutex.Unlock()
	for _, service := range services {
		service.setUpstreams(upstreams)
	}
}

// noteLeaving remembers since when upstreams are known to leave. The mutex is held.
func (allocator *Allocator) noteLeaving(upstreams []broker.Upstream) {
	// The upstreams may have left at any time since this VM last heard of the store.
	now := allocator.Clock.Now()
	if !allocator.heard.IsZero() && now.Sub(allocator.heard) < leavingMemory {
		now = allocator.heard
	}
	leaving := map[string]time.Time{}
	present := map[string]bool{}
	for _, upstream := range upstreams {
		life := lifeOf(upstream)
		present[life] = true
		if upstream.Draining {
			leaving[life] = now
		}
	}
	for _, upstream := range allocator.upstreams {
		if life := lifeOf(upstream); !present[life] {
			leaving[life] = now
		}
	}
	for life, since := range allocator.leaving {
		if _, ok := leaving[life]; ok || (!present[life] && now.Sub(since) < leavingMemory) {
			leaving[life] = since
		}
	}
	allocator.leaving = leaving
}

// lifeOf names one life of an upstream.
func lifeOf(upstream broker.Upstream) string {
	return fmt.Sprintf("%s@%d", upstream.ID, upstream.StartedAt)
}

// left reports whether the upstream is known to have left. A broker without the
// store may not know it yet.
func (allocator *Allocator) left(upstream broker.Upstream) bool {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	since, ok := allocator.leaving[lifeOf(upstream)]
	return ok && allocator.Clock.Now().Sub(since) > allocator.tunables.drain-drainReserve
}

// service returns the service, or nil when no configuration has named it.
func (allocator *Allocator) service(name string) *service {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	return allocator.services[name]
}

func (allocator *Allocator) all() []*service {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	return slices.Collect(maps.Values(allocator.services))
}

// Acquire implements courier.Allocator.
func (allocator *Allocator) Acquire(ctx context.Context, name string, ask broker.Request) courier.Slot {
	service := allocator.service(name)
	if service == nil {
		return courier.Slot{Decision: broker.Decision{Refusal: broker.Unavailable, RetryAfter: time.Second}}
	}
	slot := allocator.ask(ctx, service, ask)
	if slot.Ticket != 0 && allocator.left(slot.Upstream) {
		allocator.Log.Warn("slot given back: its upstream has left", "id", ask.ID, "service", name, "upstream", slot.Upstream.ID, "broker", slot.Broker)
		allocator.Release(name, slot, broker.Result{Ticket: slot.Ticket, Outcome: broker.Unreachable})
		return courier.Slot{Broker: slot.Broker, Term: slot.Term, Decision: broker.Decision{Refusal: broker.Unavailable, RetryAfter: leftRetryAfter}}
	}
	return slot
}

func (allocator *Allocator) ask(ctx context.Context, service *service, ask broker.Request) courier.Slot {
	vm, term := service.brokerVM()
	if vm != "" && vm != allocator.VM && allocator.answers(vm) {
		began := allocator.Clock.Now()
		if slot, ok := allocator.askBroker(ctx, service, vm, ask); ok {
			return slot
		}
		if ctx.Err() != nil {
			return courier.Slot{Broker: vm, Term: term, Decision: broker.Decision{Refusal: broker.TooLate}}
		}
		passed := allocator.Clock.Now().Sub(began)
		ask.Timeout -= passed
		ask.Target -= passed
	}
	decision := service.broker.Acquire(ctx, ask)
	slot := courier.Slot{Decision: decision}
	if vm == allocator.VM {
		slot.Broker, slot.Term = vm, term
	}
	service.began(slot)
	return slot
}

func (allocator *Allocator) askBroker(ctx context.Context, service *service, vm string, ask broker.Request) (courier.Slot, bool) {
	var answer askAnswer
	err := allocator.Peers.Call(ctx, vm, callAsk, askMessage{
		Service: service.name, Request: ask.ID, Zone: ask.Zone, Key: ask.Key, Rank: ask.Rank, Bytes: ask.BodyBytes,
		Repeat: ask.Retry, Exclude: ask.Exclude, Target: ask.Target, Left: ask.Timeout, Fingerprint: ask.Fingerprint,
	}, &answer)
	if err == nil && answer.NotBroker && answer.Broker != "" && service.adopt(answer.Broker, answer.Term) {
		if answer.Broker != allocator.VM && allocator.answers(answer.Broker) {
			return allocator.askBroker(ctx, service, answer.Broker, ask)
		}
		return courier.Slot{}, false
	}
	if err != nil || answer.NotBroker {
		if ctx.Err() == nil {
			allocator.Log.Info("broker gave no answer", "id", ask.ID, "service", service.name, "broker", vm, "notBroker", answer.NotBroker, "error", text(err))
		}
		return courier.Slot{}, false
	}
	slot := courier.Slot{Broker: vm, Term: answer.Term, Decision: broker.Decision{
		Ticket:   answer.Ticket,
		Upstream: broker.Upstream{ID: answer.Upstream, StartedAt: answer.Born, Service: service.name, Address: answer.Address, Slots: answer.Slots},
		Refusal:  answer.Refused, RetryAfter: answer.RetryAfter, Waited: answer.Waited, QueueLength: answer.Queue,
	}}
	service.began(slot)
	return slot, true
}

func text(err error) string {
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
	service.ended(slot)
	if slot.Broker == "" || slot.Broker == allocator.VM {
		service.broker.Release(result)
		return
	}
	service.broker.RecordResult(slot.Upstream.ID, allocator.VM, allocator.Zone, result)
	allocator.group.Go(func() error {
		ctx, cancel := clocker.WithTimeout(context.Background(), allocator.Clock, doneTimeout)
		defer cancel()
		err := allocator.Peers.Call(ctx, slot.Broker, callDone, doneMessage{
			Service: name, Term: slot.Term, Ticket: result.Ticket, Outcome: result.Outcome, Elapsed: result.Elapsed, Spare: result.FreeSlot,
		}, nil)
		if err != nil {
			allocator.Log.Info("end of a slot not reported", "service", name, "broker", slot.Broker, "ticket", result.Ticket, "error", err.Error())
		}
		return nil
	})
}

// answers reports whether the VM has answered the last report.
func (allocator *Allocator) answers(vm string) bool {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	return allocator.peer(vm).lostSince.IsZero()
}

// greet forgets that a VM was lost, which has become a broker since: it is asked
// before the next report to it.
func (allocator *Allocator) greet(vm string) {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	if known := allocator.peers[vm]; known != nil {
		known.lostSince = time.Time{}
	}
}

// peer returns what is known of the VM. The mutex is held.
func (allocator *Allocator) peer(vm string) *peer {
	known := allocator.peers[vm]
	if known == nil {
		known = &peer{}
		allocator.peers[vm] = known
	}
	return known
}

// storeLost returns for how long this VM has not reached the store.
func (allocator *Allocator) storeLost() time.Duration {
	allocator.mutex.Lock()
	longest := time.Duration(0)
	if !allocator.unverified.IsZero() {
		longest = allocator.Clock.Now().Sub(allocator.unverified)
	}
	allocator.mutex.Unlock()
	for _, follower := range allocator.Followers {
		longest = max(longest, follower.FailingFor())
	}
	return longest
}

// ShouldPoll reports whether this VM polls the store on behalf of all VMs. The broker
// of the service whose name sorts first does so.
func (allocator *Allocator) ShouldPoll() bool {
	allocator.mutex.Lock()
	names := slices.Sorted(maps.Keys(allocator.services))
	var first *service
	if len(names) > 0 {
		first = allocator.services[names[0]]
	}
	allocator.mutex.Unlock()
	return first != nil && first.mine()
}

// RegisteredUpstreams returns the upstreams that requests may be sent to.
func (allocator *Allocator) RegisteredUpstreams() map[sender.Upstream]bool {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	targets := make(map[sender.Upstream]bool, len(allocator.upstreams))
	for _, upstream := range allocator.upstreams {
		targets[sender.Upstream{ID: upstream.ID, StartedAt: upstream.StartedAt, Address: upstream.Address}] = true
	}
	return targets
}
