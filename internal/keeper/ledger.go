package keeper

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cuminstream/cuminstream/pkg/broker"
	"github.com/cuminstream/cuminstream/pkg/partitioner"
)

// Ledger is the durable record of who owns the keys of a service. It is not
// changed once built.
type Ledger struct {
	Service string `json:"service"`
	// BootID is the process that wrote the ledger, as broker in the Term.
	BootID string `json:"boot"`
	Term   uint64 `json:"term"`
	// Writes counts the writes of the ledger.
	Writes uint64 `json:"writes"`
	// LastFence is the highest fence that was ever recorded.
	LastFence uint64  `json:"lastFence"`
	Owners    []Owner `json:"owners,omitempty"`
	Shares    []Share `json:"shares,omitempty"`
}

// Owner is one life of an upstream.
type Owner struct {
	ID        string `json:"id"`
	StartedAt int64  `json:"born"`
	Address   string `json:"address"`
	// ServiceTimeMs is the mean time of one request there, so that a next broker places
	// keys by speed from its first moment on.
	ServiceTimeMs int64 `json:"workMs,omitempty"`
}

func ownerOf(upstream broker.Upstream) Owner {
	return Owner{ID: upstream.ID, StartedAt: upstream.StartedAt, Address: upstream.Address}
}

// name identifies the life of the upstream in a partition.
func (owner Owner) name() string { return fmt.Sprintf("%s@%d", owner.ID, owner.StartedAt) }

// Share gives the keys from From up to the next share to an owner.
type Share struct {
	From  int
	Owner int // index in Owners, or noOwner
	Fence uint64
	// Previous is the owner that must release the keys first, or noOwner.
	Previous      int
	PreviousFence uint64
}

const noOwner = -1

// MarshalJSON writes the share as an array, because a ledger has hundreds of them.
func (share Share) MarshalJSON() ([]byte, error) {
	return json.Marshal([5]int64{int64(share.From), int64(share.Owner), int64(share.Fence), int64(share.Previous), int64(share.PreviousFence)})
}

// UnmarshalJSON reads the array.
func (share *Share) UnmarshalJSON(data []byte) error {
	var fields [5]int64
	if err := json.Unmarshal(data, &fields); err != nil {
		return fmt.Errorf("share: %w", err)
	}
	*share = Share{From: int(fields[0]), Owner: int(fields[1]), Fence: uint64(fields[2]), Previous: int(fields[3]), PreviousFence: uint64(fields[4])}
	return nil
}

// DecodeLedger reads a ledger and checks that its shares can be used.
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

// WithWriter returns a copy that is written by the process in the term.
func (ledger *Ledger) WithWriter(boot string, term uint64) *Ledger {
	changed := *ledger
	changed.BootID, changed.Term = boot, term
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

// partition returns the owners by name.
func (ledger *Ledger) partition() partitioner.Partition {
	partition := make(partitioner.Partition, 0, len(ledger.Shares))
	for _, share := range ledger.Shares {
		span := partitioner.Span{From: share.From}
		if share.Owner != noOwner {
			span.Owner = ledger.Owners[share.Owner].name()
		}
		partition = append(partition, span)
	}
	return partition
}
