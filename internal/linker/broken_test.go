package linker

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/carrier"
	"github.com/cuminstream/cuminstream/internal/standin/breaker"
	"github.com/cuminstream/cuminstream/pkg/answerer"
)

// brokenHead returns the error of a request that a peer answers with the head.
func brokenHead(t *testing.T, head responseHead) error {
	pool := newScriptedServer(t, func(link *connection) {
		_, _ = link.read()
		_ = link.write(encodeMessage(t, frame{Kind: kindResponseHead, Sequence: 1, Request: 1, Last: true}, head))
		_, _ = link.read() // until the client closes the link
	})
	_, err := pool.Forward(t.Context(), "b", &carrier.Request{Method: "POST"})
	return err
}

// Guards against an invalid header line that a VM passes on, for example because its program
// is of a version that did not check the upstream's response.
func TestInvalidFieldsOfAPeer(t *testing.T) {
	for _, line := range breaker.InvalidLines() {
		for _, head := range []responseHead{{Status: 200, Header: headerBlock(line + "\n")}, {Status: 200, Trailer: headerBlock(line + "\n")}} {
			err := brokenHead(t, head)
			assert.Check(t, answerer.From(err).Kind == answerer.OutcomeUnknown, "%q: %v", line, err)
		}
	}
}

// Guards against the same in the trailer after a body: the caller has got the body, and must
// not take it for all of the response.
func TestInvalidTrailerOfAPeer(t *testing.T) {
	for _, line := range breaker.InvalidLines() {
		pool := newScriptedServer(t, func(link *connection) {
			_, _ = link.read()
			_ = link.write(encodeMessage(t, frame{Kind: kindResponseHead, Sequence: 1, Request: 1}, responseHead{Status: 200, ContentLength: -1}))
			_ = link.write(encodeMessage(t, frame{Kind: kindResponseEnd, Sequence: 2, Request: 1}, bodyEnd{Trailer: headerBlock(line + "\n")}))
			_, _ = link.read()
		})
		response, err := pool.Forward(t.Context(), "b", &carrier.Request{Method: "POST"})
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.Check(t, answerer.From(err).Kind == answerer.CutBody, "%q: %v", line, err)
	}
}

// Guards against a status that is none and that a VM passes on. net/http panics when it
// writes one below 100.
func TestInvalidStatusOfAPeer(t *testing.T) {
	for _, status := range []int{0, 1, 99, 100, 101, 199, 600, 999, -200} {
		err := brokenHead(t, responseHead{Status: status})
		assert.Check(t, answerer.From(err).Kind == answerer.OutcomeUnknown, "status %d: %v", status, err)
	}
}

// Guards against a link that ends because of a request's trailer: net/http adds names that the
// request has not announced without a check.
func TestInvalidTrailerOfARequest(t *testing.T) {
	received := make(chan http.Header, 2)
	pool := &Pool{VM: "a", SharedKey: sharedKey, Directory: fixedAddress(startServer(t, &Server{Handler: trailerRecorder(received)}))}
	for _, length := range []int64{4, -1} {
		request := &carrier.Request{Method: "POST", ContentLength: length, Body: strings.NewReader("body"), Trailer: http.Header{"X": {"1"}, "X Y": {"2"}}}
		response, err := pool.Forward(t.Context(), "b", request)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.DeepEqual(t, <-received, http.Header{"X": {"1"}})
	}
}

// trailerRecorder is a handler that records the trailers of requests.
type trailerRecorder chan http.Header

func (recorder trailerRecorder) Handle(_ context.Context, request *carrier.Request) (*carrier.Response, error) {
	_, err := io.Copy(io.Discard, request.Body)
	recorder <- request.Trailer
	return &carrier.Response{Status: http.StatusOK}, err
}
