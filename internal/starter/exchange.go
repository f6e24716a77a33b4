package starter

import (
	"context"
	"fmt"

	"github.com/cuminstream/cuminstream/internal/linker"
	"github.com/cuminstream/cuminstream/internal/syncer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// callFetchObjects asks another VM for the objects that the requesting VM lacks.
const callFetchObjects = "fetch"

// maxFetchesPerPull bounds the calls of one pull; the next heartbeat starts
// another pull.
const maxFetchesPerPull = 64

// exchange copies newer objects from VMs whose digest differs, so that only a few
// VMs need to watch the platform.
type exchange struct {
	store  *syncer.Store
	caller linker.Caller
	clock  clocker.Clock
}

func newExchange(store *syncer.Store, caller linker.Caller, clock clocker.Clock) *exchange {
	return &exchange{store: store, caller: caller, clock: clock}
}

// register installs the handler of fetch calls from other VMs.
func (exchange *exchange) register(registrar linker.Registrar) {
	registrar.Handle(callFetchObjects, func(_ context.Context, _ string, decode func(any) error) (any, error) {
		var summary map[string]uint64
		if err := decode(&summary); err != nil {
			return nil, fmt.Errorf("decode the summary of a fetch call: %w", err)
		}
		return exchange.store.NewerThan(summary), nil
	})
}

// pull fetches from the VM until it has nothing newer, a fetch fails, or
// maxFetchesPerPull is reached.
func (exchange *exchange) pull(ctx context.Context, vm string) {
	for range maxFetchesPerPull {
		objects, err := exchange.fetch(ctx, vm)
		if err != nil || len(objects) == 0 || len(exchange.store.Merge(objects)) == 0 {
			return // the next heartbeat from any VM starts another pull
		}
	}
}

// fetch returns objects of the VM that are newer than the local ones.
func (exchange *exchange) fetch(ctx context.Context, vm string) ([]syncer.Object, error) {
	ctx, cancel := clocker.WithTimeout(ctx, exchange.clock, exchangeTimeout)
	defer cancel()
	var objects []syncer.Object
	err := exchange.caller.Call(ctx, vm, callFetchObjects, exchange.store.Summary(), &objects)
	return objects, err
}
