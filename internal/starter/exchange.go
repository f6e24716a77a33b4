package starter

import (
	"context"
	"fmt"
	"sync"

	"github.com/cuminstream/cuminstream/internal/linker"
	"github.com/cuminstream/cuminstream/internal/syncer"
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

	mutex  sync.Mutex
	active bool
}

func newExchange(store *syncer.Store, caller linker.Caller) *exchange {
	return &exchange{store: store, caller: caller}
}

// register answers the fetch calls of other VMs.
func (exchange *exchange) register(registrar linker.Registrar) {
	registrar.Handle(callFetch, func(_ context.Context, _ string, decode func(any) error) (any, error) {
		var summary map[string]uint64
		if err := decode(&summary); err != nil {
			return nil, fmt.Errorf("summary of a fetch: %w", err)
		}
		return exchange.store.Newer(summary), nil
	})
}

// begin reports whether an exchange with the digest's sender is due. Only one
// runs at a time, so that a burst of heartbeats causes a single fetch.
func (exchange *exchange) begin(digest uint64) bool {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	if exchange.active || digest == exchange.store.Digest() {
		return false
	}
	exchange.active = true
	return true
}

// pull fetches from the VM until it has nothing newer.
func (exchange *exchange) pull(ctx context.Context, vm string) {
	defer func() {
		exchange.mutex.Lock()
		exchange.active = false
		exchange.mutex.Unlock()
	}()
	for range maxFetches {
		var objects []syncer.Object
		if err := exchange.caller.Call(ctx, vm, callFetch, exchange.store.Summary(), &objects); err != nil {
			return // the next heartbeat of any VM starts another exchange
		}
		if len(objects) == 0 || len(exchange.store.Merge(objects)) == 0 {
			return
		}
	}
}
