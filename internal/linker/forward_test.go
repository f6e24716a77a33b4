package linker_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/carrier"
	"github.com/cuminstream/cuminstream/pkg/answerer"
	"github.com/cuminstream/cuminstream/pkg/queuer"
)

// Guards against a field of the request or the response that is not transferred,
// with the body in the same message as the head and with a streamed body.
func TestForwardCarriesEveryField(t *testing.T) {
	for _, size := range []int{0, 10, 64 << 10, 300 << 10} {
		fixture := newFixture(t, func(_ context.Context, request *carrier.Request) (*carrier.Response, error) {
			body, err := io.ReadAll(request.Body)
			assert.NilError(t, err)
			assert.Equal(t, len(body), size)
			assert.Equal(t, request.Trailer.Get("Checksum"), "abc")
			assert.Assert(t, time.Until(request.Deadline) > 5*time.Second && time.Until(request.Deadline) <= 10*time.Second)
			received := *request
			received.Body, received.Deadline, received.Trailer = nil, time.Time{}, nil
			assert.DeepEqual(t, received, carrier.Request{
				ID: "id", Service: "quotes", Group: "quotes.z1.0", Key: "kumasi", Shard: 7, Rank: queuer.Upload,
				Idempotent: true, Fingerprint: 1 << 63, Method: "PUT", Target: "/a?b=c", Host: "example.test",
				Header: http.Header{"X-A": {"1", "2"}}, ContentLength: request.ContentLength,
			})
			response := answer(201, string(body))
			response.Trailer = http.Header{"Done": {"yes"}}
			return response, nil
		}).start(t)
		for _, length := range []int64{int64(size), -1} {
			response, err := fixture.forward(t, &carrier.Request{
				ID: "id", Service: "quotes", Group: "quotes.z1.0", Key: "kumasi", Shard: 7, Rank: queuer.Upload,
				Idempotent: true, Fingerprint: 1 << 63, Method: "PUT", Target: "/a?b=c", Host: "example.test",
				Header: http.Header{"X-A": {"1", "2"}}, ContentLength: length, Deadline: time.Now().Add(10 * time.Second),
				Body: strings.NewReader(strings.Repeat("x", size)), Trailer: http.Header{"Checksum": {"abc"}},
			})
			assert.NilError(t, err)
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, len(body), size)
			assert.Equal(t, response.Status, 201)
			assert.Equal(t, response.ContentLength, int64(size))
			assert.Equal(t, response.Trailer.Get("Done"), "yes")
			assert.NilError(t, response.Body.Close())
		}
	}
}

// Guards against an error that loses its kind, message or retry-after on a link.
func TestForwardCarriesErrors(t *testing.T) {
	fixture := newFixture(t, func(context.Context, *carrier.Request) (*carrier.Response, error) {
		return nil, answerer.New(answerer.NotRunOverloaded, "queue is full").WithRetryAfter(3 * time.Second)
	}).start(t)
	for range 3 {
		_, err := fixture.forward(t, &carrier.Request{Method: "GET", Target: "/"})
		assert.Equal(t, kindOf(err), answerer.NotRunOverloaded)
		assert.Equal(t, answerer.From(err).RetryAfter, 3*time.Second)
		assert.Equal(t, answerer.From(err).Message, "queue is full")
	}
}

// Guards against a response that waits for the rest of the request body, and
// against a link that cannot be reused afterwards.
func TestResponseBeforeEndOfRequestBody(t *testing.T) {
	fixture := newFixture(t, func(context.Context, *carrier.Request) (*carrier.Response, error) {
		return answer(413, "too large"), nil
	}).start(t)
	for range 5 {
		reader, writer := io.Pipe()
		response, err := fixture.forward(t, &carrier.Request{Method: "POST", Target: "/", ContentLength: -1, Body: reader})
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "too large")
		writer.Close()
	}
}

// Guards against a truncated response body that looks complete.
func TestCutResponseBody(t *testing.T) {
	for _, length := range []int64{100, -1} {
		fixture := newFixture(t, func(context.Context, *carrier.Request) (*carrier.Response, error) {
			body := io.MultiReader(strings.NewReader("part"), iotest.ErrReader(errors.New("upstream lost")))
			return &carrier.Response{Status: 200, ContentLength: length, Body: io.NopCloser(body)}, nil
		}).start(t)
		response, err := fixture.forward(t, &carrier.Request{Method: "GET", Target: "/"})
		assert.NilError(t, err)
		_, err = io.ReadAll(response.Body)
		assert.Equal(t, kindOf(err), answerer.CutBody)
	}
}

// Guards against a truncated request body that looks complete to the handler, and
// against a handler that keeps running after its caller has gone.
func TestCutRequestBody(t *testing.T) {
	bodyErr := make(chan error, 1)
	fixture := newFixture(t, func(ctx context.Context, request *carrier.Request) (*carrier.Response, error) {
		_, err := io.ReadAll(request.Body)
		bodyErr <- err
		<-ctx.Done()
		return nil, answerer.New(answerer.CutBody, "gone")
	}).start(t)
	body := io.MultiReader(strings.NewReader(strings.Repeat("x", 100<<10)), iotest.ErrReader(errors.New("caller lost")))
	_, err := fixture.forward(t, &carrier.Request{Method: "POST", Target: "/", ContentLength: -1, Body: body})
	assert.Equal(t, kindOf(err), answerer.OutcomeUnknown)
	assert.Equal(t, kindOf(<-bodyErr), answerer.CutBody)
}
