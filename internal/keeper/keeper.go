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

// Errors of Granter and Keeper.
var (
	// ErrFenced means that the upstream has seen a higher fencing token for the keys.
	ErrFenced = errors.New("the upstream has seen a higher fencing token")
	// ErrReplaced means that another process has become the service's broker.
	ErrReplaced = errors.New("another process is the broker")
)

// Granter sends grants and releases to upstreams. A call must fail when another
// upstream has the owner's address.
type Granter interface {
	// Grant grants the keys to the upstream or renews its grant. It calls confirm after it
	// has opened a connection and before it sends anything on it, and does not use the
	// connection if confirm fails. Connections end with the process of the upstream.
	Grant(ctx context.Context, owner Owner, grant Grant, confirm func(ctx context.Context) error) error
	// Release revokes the grant of the keys. It returns once the upstream runs no
	// request for them, with a token that lets the next owner start warm.
	Release(ctx context.Context, owner Owner, keys Range, fence uint64) (handover string, err error)
}

// Authority tells what this process may do as broker, since another process may
// have become the broker without this one knowing it.
type Authority interface {
	// MayRenew reports whether grants may be sent: no later broker can have waited
	// for the grants of this process to expire.
	MayRenew() bool
	// MayRelyOnExpiry reports whether an unconfirmed grant may be taken to have
	// ended once its longest lifetime has passed: no earlier broker can still be
	// renewing it.
	MayRelyOnExpiry() bool
	// Confirm returns nil once it is known that at some time after the call no other process
	// was the broker.
	Confirm(ctx context.Context) error
	// Era returns what the process knows of the era of the store.
	Era() EraStatus
}

// Keeper assigns and grants the keys of one service while this process is its
// broker. The exported fields are set before Init.
type Keeper struct {
	Service string
	// BootID identifies this run of the process, Term its term as broker.
	BootID  string
	Term    uint64
	Clock   clocker.Clock
	Store   storer.Store
	Granter Granter
	Broker  *broker.Broker
	Log     *slog.Logger
	// MaxGrantTTL is the longest lifetime of a grant that upstreams accept. It can change,
	// see SetMaxGrantTTL.
	MaxGrantTTL time.Duration
	// StaleRenewals is how long after the takeover of the ledger earlier brokers may
	// go on renewing grants.
	StaleRenewals time.Duration
	// RestoredRenewals is how long after this process has written its claim brokers may
	// go on renewing grants whose claims were lost in a restore of the store.
	RestoredRenewals time.Duration
	// AfterRestore is set if the claim of an earlier broker was restored from an old copy
	// of the store. Known is the newest ledger that this VM has read, or nil.
	AfterRestore bool
	Known        *Ledger
	// Authority is asked before grants are sent or taken to have expired.
	Authority Authority
	// OnLedgerWritten, if set, is called with each ledger that was read at takeover
	// or written since.
	OnLedgerWritten func(ledger *Ledger)

	mutex              sync.Mutex
	ledger             *Ledger
	version            storer.Version // of the ledger in the store
	writes             uint64         // the number of the last write of the ledger, whether it succeeded or not
	assignments        []*assignment  // in ascending order of keys
	upstreams          map[string]broker.Upstream
	addresses          map[string]broker.Upstream // of all services: the one that started last, by address
	grantInFlight      map[string]bool            // owners with a grant call in progress, by incarnation
	unansweredGrants   map[*unansweredGrant]struct{}
	serviceTimes       map[string]time.Duration // mean service time of a request, by incarnation
	firstUpstreamAt    time.Time                // when the first upstream was registered
	plannedAt          time.Time                // when the last plan was made, or its ledger write ended
	upstreamsChanged   bool                     // since the last plan
	obsoleteSince      time.Time                // since when no previous owner in the ledger holds keys
	writeInProgress    bool
	replaced           bool      // another process has written the ledger
	suspended          bool      // the authority does not allow grants to be sent
	staleRenewalsUntil time.Time // until when earlier brokers may renew grants
	era                uint64    // of the store, see checkEra
	eraCheckedAt       time.Time // when checkEra last looked
	restored           bool      // the ledger taken over was restored, and is not settled yet
	takenOverAt        time.Time // when the ledger was taken over
	storedFence        uint64    // the highest one of a stored ledger that could not be replaced for it
	settleDue          time.Time // when the next attempt to settle the ledger may be made
	settlesAt          time.Time // when an unsettled ledger can be settled at the latest; zero if unknown
	wake               chan struct{}
	group              *errgroup.Group
	ctx                context.Context
}

