package dispatcher

import (
	"context"
	"fmt"
	"time"

	"github.com/cuminstream/cuminstream/internal/carrier"
	"github.com/cuminstream/cuminstream/internal/configurer"
)

// Upstreams is the adapter of the upstreams' protocol.
type Upstreams interface {
	// Send sends the request once and returns the answer as soon as its header
	// has arrived. A *NotSent error means that the upstream has provably not
	// started the request. After any other error it may have run.
	Send(ctx context.Context, upstream configurer.Upstream, request *carrier.Request, term uint64) (*carrier.Response, error)
	// Grant replaces or renews the upstream's grant. A *Refused error carries
	// an answer of the upstream; any other error means that there was none.
	Grant(ctx context.Context, upstream configurer.Upstream, grant Grant) (Reply, error)
	// Probe asks whether the upstream answers at all.
	Probe(ctx context.Context, upstream configurer.Upstream) (Reply, error)
}

// Grant is the right of an upstream to run requests of the listed shards and
// keys.
type Grant struct {
	Group string
	Term  uint64
	// Seq rises with each change of the content.
	Seq uint64
	// TTL counts from Stamp, the upstream's clock as its last answer showed it.
	TTL   time.Duration
	Stamp int64
	// Renew extends the grant of the same group, term and seq. The content is
	// then not sent again.
	Renew       bool
	Shards      []uint32
	Keys        []string // owned apart from their shard
	WithoutKeys []string // of the shards, owned by another upstream
}

// Reply is an upstream's answer to a grant or a probe.
type Reply struct {
	Stamp    int64
	Instance string // changes with each start of the upstream; may be empty
	Draining bool
	// Running are the requests that the upstream runs. It may be empty.
	Running []Running
}

// Running is a request that an upstream runs.
type Running struct {
	ID   string
	Key  string
	Left time.Duration // until the request's deadline
}

// Reason tells why a request was provably not started, or a grant refused.
type Reason string

// The reasons. Dial is given by the adapter, the others by the upstream.
const (
	Dial    Reason = "dial"    // no connection, or nothing was written to it
	Fenced  Reason = "fenced"  // a request or grant that the upstream's grant excludes
	Shed    Reason = "shed"    // the upstream is overloaded
	Late    Reason = "late"    // a grant that has expired on its way
	Unknown Reason = "unknown" // a renewal of a grant that the upstream does not hold
	Invalid Reason = "invalid" // the request cannot be expressed in the protocol
)

// NotSent is the error of a request that the upstream has provably not started.
type NotSent struct {
	Reason     Reason
	RetryAfter time.Duration
	Cause      error
}

// Error returns the reason and the cause.
func (err *NotSent) Error() string { return fmt.Sprintf("not started (%s): %v", err.Reason, err.Cause) }

// Unwrap returns the cause.
func (err *NotSent) Unwrap() error { return err.Cause }

// Refused is the error of a grant that the upstream answered and refused.
type Refused struct{ Reason Reason }

// Error returns the reason.
func (err *Refused) Error() string { return fmt.Sprintf("upstream refused the grant: %s", err.Reason) }
