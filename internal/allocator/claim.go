package allocator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cuminstream/cuminstream/internal/storer"
)

// KindBrokers is the object kind of the claims in the store.
const KindBrokers = "cuminstream-brokers"

// Claim records which VM is the broker of a service. Broker is empty after a
// resignation.
type Claim struct {
	Broker string `json:"broker"`
	BootID string `json:"boot"`
	Term   uint64 `json:"term"`
	// Era is the era of the store in which the claim was written. In a store of a later
	// era, the claim was restored from an old copy.
	Era uint64 `json:"era,omitempty"`
	// StaleRenewalMs is the time in milliseconds after this broker's resignation for
	// which earlier brokers may have continued to renew grants.
	StaleRenewalMs int64 `json:"exposedMs,omitempty"`
}

// storedClaim is a claim with its version in the store.
type storedClaim struct {
	Claim
	version storer.Version
}

func decodeClaim(object storer.Object) (storedClaim, error) {
	claim := storedClaim{version: object.Version()}
	if err := json.Unmarshal(object.Spec, &claim.Claim); err != nil {
		return claim, fmt.Errorf("decode claim of service %q: %w", object.Name, err)
	}
	return claim, nil
}

// writeClaim replaces the former claim in the store. If the outcome of the write is
// unknown, it reads the claim back, because the write may have taken effect.
func (service *service) writeClaim(ctx context.Context, former storedClaim, next Claim) (version storer.Version, ok bool) {
	allocator := service.allocator
	var object storer.Object
	var err error
	if former.version.Revision == 0 {
		object, err = allocator.Store.Create(ctx, KindBrokers, service.name, next)
	} else {
		object, err = allocator.Store.Replace(ctx, KindBrokers, service.name, former.version, next)
	}
	if err == nil && object.Era == next.Era {
		return object.Version(), true
	}
	if storer.HasCurrentObject(object, err) {
		err = nil
	} else if !errors.Is(err, storer.ErrRefused) {
		object, err = allocator.Store.Get(ctx, KindBrokers, service.name)
	}
	if err != nil {
		allocator.Log.Info("failed to write claim", "service", service.name, "error", err.Error())
		return storer.Version{}, false
	}
	stored, err := decodeClaim(object)
	if err == nil && stored.Claim == next && object.Era == next.Era {
		return object.Version(), true
	}
	allocator.handleClaim(object)
	return storer.Version{}, false
}