const (
	// grantTTL is the lifetime of a grant. It must be longer than a restart of all
	// VMs, so that keys stay with upstreams that are warm for them. It bounds the
	// time for which the keys of an unreachable upstream have no owner.
	grantTTL = 4 * time.Second
	// renewInterval leaves time for two more attempts before a grant expires.
	renewInterval = 1300 * time.Millisecond
	// retryInterval is the time from a failed call to the next attempt.
	retryInterval = 200 * time.Millisecond
	// clockDriftAllowance allows for upstreams whose clocks run slow, by up to 2%,
	// rounded up.
	clockDriftAllowance = 1.025
	// grantTimeout bounds a grant call; after it the connection is reset.
	grantTimeout = 800 * time.Millisecond
	// maxDeliveryDelay is the longest time from the send of a grant to its arrival,
	// at which its lifetime begins: lost packets are retransmitted until the
	// connection is reset.
	maxDeliveryDelay = grantTimeout + 200*time.Millisecond
	// minRemainingTTL is the time that a grant must have left for a request to start.
	minRemainingTTL = 600 * time.Millisecond
	// maxOwnerWait is the longest wait for the previous owner's grant to expire during
	// which requests are queued for the next owner.
	maxOwnerWait = 1200 * time.Millisecond
	// releaseTimeout bounds a release call, which waits for running requests to end.
	releaseTimeout = 5 * time.Second
	// tickInterval is the time between two checks of all assignments.
	tickInterval = 50 * time.Millisecond
	// planInterval is the time between two plans from the measured load.
	planInterval = 500 * time.Millisecond
	// unreachableAfter is how long all calls to a registered upstream may fail
	// before its keys are assigned to others. A zone that is disconnected for some
	// seconds keeps its keys: its own VMs go on serving them.
	unreachableAfter = 9 * time.Second
	// initialSpansPerOwner is the number of spans per owner in the first partition, unless
	// that exceeds initialSpans.
	initialSpansPerOwner = 4
	// maxSpansPerOwner bounds the mean number of spans per owner after moves that
	// balance load.
	maxSpansPerOwner = 20
	// initialSpans and maxSpans bound the spans of a service. The grant of each one is
	// renewed by a call of its own every renewInterval, and one broker can make about a
	// thousand calls a second besides its other work.
	initialSpans = 1200
	maxSpans     = 2 * initialSpans
	// minMoves and membersPerMove bound the moves of one plan that balance load: four,
	// or one per eight upstreams if that is more, so that large services are balanced
	// as fast as small ones.
	minMoves       = 4
	membersPerMove = 8
	// shortTermTolerance and longTermTolerance are the utilizations, as factors of the
	// mean, up to which an upstream keeps its keys, by the rates of the last seconds
	// and of a longer time.
	shortTermTolerance = 1.25
	longTermTolerance  = 1.1
)

// Init prepares the keeper. It is called before any other method.
func (keeper *Keeper) Init() {
	keeper.wake = make(chan struct{}, 1)
	keeper.grantInFlight = map[string]bool{}
	keeper.unansweredGrants = map[*unansweredGrant]struct{}{}
	keeper.serviceTimes = map[string]time.Duration{}
	keeper.plannedAt = keeper.Clock.Now()
}

// maxGrantLifetime returns the longest time from the send of a grant to its expiry
// by the upstream's clock.
func maxGrantLifetime(ttl time.Duration) time.Duration {
	return time.Duration(float64(ttl)*clockDriftAllowance) + maxDeliveryDelay
}

// SetMaxGrantTTL changes MaxGrantTTL. It takes effect with the next renewals, since upstreams
// refuse longer grants.
func (keeper *Keeper) SetMaxGrantTTL(ttl time.Duration) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.MaxGrantTTL = ttl
}

// SetUpstreams sets the registered upstreams of all configured services.
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
	if len(keeper.upstreams) > 0 && keeper.firstUpstreamAt.IsZero() {
		keeper.firstUpstreamAt = keeper.Clock.Now()
	}
	keeper.upstreamsChanged = true
	keeper.signal()
}

