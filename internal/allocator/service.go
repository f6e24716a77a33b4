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

// service is one service at this VM. Lock order: broker, keeper, service: the broker
// asks the keeper for owners, and the keeper asks the service for its authority.
type service struct {
	allocator *Allocator
	name      string
	keyed     bool
	broker    *broker.Broker

	mutex sync.Mutex
	claim storedClaim
	// claimSeenAt is since when this VM knows who is the broker.
	claimSeenAt time.Time
	// ledger is the last one that this VM has read, fetchedAt when it did.
	ledger          *keeper.Ledger
	ledgerFetchedAt time.Time
	// leading is set while this process is the broker.
	leading       bool
	keeper        *keeper.Keeper
	stopKeeper    context.CancelFunc
	keeperStopped chan struct{} // closed when the keeper has ended
	// inUse counts the slots in use by this VM, by who assigned them.
	inUse map[issuer]map[string]int
	// claiming is set while a claim is under way, assumed is its term once it is
	// written.
	claiming    bool
	pendingTerm uint64
	// verifiedAt is when the claim in the store last named this process, and
	// followers are the VMs that take it for the broker, with their last report.
	verifiedAt     time.Time
	verifying      bool
	acknowledgedAt map[string]time.Time
	// vacantSince is since when this VM has seen the service without a broker.
	vacantSince time.Time
}

// issuer is who assigned a slot: a broker in a term, or this VM itself.
type issuer struct {
	vm   string
	term uint64
}

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
	created.setUpstreams(allocator.upstreams)
	return created
}

// setUpstreams passes on the upstreams of the service.
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

// Owner implements broker.Owners. A VM that is not the broker goes by the
// ledger: the upstream itself refuses requests for keys that it does not hold.
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

// brokerVM returns the broker's VM and its term.
func (service *service) brokerVM() (vm string, term uint64) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if service.claim.Broker == service.allocator.VM && !service.leading {
		return "", 0 // an earlier process of this VM, or this one while it stops
	}
	return service.claim.Broker, service.claim.Term
}

// ledTerm returns the term in which this process is the broker, or is about to be.
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

// addSlot counts a slot that this VM uses.
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

// removeSlot takes back what began counted.
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
// assigned.
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
			continue // assigned by the same broker object before it led
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
