package allocator

import (
	"encoding/json"
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
