package courier_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/sender"
	"github.com/cuminstream/cuminstream/pkg/broker"
)

var errBroken = errors.New("broken")

// failingReader fails after what comes before it.
type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errBroken }

// Guards against an upstream whose responses break off while they are streamed, and that
// counts as one that serves. A caller that leaves says nothing of the upstream.
func TestBrokenStreamIsNoServedRequest(t *testing.T) {
	for _, test := range []struct {
		name       string
		rest       io.Reader
		callerLeft bool
		outcome    broker.Outcome
	}{
		{"whole", strings.NewReader("rest"), false, broker.Served},
		{"broken", io.MultiReader(strings.NewReader("rest"), failingReader{}), false, broker.Interrupted},
		{"caller left", failingReader{}, true, broker.Served},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backend := &fakeBackend{responses: []sendFunc{func(ctx context.Context, request *sender.Request) (*sender.Response, error) {
					response, err := served(ctx, request)
					response.Rest, response.ContentLength = io.NopCloser(test.rest), -1
					return response, err
				}}}
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				answer := newForwarder(backend).Serve(ctx, request("/read/1"))
				if test.callerLeft {
					leave()
				}
				_, _ = io.Copy(io.Discard, answer.Rest)
				assert.Equal(t, len(backend.results), 0)
				assert.NilError(t, answer.Rest.Close())
				assert.NilError(t, answer.Rest.Close())
				assert.Equal(t, len(backend.results), 1)
				assert.Equal(t, backend.results[0].Outcome, test.outcome)
			})
		})
	}
}
