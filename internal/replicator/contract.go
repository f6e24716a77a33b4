package replicator

import (
	"context"
	"time"

	"github.com/cuminstream/cuminstream/pkg/deduper"
	"github.com/cuminstream/cuminstream/pkg/suspecter"
)

// Assignment maps each shard and each hot key of a group to the upstream that
// owns it. It must not be changed once it is shared; changes are made to a copy.
type Assignment struct {
	Term    uint64            `cbor:"term" json:"term"`
	Version uint64            `cbor:"version" json:"version"`
	Shards  map[uint32]string `cbor:"shards" json:"shards"`
	HotKeys map[string]string `cbor:"hotKeys" json:"hotKeys"`
}

// Newer reports whether the assignment replaces other. The higher term wins; with
// equal terms, the higher version wins.
func (assignment Assignment) Newer(other Assignment) bool {
	if assignment.Term != other.Term {
		return assignment.Term > other.Term
	}
	return assignment.Version > other.Version
}

// InFlight is a request that a previous holder has sent to an upstream and still
// waits for. The new holder counts its slot as occupied until the previous holder
// reports the end of the request or the deadline passes.
type InFlight struct {
	ID        string        `cbor:"id"`
	Key       string        `cbor:"key"`
	Upstream  string        `cbor:"upstream"`
	Remaining time.Duration `cbor:"left"` // until the request's deadline
}

// State is the replicated state of a group, which a new holder starts from.
type State struct {
	Assignment Assignment        `cbor:"assignment"`
	Requests   []deduper.Entry   `cbor:"requests"`
	Suspects   []suspecter.Entry `cbor:"suspects"`
	InFlight   []InFlight        `cbor:"inFlight"`
	// StateLostAt is the time at which the group was recreated because no
	// quorum of candidates with its state was left, or zero. Requests that may
	// be repetitions are refused then, because their outcomes are not known.
	StateLostAt time.Time `cbor:"memoryLost"`
}

// Entries is a change of the state, which the holder replicates to a majority.
type Entries struct {
	Assignment *Assignment       `cbor:"assignment,omitempty"`
	Requests   []deduper.Entry   `cbor:"requests,omitempty"`
	Suspects   []suspecter.Entry `cbor:"suspects,omitempty"`
	// Ended holds the IDs of requests in State.InFlight that have ended.
	Ended []string `cbor:"ended,omitempty"`
}

// Lease is the exclusive right to send work to the upstreams of a group, held
// under one term.
type Lease interface {
	Term() uint64
	// Valid reports whether the lease is held now, and when it expires on the local
	// clock. It must be the last check before a write to an upstream.
	Valid() (until time.Time, ok bool)
	// Replicate returns once a majority of the candidates has stored the entries.
	// After an error, they may or may not have been stored.
	Replicate(ctx context.Context, entries Entries) error
}

// LeaseHandler is called when this VM gains or loses the lease of a group. The
// dispatcher of the group implements it.
type LeaseHandler interface {
	// Begin is called with the merged state once a majority has stored it. The
	// handler serves the group from then until End. An error releases the lease.
	Begin(ctx context.Context, lease Lease, state State) error
	// End is called when the lease is lost or released. If planned is true, the
	// handler sends no more work to upstreams and returns the requests that are in
	// flight, which it finishes afterwards.
	End(planned bool) []InFlight
}

// Record is the stored record of a group, which names its candidates. It is the
// object groups/<id> on the platform.
type Record struct {
	ID         string   `json:"id"`
	Candidates []string `json:"candidates"` // names of VMs, in order of preference
	// Previous is the former list while candidates are being replaced or added.
	// Leases and replicated entries then need a majority of both lists.
	Previous []string `json:"previous,omitempty"`
	// BaseTerm is the lowest term under this record. Term t belongs to the candidate
	// with index t mod len(Candidates).
	BaseTerm uint64 `json:"baseTerm"`
	// RecreatedAt is when the group was recreated after its state was lost, or zero.
	RecreatedAt time.Time `json:"formed"`
	// Revision increases by one with each write of the record.
	Revision uint64 `json:"revision"`
	// WriteID identifies the write, so that its author can recognize it after the
	// answer was lost.
	WriteID string `json:"writeId"`
}
