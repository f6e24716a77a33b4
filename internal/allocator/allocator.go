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

	"github.com/cuminstream/cuminstream/internal/keeper"
	"github.com/cuminstream/cuminstream/internal/linker"
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
	// Zone returns the availability zone of a VM; empty if it is not known.
	Zone(vm string) string
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
	// OnEra, if set, is called whenever this VM learns of a later era of the store.
	OnEra func(era uint64)
	// Config, if set, is the source of the configuration that VMs exchange after a restore
	// of the store.
	Config ConfigSource

	// notices are what upstreams have said of themselves in responses to this VM, or, if they
	// are leaving, to VMs that have told this one.
	notices avoider.Avoider
	// updateMutex keeps updates of the list of upstreams in order. It is locked before
	// mutex.
	updateMutex sync.Mutex

	mutex       sync.Mutex
	tunables    tunables
	warmupTerms warmupTerms
	// evacuatedZones are the zones to whose upstreams nothing is sent.
	evacuatedZones map[string]bool
	drainingSince  map[incarnation]time.Time // since when upstreams are draining or removed
	storeKnownAt   time.Time                 // when a broker that reaches the store last answered a report
	services       map[string]*service
	claims         map[string]storedClaim
	claimsSince    time.Time         // when this VM learned of the first claim; zero before
	registered     []broker.Upstream // as listed in the store
	upstreams      []broker.Upstream // those of registered whose service a configuration has defined
	polling        bool              // what ShouldPoll reported last
	peers          map[string]*peer
	stopping       bool
	startedAt      time.Time
	era            uint64           // the latest one of the store that this VM knows
	eraRoseAt      time.Time        // when it did, after this VM had listed the store; zero if not
	listed         bool             // all followers have listed the store
	claimFollower  *storer.Follower // also if it is not one of Followers
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

	answers       int    // to reports of this VM, in eras above 0
	configVersion uint64 // of its configuration, from its last answer
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
	allocator.startedAt = allocator.Clock.Now()
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
	defined := map[*service]matcher.Service{}
	for name, definition := range config.Services {
		if allocator.services[name] == nil {
			allocator.services[name] = allocator.newService(name, definition.Keyed)
			added = true
		}
		defined[allocator.services[name]] = definition
	}
	registered := allocator.registered
	allocator.mutex.Unlock()
	for service, definition := range defined {
		if service.setWarmup(definition) {
			allocator.applyWarmup(service)
		}
	}
	if added {
		allocator.applyUpstreams(registered)
	}
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
