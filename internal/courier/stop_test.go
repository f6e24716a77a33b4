package courier_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/courier"
	"github.com/cuminstream/cuminstream/internal/sender"
	"github.com/cuminstream/cuminstream/pkg/broker"
)

// stopFor begins a stop that closes all connections after a time, and runs the function.
func stopFor(t *testing.T, forwarder *courier.Forwarder, endsIn time.Duration, run func()) {
	ctx, cancel := context.WithCancel(t.Context())
	endsAt := time.Now().Add(endsIn)
	var group errgroup.Group
	group.Go(func() error { return forwarder.Stop(ctx, endsAt) })
	synctest.Wait()
	run()
	cancel()
	assert.NilError(t, group.Wait())
}

// Guards against a request that waits for a slot until a stop closes its connection without
// an answer. One whose time limit passes before that may wait until then.
func TestStopEndsWaitsThatAreTooLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for left, want := range map[string]time.Duration{"7s": 2400 * time.Millisecond, "2.8s": 2800 * time.Millisecond} {
			backend := &fakeBackend{acquireDelay: 5 * time.Second, responses: []sendFunc{served}}
			forwarder := newForwarder(backend)
			stopFor(t, forwarder, 3*time.Second, func() {
				began := time.Now()
				answer := forwarder.Serve(t.Context(), request("/long/1", "Left", left))
				assert.Equal(t, answer.Status, 503)
				waited := time.Since(began)
				assert.Assert(t, waited >= want && waited < want+50*time.Millisecond, "%v", waited)
				assert.Equal(t, answer.Header.Get("Retry-After") != "", left == "7s")
			})
		}
	})
}

// Guards against a broker that lets a request wait for longer than its VM exists: it must be
// told when the VM stops, unless the time limit of the request passes before that.
func TestStopBoundsRequestsForSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &fakeBackend{acquireDelay: 100 * time.Millisecond, responses: []sendFunc{notSent, served}}
		forwarder := newForwarder(backend)
		forwarder.Serve(t.Context(), request("/long/1", "Left", "7s"))
		stopFor(t, forwarder, 3*time.Second, func() {
			assert.Equal(t, forwarder.Serve(t.Context(), request("/long/1", "Left", "7s")).Status, 200)
			assert.Equal(t, forwarder.Serve(t.Context(), request("/long/1", "Left", "1s")).Status, 200)
		})
		for i, want := range []time.Duration{0, 0, 2900 * time.Millisecond, 0} {
			assert.Equal(t, backend.slotRequests[i].StopsIn, want, "request %d", i)
		}
	})
}

// runFor is a run that takes a while and is served.
func runFor(d time.Duration) sendFunc {
	return func(ctx context.Context, request *sender.Request) (*sender.Response, error) {
		time.Sleep(d)
		return served(ctx, request)
	}
}

// Guards against a request that is passed on late in a stop, when a slot is free, and is cut
// while an upstream runs it: most runs are short, but the longest recent one is not.
func TestStopRefusesWhatMightNotEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &fakeBackend{responses: []sendFunc{runFor(time.Second), runFor(10 * time.Millisecond)}}
		forwarder := newForwarder(backend)
		for range 5 {
			assert.Equal(t, forwarder.Serve(t.Context(), request("/long/1", "Left", "7s")).Status, 200)
		}
		stopFor(t, forwarder, 3*time.Second, func() {
			assert.Equal(t, forwarder.Serve(t.Context(), request("/long/1", "Left", "7s")).Status, 200)
			time.Sleep(2 * time.Second)
			began := time.Now()
			answer := forwarder.Serve(t.Context(), request("/long/1", "Left", "7s"))
			assert.Equal(t, answer.Status, 503)
			assert.Assert(t, answer.Header.Get("Retry-After") != "")
			assert.Equal(t, time.Since(began), time.Duration(0), "another VM can serve it at once")
			assert.Equal(t, forwarder.Serve(t.Context(), request("/long/1", "Left", "700ms")).Status, 200, "it is answered at its deadline, before the stop")
		})
		assert.Equal(t, len(backend.requests), 7)
	})
}

// Guards against a slot that is assigned so late that the stop cuts the run. It goes back to
// the broker unused.
func TestStopReturnsSlotsThatComeTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &fakeBackend{acquireDelay: 2200 * time.Millisecond, responses: []sendFunc{served}, ignoresContext: true}
		forwarder := newForwarder(backend)
		stopFor(t, forwarder, 2500*time.Millisecond, func() {
			assert.Equal(t, forwarder.Serve(t.Context(), request("/long/1", "Left", "7s")).Status, 503)
		})
		assert.Equal(t, len(backend.requests), 0)
		assert.Equal(t, backend.results[0].Outcome, broker.Abandoned)
	})
}
