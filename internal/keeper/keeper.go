package keeper

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cuminstream/cuminstream/internal/storer"
	"github.com/cuminstream/cuminstream/pkg/broker"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/partitioner"
)

// KindLedgers is the kind of the ledgers in the store.
const KindLedgers = "cuminstream-ledgers"

// Errors of a keeper.
var (
	// ErrFenced means that the upstream has seen a higher fence on the keys.
	ErrFenced = errors.New("the upstream has seen a higher fence")
	// ErrReplaced means that another process has become the service's broker.
	ErrReplaced = errors.New("another process is the broker")
)

// Granter makes the grant calls of upstreams. A call must fail when another
// upstream has the owner's address.
type Granter interface {
	// Grant gives the keys to the upstream or renews its grant.
	Grant(ctx context.Context, owner Owner, grant Grant) error
	// Release takes the keys back. It returns once no work on them is running.
	Release(ctx context.Context, owner Owner, keys Range, fence uint64) (handover string, err error)
}

// Authority tells whether another process may have become the broker without
// this one knowing it.
type Authority interface {
	// MayRenew reports whether no other process can have waited for the grants of
	// this one to run out.
	MayRenew() bool
	// MayRelyOnExpiry reports whether no earlier broker can still be renewing grants.
	MayRelyOnExpiry() bool
}

// Keeper keeps the keys of one service owned while this process is its broker.
// The exported fields are set before Run.
type Keeper struct {
	Service string
	// BootID is this process, and Term its term as broker.
	BootID  string
	Term    uint64
	Clock   clocker.Clock
	Store   storer.Store
	Granter Granter
	Broker  *broker.Broker
	Log     *slog.Logger
	// MaxGrantTTL is the longest time for which upstreams accept a grant.
	MaxGrantTTL time.Duration
	// StaleRenewals is how long an earlier broker may have gone on renewing.
	StaleRenewals time.Duration
	// Authority tells what this process may still do as broker.
	Authority Authority
	// OnLedgerWritten is called with each ledger that was written.
	OnLedgerWritten func(ledger *Ledger)

	mutex     sync.Mutex
	ledger    *Ledger
	revision  uint64
	writes    uint64     // the number of the last try to write the ledger
	tenancies []*tenancy // in the order of keys
	upstreams map[string]broker.Upstream
	addresses map[string]broker.Upstream // of all services: the last one to start at each address
	busy      map[string]bool            // owners with a grant call under way
	sent      map[*sentGrant]struct{}
	work      map[string]time.Duration // mean time of one request, by owner
	first     time.Time                // when the first upstream was seen
	planned   time.Time
	changed   bool // the upstreams have changed since the last plan
	settledAt time.Time
	writing   bool
	deposed   bool
	suspended bool      // grants must not be sent
	inherited time.Time // until when earlier brokers may renew grants
	wake      chan struct{}
	group     *errgroup.Group
	ctx       context.Context
}

const (
	// hold is how long a grant lasts. It must outlast the restart of all VMs, so
	// that keys stay warm, and bounds the time for which the keys of an upstream
	// that cannot be reached have no owner.
	hold = 4 * time.Second
	// renewInterval leaves time for two more tries before a grant runs out.
	renewInterval = 1300 * time.Millisecond
	// retryInterval is the time between tries of a call that failed.
	retryInterval = 200 * time.Millisecond
	// slowClock is the allowance for upstreams whose clocks run slow: 2%, rounded up.
	slowClock = 1.025
	// grantTimeout bounds a call that grants keys; then its connection is reset.
	grantTimeout = 800 * time.Millisecond
	// arrivalAllowance is the longest time that a grant may take to arrive, which
	// it counts from: packets that are lost are sent again until the reset.
	arrivalAllowance = grantTimeout + 200*time.Millisecond
	// workMargin is the time that a grant must have left for a request to start.
	workMargin = 600 * time.Millisecond
	// soon is the wait for an owner that requests may be queued for.
	soon = 1200 * time.Millisecond
	// releaseTimeout bounds a call that waits for running work to end.
	releaseTimeout = 5 * time.Second
	// tickInterval is the time between two looks at all shares.
	tickInterval = 50 * time.Millisecond
	// planInterval is the time between two looks at the load.
	planInterval = 500 * time.Millisecond
	// lostAfter is how long an upstream that is registered may fail all calls
	// before its keys go to others. A zone that is cut off for some seconds keeps
	// its keys: its own VMs go on serving them.
	lostAfter = 9 * time.Second
	// spansPerOwner is the number of spans in which an owner gets its first keys.
	spansPerOwner = 4
	// maxSpansPerOwner bounds the spans after moves for load.
	maxSpansPerOwner = 20
	// minMoves and membersPerMove bound the moves for load of one plan: four, or one
	// for eight upstreams, so that large services are balanced as soon as small ones.
	minMoves       = 4
	membersPerMove = 8
	// hotTolerance and steadyTolerance are the imbalances, as factors of the mean
	// use, that are left alone in the rates of the last seconds and of a longer time.
	hotTolerance    = 1.25
	steadyTolerance = 1.1
	// coldFactor lowers the capacity of an upstream that has just started.
	coldFactor = 0.5
)