// signal makes Run check all assignments without waiting for the next tick.
func (keeper *Keeper) signal() {
	select {
	case keeper.wake <- struct{}{}:
	default:
	}
}

// Run grants, renews and moves keys until ctx is done, or until another process has
// become the broker, in which case it returns ErrReplaced.
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
		measured := keeper.measure()
		keeper.mutex.Lock()
		keeper.step(measured)
		replaced := keeper.replaced
		keeper.mutex.Unlock()
		if replaced {
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

// measurements are the statistics of the upstreams and the request rates of the keys.
type measurements struct {
	upstreams           []broker.UpstreamStats
	shortTerm, longTerm broker.KeyRates
}

// measure returns the broker's measurements when a plan is due, and otherwise none.
// It takes the broker's lock, which must be taken before the keeper's.
func (keeper *Keeper) measure() (measured measurements) {
	keeper.mutex.Lock()
	due := keeper.planDue()
	keeper.mutex.Unlock()
	if due {
		measured.upstreams, measured.shortTerm, measured.longTerm = keeper.Broker.Stats()
	}
	return measured
}

func (keeper *Keeper) planDue() bool {
	return !keeper.writeInProgress && !keeper.unsettled() && (keeper.upstreamsChanged || keeper.Clock.Now().Sub(keeper.plannedAt) >= planInterval)
}

// step makes a plan and starts the grant and release calls, if they are due. The
// mutex is held.
func (keeper *Keeper) step(measured measurements) {
	now := keeper.Clock.Now()
	keeper.checkEra(now)
	if len(measured.upstreams) > 0 && keeper.planDue() {
		keeper.plannedAt, keeper.upstreamsChanged = now, false
		keeper.plan(keeper.members(measured.upstreams, now), measured, now)
	}
	mayRenew, unsettled := keeper.authorized(), keeper.unsettled()
	for _, assignment := range keeper.assignments {
		if assignment.phase == revoking && assignment.calling && keeper.previousGrantsEnded(assignment, now) {
			assignment.calling, assignment.due = false, now // the answer to the release is no longer needed
		}
		if assignment.calling || now.Before(assignment.due) || assignment.owner == nil {
			continue
		}
		if unsettled && (keeper.restored || assignment.phase == granting) {
			continue // others may hold the keys under lost records
		}
		if assignment.phase == revoking {
			keeper.revoke(assignment, now)
			continue
		}
		if incarnation := assignment.owner.incarnation(); mayRenew && !keeper.grantInFlight[incarnation] && keeper.isRegistered(*assignment.owner) {
			keeper.sendGrant(assignment, now)
		}
	}
}

// authorized reports whether the authority allows grants to be sent, and logs each
// change.
func (keeper *Keeper) authorized() bool {
	mayRenew := keeper.Authority.MayRenew()
	if mayRenew == keeper.suspended {
		keeper.suspended = !mayRenew
		keeper.Log.Warn("authority to grant keys changed", "service", keeper.Service, "term", keeper.Term, "mayGrant", mayRenew)
	}
	return mayRenew
}

// StaleRenewalsLeft returns for how long earlier brokers may still renew grants.
func (keeper *Keeper) StaleRenewalsLeft() time.Duration {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	return max(keeper.staleRenewalsUntil.Sub(keeper.Clock.Now()), 0)
}

// PreviousBrokerEnded says that the process that was the broker before this one has
// ended, and for how long the brokers before that one may still renew grants. If that
// is less than was assumed, the wait for earlier grants to expire becomes shorter.
func (keeper *Keeper) PreviousBrokerEnded(staleRenewals time.Duration) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	staleRenewalsUntil := keeper.Clock.Now().Add(staleRenewals)
	if !staleRenewalsUntil.Before(keeper.staleRenewalsUntil) {
		return
	}
	keeper.staleRenewalsUntil = staleRenewalsUntil
	// No grant that this process has sent so far expires later than that either.
	latest := staleRenewalsUntil.Add(maxGrantLifetime(grantTTL))
	for _, assignment := range keeper.assignments {
		assignment.latestExpiry = earlier(assignment.latestExpiry, latest)
		if assignment.previous != nil {
			assignment.previous.latestExpiry = earlier(assignment.previous.latestExpiry, latest)
		}
	}
	keeper.Log.Info("previous broker has ended", "service", keeper.Service, "term", keeper.Term, "grantsRunOutMs", latest.Sub(keeper.Clock.Now()).Milliseconds())
	keeper.signal()
}

