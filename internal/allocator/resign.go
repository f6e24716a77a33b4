package allocator

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

const (
	// storeProbeTimeout bounds a call that checks before a resignation whether the store
	// answers, which takes milliseconds when the store is healthy. storeProbeInterval is
	// the wait after a failed check.
	storeProbeTimeout  = 400 * time.Millisecond
	storeProbeInterval = 250 * time.Millisecond
)

// resign resigns as broker of all services, so that other VMs take over.
func (allocator *Allocator) resign(ctx context.Context) {
	allocator.mutex.Lock()
	allocator.stopping = true
	allocator.mutex.Unlock()
	ctx, cancel := clocker.WithTimeout(ctx, allocator.Clock, allocator.StopTimeout)
	defer cancel()
	var resigning errgroup.Group
	for _, service := range allocator.allServices() {
		resigning.Go(func() error {
			service.resign(ctx)
			return nil
		})
	}
	_ = resigning.Wait() // the functions return no error
}

// ownClaim returns the service's claim and whether it names this process as the broker.
func (service *service) ownClaim() (claim storedClaim, ok bool) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	claim = service.claim
	return claim, claim.Broker == service.allocator.VM && claim.BootID == service.allocator.BootID
}

// awaitStore returns once the store answers, the service has another broker, or ctx ends.
// Without the store no other VM could take over, and the keys would lose their owners as
// soon as their grants expire.
func (service *service) awaitStore(ctx context.Context) {
	allocator := service.allocator
	for ctx.Err() == nil {
		if _, ok := service.ownClaim(); !ok {
			return
		}
		bound, cancel := clocker.WithTimeout(ctx, allocator.Clock, storeProbeTimeout)
		_, err := allocator.Store.Get(bound, KindBrokers, service.name)
		cancel()
		if err == nil {
			return
		}
		allocator.Log.Warn("resignation delayed: the store does not answer", "service", service.name, "error", err.Error())
		_ = clocker.Sleep(ctx, allocator.Clock, storeProbeInterval) // the loop checks ctx
	}
}

// resign ends this process's work as broker and records the resignation in the store.
func (service *service) resign(stop context.Context) {
	allocator := service.allocator
	service.awaitStore(stop)
	claim, ok := service.ownClaim()
	if !ok {
		return
	}
	stale := service.stopGranting()
	service.mutex.Lock()
	service.leading = false
	service.mutex.Unlock()
	ctx, cancel := clocker.WithTimeout(context.Background(), allocator.Clock, time.Second)
	defer cancel()
	vacant := Claim{BootID: allocator.BootID, Term: claim.Term, Era: claim.Era, StaleRenewalMs: stale.Milliseconds()}
	version, ok := service.writeClaim(ctx, claim, vacant)
	if !ok {
		allocator.Log.Warn("failed to write resignation as broker", "service", service.name, "term", claim.Term)
		return
	}
	allocator.Log.Info("resigned as broker", "service", service.name, "term", claim.Term)
	service.applyClaim(storedClaim{vacant, version})
}
