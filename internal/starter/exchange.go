package starter

import (
	"context"
	"fmt"

	"github.com/cuminstream/cuminstream/internal/linker"
	"github.com/cuminstream/cuminstream/internal/syncer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// callFetch asks another VM for the objects that the caller lacks.
const callFetch = "fetch"

// maxFetches bounds the calls of one exchange; the next heartbeat continues.
const maxFetches = 64

// exchange brings this VM's objects up to date from other VMs whose digest
// differs, so that few VMs need to watch the platform.
type exchange struct {
	store  *syncer.Store
	caller linker.Caller
	clock  clocker.Clock
}

func newExchange(store *syncer.Store, caller linker.Caller, clock clocker.Clock) *exchange {
	return &exchange{store: store, caller: caller, clock: clock}
}

// register answers the fetch calls of other VMs.
func (exchange *exchange) register(registrar linker.Registrar) {
	registrar.Handle(callFetch, func(_ context.Context, _ string, decode func(any) error) (any, error) {
		var summary map[string]uint64
		if err := decode(&summary); err != nil {
			return nil, fmt.Errorf("summary of a fetch: %w", err)
		}
		return exchange.store.NewerThan(summary), nil
	})
}

// pull fetches from the VM until it has nothing newer.
func (exchange *exchange) pull(ctx context.Context, vm string) {
	for range maxFetches {
		objects, err := exchange.fetch(ctx, vm)
		if err != nil || len(objects) == 0 || len(exchange.store.Merge(objects)) == 0 {
			return // a heartbeat of any VM starts another exchange
		}
	}
}

func (exchange *exchange) fetch(ctx context.Context, vm string) ([]syncer.Object, error) {
	ctx, cancel := clocker.WithTimeout(ctx, exchange.clock, exchangeTimeout)
	defer cancel()
	var objects []syncer.Object
	err := exchange.caller.Call(ctx, vm, callFetch, exchange.store.Summary(), &objects)
	return objects, err
}
