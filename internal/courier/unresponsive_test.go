package courier_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/sender"
	"github.com/cuminstream/cuminstream/pkg/broker"
)

// respondOrHang responds within 20 ms, except to the request with the ID "deaf", which it
// answers only if it arrives a second time.
func respondOrHang(seen *int) sendFunc {
	return func(ctx context.Context, request *sender.Request) (*sender.Response, error) {
		if request.ID == "deaf" {
			if *seen++; *seen == 1 {
				if request.FirstByteTimeout == 0 {
					return hangUntilDone(ctx, request)
				}
				time.Sleep(request.FirstByteTimeout)
				return nil, &sender.IncompleteResponseError{Cause: sender.ErrUnresponsive}
			}
		}
		time.Sleep(20 * time.Millisecond)
		return served(ctx, request)
	}
}

// Guards against an idempotent request that waits for an unresponsive connection until its
// deadline, and against a non-idempotent one that is sent again.
func TestUnresponsiveUpstream(t *testing.T) {
	for target, expected := range map[string]struct{ status, sent int }{"/read/1": {http.StatusOK, 2}, "/book/1": {http.StatusGatewayTimeout, 1}} {
		synctest.Test(t, func(t *testing.T) {
			seen := 0
			backend := &fakeBackend{responses: []sendFunc{respondOrHang(&seen)}}
			forwarder := newForwarder(backend)
			for range 60 { // measures the service time
				assert.Equal(t, forwarder.Serve(t.Context(), request(target)).Status, http.StatusOK)
			}
			time.Sleep(2 * time.Second)
			before := len(backend.requests)
			answer := forwarder.Serve(t.Context(), request(target, "Id", "deaf"))
			assert.Equal(t, answer.Status, expected.status)
			assert.Equal(t, len(backend.requests)-before, expected.sent)
			assert.Equal(t, backend.results[before].Outcome, broker.TimedOut)
			if expected.sent > 1 {
				last := backend.slotRequests[len(backend.slotRequests)-1]
				assert.Assert(t, last.Retry && len(last.Exclude) == 1, "%+v", last)
				assert.Equal(t, backend.requests[before+1].FirstByteTimeout, time.Duration(0))
			}
		})
	}
}

// Guards against a request that counts as "may have run" after an upstream has reset the
// connection before it took any byte. It is sent elsewhere, non-idempotent or not.
func TestResetConnection(t *testing.T) {
	reset := fail(&sender.NotSentError{Cause: errors.New("reset"), Connected: true})
	backend := &fakeBackend{responses: []sendFunc{reset, served}}
	assert.Equal(t, newForwarder(backend).Serve(t.Context(), request("/book/1")).Status, http.StatusOK)
	assert.Equal(t, backend.results[0].Outcome, broker.Reset)
	assert.Assert(t, !backend.slotRequests[1].Retry && len(backend.slotRequests[1].Exclude) == 1)
	backend = &fakeBackend{responses: []sendFunc{reset}}
	assert.Equal(t, newForwarder(backend).Serve(t.Context(), request("/book/1")).Status, http.StatusServiceUnavailable)
}