// isRegistered reports whether this incarnation of the upstream is registered.
func (keeper *Keeper) isRegistered(owner Owner) bool {
	known, ok := keeper.upstreams[owner.ID]
	return ok && known.StartedAt == owner.StartedAt
}

// Owner implements broker.Owners.
func (keeper *Keeper) Owner(key int) broker.Ownership {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	index, found := slices.BinarySearchFunc(keeper.assignments, key, func(assignment *assignment, key int) int { return assignment.keys.From - key })
	if !found {
		index--
	}
	if index < 0 || keeper.assignments[index].owner == nil {
		return broker.Ownership{Pending: keeper.ledger == nil}
	}
	assignment := keeper.assignments[index]
	now := keeper.Clock.Now()
	ownership := broker.Ownership{Upstream: assignment.owner.ID}
	switch assignment.phase {
	case held:
		ownership.Held = now.Add(minRemainingTTL).Before(assignment.earliestExpiry)
		ownership.Pending = assignment.failures < 3
	case granting:
		ownership.Pending = assignment.failures < 3 && !keeper.waitsLong(now)
	case revoking:
		ownership.Pending = assignment.calling || assignment.released || assignment.previous.latestExpiry.Sub(now) < maxOwnerWait
	}
	return ownership
}

// waitsLong reports whether keys that nobody holds must wait for so long for the ledger to
// be settled that no requests are queued for them.
func (keeper *Keeper) waitsLong(now time.Time) bool {
	return keeper.unsettled() && (keeper.settlesAt.IsZero() || keeper.settlesAt.Sub(now) >= maxOwnerWait)
}

// addressReused reports whether another upstream has started at the owner's address.
// This proves that the owner has ended: the platform reassigns an address only after
// its upstream has ended. An entry of another writer can name the address of a running
// upstream, so it proves nothing while the owner itself is registered.
func (keeper *Keeper) addressReused(owner Owner) bool {
	other, ok := keeper.addresses[owner.Address]
	return ok && other.ID != owner.ID && other.StartedAt > owner.StartedAt && !keeper.isRegistered(owner)
}

// previousGrantsEnded reports whether all grants of the keys to the previous owner
// have ended without a confirmed release: the owner has ended, or they have expired.
func (keeper *Keeper) previousGrantsEnded(assignment *assignment, now time.Time) bool {
	return keeper.addressReused(assignment.previous.owner) || (!now.Before(assignment.previous.latestExpiry) && keeper.Authority.MayRelyOnExpiry())
}

// members returns the upstreams that keys may be assigned to, with their capacities.
func (keeper *Keeper) members(stats []broker.UpstreamStats, now time.Time) []partitioner.Member {
	unreachable := keeper.unreachable(now)
	var members []partitioner.Member
	for _, upstream := range stats {
		known, ok := keeper.upstreams[upstream.Upstream.ID]
		if !ok || known.Draining || known.Evacuated || known.StartedAt != upstream.Upstream.StartedAt {
			continue
		}
		incarnation := ownerOf(known).incarnation()
		if upstream.Measured {
			keeper.serviceTimes[incarnation] = upstream.ServiceTime
		}
		if !unreachable[incarnation] {
			members = append(members, partitioner.Member{ID: incarnation, Capacity: upstream.Capacity})
		}
	}
	slices.SortFunc(members, func(a, b partitioner.Member) int { return compareByHash(a.ID, b.ID) })
	return members
}

// unreachable returns the incarnations of owners whose last confirmed grant was sent
// longer than about unreachableAfter ago and to which calls fail since.
func (keeper *Keeper) unreachable(now time.Time) map[string]bool {
	unreachable := map[string]bool{}
	for _, assignment := range keeper.assignments {
		if assignment.owner != nil && assignment.failures > 0 && !assignment.earliestExpiry.IsZero() && now.Sub(assignment.earliestExpiry) > unreachableAfter-grantTTL {
			unreachable[assignment.owner.incarnation()] = true
		}
	}
	return unreachable
}
