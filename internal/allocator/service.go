package allocator

import (
	"context"
	"sync"
	"time"

	"github.com/cuminstream/cuminstream/internal/courier"
	"github.com/cuminstream/cuminstream/internal/keeper"
	"github.com/cuminstream/cuminstream/pkg/broker"
	"github.com/cuminstream/cuminstream/pkg/budgeter"
)

// service is the state of one service on this VM. The lock order is broker, keeper,
// service: the broker asks the keeper for owners, and the keeper asks the service for its
// authority.
type service struct {
	allocator *Allocator
	name      string
	keyed     bool
	broker    *broker.Broker

	mutex sync.Mutex
	// coldFor and coldRate are those of the configuration, see matcher.Service.
	coldFor  time.Duration
	coldRate float64
	// coldLogged are the cold upstreams that were logged last.
	coldLogged []string
	claim      storedClaim
	// claimSeenAt is when this VM learned of the current broker and term.
	claimSeenAt time.Time
	// ledger is the newest ledger known to this VM. ledgerFetchedAt is when the last fetch
	// began.
	ledger          *keeper.Ledger
	ledgerFetchedAt time.Time
	// leading is set while this process is the broker.
	leading       bool
	keeper        *keeper.Keeper
	stopKeeper    context.CancelFunc
	keeperStopped chan struct{} // closed when the keeper has stopped
	// inUse counts the slots in use by this VM, by issuer and upstream.
	inUse map[issuer]map[string]int
	// claiming is set during a takeover or another write of the claim. pendingTerm is the
	// claimed term from the write until the term starts, otherwise 0.
	claiming    bool
	pendingTerm uint64
	// verifiedAt is when the store last confirmed the claim of this process, and
	// acknowledgedAt when each VM last acknowledged this process as the broker.
	verifiedAt     time.Time
	verification   chan struct{} // closed at the end of the read of the claim in progress; nil if there is none
	acknowledgedAt map[string]time.Time
	// claimedAt is when this process wrote its claim in the era claimedIn, and confirmed
	// what other VMs have confirmed to it as the broker.
	claimedAt time.Time
	claimedIn uint64
	confirmed map[string]confirmation
	// known holds the highest values that this VM has read or heard of.
	known knownRecords
	// vacantSince is since when the service has had no broker, as far as this VM knows.
	vacantSince time.Time
}

// issuer identifies what assigned a slot: a broker in a term, or this VM itself if empty.
type issuer struct {
	vm   string
	term uint64
}

// newService returns the state of a new service. The mutex must be held.
func (allocator *Allocator) newService(name string, keyed bool) *service {
	created := &service{allocator: allocator, name: name, keyed: keyed, inUse: map[issuer]map[string]int{}}
	created.broker = &broker.Broker{
		Service: name, Clock: allocator.Clock,
		RetryBudget: budgeter.New(allocator.Clock, allocator.tunables.retryWindow, allocator.tunables.retryRatio*localRetryShare, localRetrySlack),
	}
	if keyed {
		created.broker.Owners = created
	}
	created.claim = allocator.claims[name]
	created.known.Term = created.claim.Term
	return created
}

// setUpstreams updates the broker and the keeper from the list of all upstreams.
func (service *service) setUpstreams(all []broker.Upstream) {
	own := service.ownUpstreams(all)
	service.broker.SetUpstreams(own)
	service.mutex.Lock()
	keeper := service.keeper
	service.mutex.Unlock()
	if keeper != nil {
		keeper.SetUpstreams(all)
	}
}

// ownUpstreams returns the upstreams of this service.
func (service *service) ownUpstreams(all []broker.Upstream) []broker.Upstream {
	var own []broker.Upstream
	for _, upstream := range all {
		if upstream.Service == service.name {
			own = append(own, upstream)
		}
	}
	return own
}

// Owner implements broker.Owners. A VM that is not the broker uses the ledger, which may
// be outdated: upstreams refuse requests for keys that they do not hold.
func (service *service) Owner(key int) broker.Ownership {
	service.mutex.Lock()
	own, ledger, leading := service.keeper, service.ledger, service.leading
	service.mutex.Unlock()
	if leading && own != nil {
		return own.Owner(key)
	}
	if ledger == nil {
		return broker.Ownership{}
	}
	owner, ok := ledger.Owner(key)
	return broker.Ownership{Upstream: owner.ID, Held: ok, Pending: ok}
}

// brokerVM returns the VM that is the broker and its term, or "" if there is none.
func (service *service) brokerVM() (vm string, term uint64) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if service.claim.Broker == service.allocator.VM && !service.leading {
		return "", 0 // an earlier process of this VM, or this one while it stops
	}
	return service.claim.Broker, service.claim.Term
}

// ledTerm returns the term in which this process is the broker or is about to become it.
func (service *service) ledTerm() (term uint64, ok bool) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if service.leading {
		return service.claim.Term, true
	}
	return service.pendingTerm, service.pendingTerm > 0
}

// isBroker reports whether this process is the broker.
func (service *service) isBroker() bool {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return service.leading
}

// addSlot adds an assigned slot to inUse.
func (service *service) addSlot(slot courier.Slot) {
	if slot.Ticket == 0 {
		return
	}
	service.mutex.Lock()
	defer service.mutex.Unlock()
	from := issuer{slot.Broker, slot.Term}
	if service.inUse[from] == nil {
		service.inUse[from] = map[string]int{}
	}
	service.inUse[from][slot.Upstream.ID]++
}

// removeSlot removes a slot that addSlot added.
func (service *service) removeSlot(slot courier.Slot) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	from := issuer{slot.Broker, slot.Term}
	counts := service.inUse[from]
	if counts == nil {
		return
	}
	if counts[slot.Upstream.ID]--; counts[slot.Upstream.ID] <= 0 {
		delete(counts, slot.Upstream.ID)
	}
	if len(counts) == 0 {
		delete(service.inUse, from)
	}
}

// foreignSlots counts the slots in use by this VM that the current broker has not
// assigned, by upstream.
func (service *service) foreignSlots() map[string]int {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	current := issuer{service.claim.Broker, service.claim.Term}
	var counts map[string]int
	for from, upstreams := range service.inUse {
		if from == current {
			continue
		}
		if service.leading && from.vm == "" {
			continue // assigned by the same broker.Broker before this process led
		}
		for upstream, count := range upstreams {
			if counts == nil {
				counts = map[string]int{}
			}
			counts[upstream] += count
		}
	}
	return counts
}
