package allocator

import (
	"encoding/json"
	"fmt"

	"github.com/cuminstream/cuminstream/internal/storer"
)

// KindBrokers is the kind of the claims in the store.
const KindBrokers = "cuminstream-brokers"

// Claim is the record of a service's broker. Broker is empty after it has resigned.
type Claim struct {
	Broker string `json:"broker"`
	BootID string `json:"boot"`
	Term   uint64 `json:"term"`
	// StaleRenewalMs is the time in milliseconds, counted from the broker's
	// resignation, during which earlier brokers may have gone on renewing grants.
	StaleRenewalMs int64 `json:"exposedMs,omitempty"`
}

// storedClaim is a claim with its revision in the store.
type storedClaim struct {
	Claim
	revision uint64
}

func decodeClaim(object storer.Object) (storedClaim, error) {
	claim := storedClaim{revision: object.Revision}
	if err := json.Unmarshal(object.Spec, &claim.Claim); err != nil {
		return claim, fmt.Errorf("claim of service %q: %w", object.Name, err)
	}
	return claim, nil
}
