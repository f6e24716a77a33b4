package allocator

import (
	"context"

	"github.com/cuminstream/cuminstream/internal/keeper"
)

// beginLedgerFetch reports whether the ledger is due to be read, and if so records the
// time. A VM that is not the broker needs the owners of the keys in case the broker is
// lost.
func (service *service) beginLedgerFetch() bool {
	if !service.keyed || service.allocator.storeLostFor() > 0 {
		return false
	}
	vm, _ := service.brokerVM()
	wait := ledgerRefreshInterval
	if vm == "" || (vm != service.allocator.VM && !service.allocator.isReachable(vm)) {
		wait = ledgerRefreshWithoutBroker
	}
	now := service.allocator.Clock.Now()
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if service.leading || service.claim.Term == 0 || now.Sub(service.ledgerFetchedAt) < wait {
		return false
	}
	service.ledgerFetchedAt = now
	return true
}

// fetchLedger reads the ledger with a stale list, which costs less. Outdated owners are
// acceptable because upstreams refuse requests for keys that they no longer hold.
func (service *service) fetchLedger(ctx context.Context) {
	objects, _, err := service.allocator.Store.ListStale(ctx, keeper.KindLedgers)
	if err != nil {
		service.allocator.Log.Info("failed to read ledger", "service", service.name, "error", err.Error())
		return
	}
	for _, object := range objects {
		if object.Name != service.name {
			continue
		}
		ledger, err := keeper.DecodeLedger(object.Spec)
		if err != nil {
			service.allocator.Log.Warn("invalid ledger", "service", service.name, "revision", object.Revision, "error", err.Error())
			return
		}
		service.setLedger(ledger)
	}
}

// setLedger replaces the ledger unless the known one is newer.
func (service *service) setLedger(ledger *keeper.Ledger) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.known.LastFence, service.known.Writes = max(service.known.LastFence, ledger.LastFence), max(service.known.Writes, ledger.Writes)
	if service.ledger == nil || ledger.Writes >= service.ledger.Writes {
		service.ledger = ledger
	}
}
