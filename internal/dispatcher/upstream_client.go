package dispatcher

import (
	"context"
	"fmt"
	"time"

	"github.com/cuminstream/cuminstream/internal/carrier"
	"github.com/cuminstream/cuminstream/internal/configurer"
)

// UpstreamClient sends requests, grants and probes to upstreams over their
// protocol.
type UpstreamClient interface {
	// Send sends the request once and returns the response as soon as its
	// header has arrived. A *NotStartedError means that the upstream has
	// provably not started the request. After any other error the request may
	// have run.
	Send(ctx context.Context, upstream configurer.Upstream, request *carrier.Request, term uint64) (*carrier.Response, error)
	// Grant replaces or renews the upstream's grant. A *GrantRefusedError means
	// that the upstream replied and refused the grant. After any other error
	// there was no usable reply.
	Grant(ctx context.Context, upstream configurer.Upstream, grant Grant) (ControlReply, error)
	// Probe checks whether the upstream replies at all.
	Probe(ctx context.Context, upstream configurer.Upstream) (ControlReply, error)
}

// Grant permits an upstream to run requests of the listed shards and keys until
// it expires.
type Grant struct {
	Group string
	Term  uint64
	// Seq increases with each change of the content.
	Seq uint64
	// TTL counts from Timestamp, which is the reading of the upstream's clock
	// in its last reply.
	TTL       time.Duration
	Timestamp int64
	// Renew extends the grant of the same group, term and seq without sending
	// its content again.
	Renew        bool
	Shards       []uint32
	Keys         []string // hot keys assigned separately from their shard
	ExcludedKeys []string // hot keys of Shards that other upstreams own
}

// ControlReply is an upstream's reply to a grant or a probe.
type ControlReply struct {
	Timestamp int64
	Instance  string // changes with each start of the upstream's process; may be empty
	Draining  bool
	// Running lists the requests that the upstream is running. An upstream need
	// not report them.
	Running []RunningRequest
}

// RunningRequest is a request that an upstream reports as running.
type RunningRequest struct {
	ID        string
	Key       string
	Remaining time.Duration // until the request's deadline
}

// Reason is why a request was provably not started, or why a grant was refused.
type Reason string

// The client sets ReasonDial and ReasonInvalid itself. The other reasons come
// from the upstream.
const (
	ReasonDial         Reason = "dial"    // connecting failed, or nothing was written to the connection
	ReasonFenced       Reason = "fenced"  // the upstream's current grant does not permit the request or the new grant
	ReasonShed         Reason = "shed"    // the upstream is overloaded
	ReasonGrantExpired Reason = "late"    // the grant expired before it arrived
	ReasonUnknownGrant Reason = "unknown" // the renewed grant is not the one that the upstream holds
	ReasonInvalid      Reason = "invalid" // the request cannot be expressed in the protocol
)

// NotStartedError means that the upstream has provably not started a request.
type NotStartedError struct {
	Reason     Reason
	RetryAfter time.Duration
	Cause      error
}

// Error returns the reason and the cause.
func (err *NotStartedError) Error() string {
	return fmt.Sprintf("not started (%s): %v", err.Reason, err.Cause)
}

// Unwrap returns the cause.
func (err *NotStartedError) Unwrap() error { return err.Cause }

// GrantRefusedError means that the upstream replied and refused a grant.
type GrantRefusedError struct{ Reason Reason }

// Error returns the reason.
func (err *GrantRefusedError) Error() string {
	return fmt.Sprintf("upstream refused the grant: %s", err.Reason)
}
