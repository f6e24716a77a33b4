package replicator

import (
	"context"
	"time"

	"github.com/cuminstream/cuminstream/pkg/deduper"
	"github.com/cuminstream/cuminstream/pkg/suspecter"
)

// Assignment says which upstream owns each shard and hot key of a group. It is
// immutable; With methods return changed copies.
type Assignment struct {
	Term    uint64            `cbor:"term" json:"term"`
	Version uint64            `cbor:"version" json:"version"`
	Shards  map[uint32]string `cbor:"shards" json:"shards"`
	HotKeys map[string]string `cbor:"hotKeys" json:"hotKeys"`
}

// Newer reports whether the assignment replaces other: a higher term wins, then
// a higher version.
func (assignment Assignment) Newer(other Assignment) bool {
	if assignment.Term != other.Term {
		return assignment.Term > other.Term
	}
	return assignment.Version > other.Version
}

// InFlight is a request that a former holder still finishes at an upstream. The
// new holder counts its slot as taken until the former one reports its end or
// the deadline passes.
type InFlight struct {
	ID        string        `cbor:"id"`
	Key       string        `cbor:"key"`
	Upstream  string        `cbor:"upstream"`
	Remaining time.Duration `cbor:"left"` // until the request's deadline
}

// State is everything that a new holder must know.
type State struct {
	Assignment Assignment        `cbor:"assignment"`
	Requests   []deduper.Entry   `cbor:"requests"`
	Suspects   []suspecter.Entry `cbor:"suspects"`
	InFlight   []InFlight        `cbor:"inFlight"`
	// StateLostAt is set when the group was formed anew after all candidates
	// were lost. Requests that may be repeats are then refused.
	StateLostAt time.Time `cbor:"memoryLost"`
}

// Entries is a change of the state that the holder copies to a majority.
type Entries struct {
	Assignment *Assignment       `cbor:"assignment,omitempty"`
	Requests   []deduper.Entry   `cbor:"requests,omitempty"`
	Suspects   []suspecter.Entry `cbor:"suspects,omitempty"`
	// Ended names requests of State.InFlight that have ended.
	Ended []string `cbor:"ended,omitempty"`
}

// Lease is the holder's right to send work to the upstreams of the group.
type Lease interface {
	Term() uint64
	// Valid reports whether the lease is held now, and until when on the local
	// clock. It is the last check before a write to an upstream.
	Valid() (until time.Time, ok bool)
	// Replicate returns once a majority of the candidates has stored the entries. An
	// error means that the entries may or may not have been stored.
	Replicate(ctx context.Context, entries Entries) error
}

// LeaseHandler is the group's dispatcher on this VM, told when the VM becomes or
// ceases to be the holder.
type LeaseHandler interface {
	// Begin is called with the merged state once a majority has it. The member
	// serves until End. An error gives the lease back.
	Begin(ctx context.Context, lease Lease, state State) error
	// End is called when the lease is lost or released. When planned is true,
	// the member stops starting work, and returns what is still in flight; it
	// finishes these requests afterwards.
	End(planned bool) []InFlight
}

// Record is the platform's object groups/<id>.
type Record struct {
	ID         string   `json:"id"`
	Candidates []string `json:"candidates"` // names of VMs, in order of preference
	// Previous is set while a candidate is being replaced: leases and copies
	// then need a majority of both lists.
	Previous []string `json:"previous,omitempty"`
	// BaseTerm is the lowest term of this list; term t belongs to candidate
	// t mod len(Candidates).
	BaseTerm uint64 `json:"baseTerm"`
	// RecreatedAt is when the group was formed anew without its former candidates.
	RecreatedAt time.Time `json:"formed"`
	// Revision rises by one with each write of the record.
	Revision uint64 `json:"revision"`
	WriteID  string `json:"writeId"`
}