// Init prepares the keeper. It is called before any other method.
func (keeper *Keeper) Init() {
	keeper.wake = make(chan struct{}, 1)
	keeper.busy = map[string]bool{}
	keeper.sent = map[*sentGrant]struct{}{}
	keeper.work = map[string]time.Duration{}
	keeper.planned = keeper.Clock.Now()
}

// expiry returns the longest time from the send of a grant to its end.
func expiry(hold time.Duration) time.Duration {
	return time.Duration(float64(hold)*slowClock) + arrivalAllowance
}

// SetUpstreams replaces the list of registered upstreams of all services.
func (keeper *Keeper) SetUpstreams(list []broker.Upstream) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.upstreams = map[string]broker.Upstream{}
	keeper.addresses = make(map[string]broker.Upstream, len(list))
	for _, upstream := range list {
		if upstream.Service == keeper.Service {
			keeper.upstreams[upstream.ID] = upstream
		}
		if known, ok := keeper.addresses[upstream.Address]; !ok || known.StartedAt < upstream.StartedAt {
			keeper.addresses[upstream.Address] = upstream
		}
	}
	if len(keeper.upstreams) > 0 && keeper.first.IsZero() {
		keeper.first = keeper.Clock.Now()
	}
	keeper.changed = true
	keeper.signal()
}

func (keeper *Keeper) signal() {
	select {
	case keeper.wake <- struct{}{}:
	default:
	}
}

// Run grants, renews and moves keys until ctx is done or another process has
// become the broker, and then returns ErrDeposed.
func (keeper *Keeper) Run(ctx context.Context) error {
	if err := keeper.takeOver(ctx); err != nil {
		if ctx.Err() != nil {
			return nil
		}
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	keeper.group, keeper.ctx = group, ctx
	ticker := keeper.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		load := keeper.load()
		keeper.mutex.Lock()
		keeper.step(load)
		deposed := keeper.deposed
		keeper.mutex.Unlock()
		if deposed {
			return errors.Join(ErrReplaced, group.Wait())
		}
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-ticker.C():
		case <-keeper.wake:
		}
	}
}

// load is what the broker has measured.
type load struct {
	upstreams  []broker.UpstreamStats
	fast, slow broker.KeyRates
}

// load returns the measurements when a plan is due. It takes the broker's lock,
// which comes before the keeper's.
func (keeper *Keeper) load() (measured load) {
	keeper.mutex.Lock()
	due := keeper.planDue()
	keeper.mutex.Unlock()
	if due {
		measured.upstreams, measured.fast, measured.slow = keeper.Broker.Stats()
	}
	return measured
}

func (keeper *Keeper) planDue() bool {
	return !keeper.writing && (keeper.changed || keeper.Clock.Now().Sub(keeper.planned) >= planInterval)
}

// step makes the calls that are due. The mutex is held.
func (keeper *Keeper) step(load load) {
	now := keeper.Clock.Now()
	if len(load.upstreams) > 0 && keeper.planDue() {
		keeper.planned, keeper.changed = now, false
		keeper.plan(keeper.members(load.upstreams, now), load, now)
	}
	mayRenew := keeper.authorized()
	for _, tenancy := range keeper.tenancies {
		if tenancy.phase == settling && tenancy.calling && keeper.outlasted(tenancy, now) {
			tenancy.calling, tenancy.due = false, now // the answer to the release does not matter
		}
		if tenancy.calling || now.Before(tenancy.due) || tenancy.owner == nil {
			continue
		}
		if tenancy.phase == settling {
			keeper.settle(tenancy, now)
			continue
		}
		if name := tenancy.owner.name(); mayRenew && !keeper.busy[name] && keeper.alive(*tenancy.owner) {
			keeper.grant(tenancy, now)
		}
	}
}

// authorized reports whether grants may be sent, and logs when that changes.
func (keeper *Keeper) authorized() bool {
	mayRenew := keeper.Authority.MayRenew()
	if mayRenew == keeper.suspended {
		keeper.suspended = !mayRenew
		keeper.Log.Warn("authority to grant keys changed", "service", keeper.Service, "term", keeper.Term, "mayGrant", mayRenew)
	}
	return mayRenew
}

