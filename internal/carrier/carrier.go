package carrier

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cuminstream/cuminstream/pkg/queuer"
)

// Request is a caller's request with the parameters that the router derived from
// the configuration of its service.
type Request struct {
	// ID identifies the request across retries by its caller. It is empty for an
	// idempotent request whose caller sent none.
	ID         string
	Service    string
	Group      string
	Key        string
	Shard      uint32
	Rank       queuer.Rank
	Idempotent bool
	// Deadline refers to the local clock. Links transmit the remaining time.
	Deadline time.Time
	// Fingerprint is a hash of the service, method, target and body. Of a body that
	// the router does not buffer, it covers only the length or the start.
	Fingerprint uint64

	Method string
	// Target is the path with the query, as the caller sent it.
	Target        string
	Host          string
	Header        http.Header
	ContentLength int64 // -1 when unknown
	// Body is nil if the request has none. A Body that also implements io.Seeker
	// can be read again for a retry.
	Body io.Reader
	// Trailer is filled once Body has been read to its end.
	Trailer http.Header
}

// Response is an upstream's response. Body.Read returns an error of kind
// answerer.CutBody if the body ended early.
type Response struct {
	Status        int
	Header        http.Header
	ContentLength int64 // -1 when unknown
	Body          io.ReadCloser
	// Trailer is filled once Body has been read to its end.
	Trailer http.Header
}

// Handler responds to requests. Every error is an *answerer.Error; if its kind has
// NotRun set, the request provably did not start at an upstream. The caller of
// Handle closes the response's body.
type Handler interface {
	Handle(ctx context.Context, request *Request) (*Response, error)
}
