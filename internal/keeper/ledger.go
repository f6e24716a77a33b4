package keeper

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cuminstream/cuminstream/pkg/broker"
	"github.com/cuminstream/cuminstream/pkg/partitioner"
)

// Ledger is the durable record of the owners of the keys of a service. It is
// immutable.
type Ledger struct {
	Service string `json:"service"`
	// BootID identifies the process that wrote the ledger, as broker in the Term.
	BootID string `json:"boot"`
	Term   uint64 `json:"term"`
	// Writes is the number of the write, which increases with each ledger.
	Writes uint64 `json:"writes"`
	// LastFence is the highest fencing token ever recorded.
	LastFence uint64 `json:"lastFence"`
	// Era is the era of the store in which the ledger holds all grants that may be in
	// force. In a store of a later era, the ledger was restored from an old copy.
	Era    uint64  `json:"era,omitempty"`
	Owners []Owner `json:"owners,omitempty"`
	Shares []Share `json:"shares,omitempty"`
}

// Owner is one incarnation of an upstream: after a restart it is another owner.
type Owner struct {
	ID        string `json:"id"`
	StartedAt int64  `json:"born"` // Unix milliseconds
	Address   string `json:"address"`
	// ServiceTimeMs is the mean service time of a request at the upstream. It lets a
	// new broker assign keys by capacity before it has measured anything.
	ServiceTimeMs int64 `json:"workMs,omitempty"`
}

func ownerOf(upstream broker.Upstream) Owner {
	return Owner{ID: upstream.ID, StartedAt: upstream.StartedAt, Address: upstream.Address}
}

// incarnation identifies the owner in a partition.
func (owner Owner) incarnation() string { return fmt.Sprintf("%s@%d", owner.ID, owner.StartedAt) }

// Share assigns the keys from From up to the next share to an owner.
type Share struct {
	From  int
	Owner int // index in Owners, or noOwner
	Fence uint64
	// Previous is the owner whose grants of the keys must end first: an index in
	// Owners, or noOwner.
	Previous      int
	PreviousFence uint64
}

// noOwner is the index of an owner that does not exist.
const noOwner = -1

// MarshalJSON encodes the share as an array, because a ledger has hundreds of them.
func (share Share) MarshalJSON() ([]byte, error) {
	return json.Marshal([5]int64{int64(share.From), int64(share.Owner), int64(share.Fence), int64(share.Previous), int64(share.PreviousFence)})
}

// UnmarshalJSON decodes the array.
func (share *Share) UnmarshalJSON(data []byte) error {
	var fields [5]int64
	if err := json.Unmarshal(data, &fields); err != nil {
		return fmt.Errorf("share: %w", err)
	}
	*share = Share{From: int(fields[0]), Owner: int(fields[1]), Fence: uint64(fields[2]), Previous: int(fields[3]), PreviousFence: uint64(fields[4])}
	return nil
}

// DecodeLedger decodes a ledger and validates its shares.
func DecodeLedger(spec []byte) (*Ledger, error) {
	ledger := &Ledger{}
	if err := json.Unmarshal(spec, ledger); err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	for i, share := range ledger.Shares {
		switch {
		case i == 0 && share.From != 0, i > 0 && share.From <= ledger.Shares[i-1].From, share.From >= broker.KeyCount:
			return nil, fmt.Errorf("ledger of %q: share %d begins at key %d", ledger.Service, i, share.From)
		case share.Owner < noOwner || share.Owner >= len(ledger.Owners), share.Previous < noOwner || share.Previous >= len(ledger.Owners):
			return nil, fmt.Errorf("ledger of %q: share %d names an owner that is not listed", ledger.Service, i)
		}
	}
	return ledger, nil
}

// WithWriter returns a copy whose writer is the process, as broker in the term.
func (ledger *Ledger) WithWriter(bootID string, term uint64) *Ledger {
	changed := *ledger
	changed.BootID, changed.Term = bootID, term
	changed.Writes++
	return &changed
}

// Owner returns the recorded owner of the key.
func (ledger *Ledger) Owner(key int) (Owner, bool) {
	index, found := slices.BinarySearchFunc(ledger.Shares, key, func(share Share, key int) int { return share.From - key })
	if !found {
		index--
	}
	if index < 0 || ledger.Shares[index].Owner == noOwner {
		return Owner{}, false
	}
	return ledger.Owners[ledger.Shares[index].Owner], true
}

// partition returns the recorded partition, in which incarnations are the owners.
func (ledger *Ledger) partition() partitioner.Partition {
	partition := make(partitioner.Partition, 0, len(ledger.Shares))
	for _, share := range ledger.Shares {
		span := partitioner.Span{From: share.From}
		if share.Owner != noOwner {
			span.Owner = ledger.Owners[share.Owner].incarnation()
		}
		partition = append(partition, span)
	}
	return partition
}