// StaleRenewalsLeft returns for how long grants of earlier brokers may still be in force.
func (keeper *Keeper) StaleRenewalsLeft() time.Duration {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	return max(keeper.inherited.Sub(keeper.Clock.Now()), 0)
}

// PreviousBrokerEnded says that the broker before this one has ended, and that brokers before
// that one may go on renewing grants for a time. The wait for inherited grants gets
// shorter, if that is less than was assumed.
func (keeper *Keeper) PreviousBrokerEnded(stale time.Duration) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	inherited := keeper.Clock.Now().Add(stale)
	if !inherited.Before(keeper.inherited) {
		return
	}
	keeper.inherited = inherited
	// Grants of this process, sent by now, end before that.
	latest := inherited.Add(expiry(hold))
	for _, tenancy := range keeper.tenancies {
		tenancy.exposedUntil = earlier(tenancy.exposedUntil, latest)
		if tenancy.past != nil {
			tenancy.past.until = earlier(tenancy.past.until, latest)
		}
	}
	keeper.Log.Info("former broker has ended", "service", keeper.Service, "term", keeper.Term, "grantsRunOutMs", latest.Sub(keeper.Clock.Now()).Milliseconds())
	keeper.signal()
}

// alive reports whether this life of the upstream is registered.
func (keeper *Keeper) alive(owner Owner) bool {
	known, ok := keeper.upstreams[owner.ID]
	return ok && known.StartedAt == owner.StartedAt
}

// Owner implements broker.Owners.
func (keeper *Keeper) Owner(key int) broker.Ownership {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	index, found := slices.BinarySearchFunc(keeper.tenancies, key, func(tenancy *tenancy, key int) int { return tenancy.keys.From - key })
	if !found {
		index--
	}
	if index < 0 || keeper.tenancies[index].owner == nil {
		return broker.Ownership{Pending: keeper.ledger == nil}
	}
	tenancy := keeper.tenancies[index]
	now := keeper.Clock.Now()
	ownership := broker.Ownership{Upstream: tenancy.owner.ID}
	switch tenancy.phase {
	case held:
		ownership.Held = now.Add(workMargin).Before(tenancy.heldUntil)
		ownership.Pending = tenancy.failures < 3
	case granting:
		ownership.Pending = tenancy.failures < 3
	case settling:
		ownership.Pending = tenancy.calling || tenancy.released || tenancy.past.until.Sub(now) < soon
	}
	return ownership
}

// replaced reports whether another upstream has started at the owner's address: the
// platform gives an address away only after its upstream has ended.
func (keeper *Keeper) replaced(owner Owner) bool {
	other, ok := keeper.addresses[owner.Address]
	return ok && other.ID != owner.ID && other.StartedAt > owner.StartedAt
}

// outlasted reports whether the past owner holds the keys no longer, whether it has
// released them or not.
func (keeper *Keeper) outlasted(tenancy *tenancy, now time.Time) bool {
	return keeper.replaced(tenancy.past.owner) || (!now.Before(tenancy.past.until) && keeper.Authority.MayRelyOnExpiry())
}

// members returns the upstreams that may own keys, with their capacity.
func (keeper *Keeper) members(loads []broker.UpstreamStats, now time.Time) []partitioner.Member {
	lost := keeper.lost(now)
	var members []partitioner.Member
	for _, load := range loads {
		known, ok := keeper.upstreams[load.Upstream.ID]
		if !ok || known.Draining || known.StartedAt != load.Upstream.StartedAt {
			continue
		}
		capacity := float64(known.Slots) / max(load.ServiceTime.Seconds(), 0.001)
		if known.Warmup > 0 {
			capacity *= coldFactor
		}
		name := ownerOf(known).name()
		if load.Measured {
			keeper.work[name] = load.ServiceTime
		}
		if !lost[name] {
			members = append(members, partitioner.Member{ID: name, Capacity: capacity})
		}
	}
	slices.SortFunc(members, func(a, b partitioner.Member) int { return compareNames(a.ID, b.ID) })
	return members
}

// lost returns the owners that have failed all calls for a long time.
func (keeper *Keeper) lost(now time.Time) map[string]bool {
	lost := map[string]bool{}
	for _, tenancy := range keeper.tenancies {
		if tenancy.owner != nil && tenancy.failures > 0 && !tenancy.heldUntil.IsZero() && now.Sub(tenancy.heldUntil) > lostAfter-hold {
			lost[tenancy.owner.name()] = true
		}
	}
	return lost
}
