package carrier

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cuminstream/cuminstream/pkg/queuer"
)

// Request is a caller's request after the router has applied the rules of its
// service.
type Request struct {
	// ID names the request across repeats by its caller. It is empty for an
	// idempotent request whose caller gave none.
	ID         string
	Service    string
	Group      string
	Key        string
	Shard      uint32
	Rank       queuer.Rank
	Idempotent bool
	// Deadline is on the local clock. Links transfer the remaining time.
	Deadline time.Time
	// Fingerprint identifies requests with the same method, path and body.
	Fingerprint uint64

	Method string
	// Target is the path with the query, as the caller sent it.
	Target        string
	Host          string
	Header        http.Header
	ContentLength int64 // -1 when unknown
	// Body is nil when there is none. A Body that also implements io.Seeker
	// can be read again for another attempt.
	Body io.Reader
	// Trailer is filled once Body has been read to its end.
	Trailer http.Header
}

// Response is an upstream's answer. Body.Read returns an error of kind
// answerer.CutBody when the answer ended early.
type Response struct {
	Status        int
	Header        http.Header
	ContentLength int64 // -1 when unknown
	Body          io.ReadCloser
	// Trailer is filled once Body has been read to its end.
	Trailer http.Header
}

// Handler answers requests. An error is always an *answerer.Error. A request
// that ended with an answerer kind of NotRun has provably not started at an
// upstream. The caller of Handle closes the response's body.
type Handler interface {
	Handle(ctx context.Context, request *Request) (*Response, error)
}
