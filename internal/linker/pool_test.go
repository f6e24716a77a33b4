package linker

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/carrier"
	"github.com/cuminstream/cuminstream/pkg/answerer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// blockingHandler blocks each request until it is released.
type blockingHandler struct{ started, release chan struct{} }

func (handler blockingHandler) Handle(context.Context, *carrier.Request) (*carrier.Response, error) {
	handler.started <- struct{}{}
	<-handler.release
	return &carrier.Response{Status: http.StatusOK}, nil
}

// Guards against idle links that are never closed, against more links than
// MaxLinksPerPeer, and against links that stay open after the pool has stopped.
func TestPoolBoundsItsLinks(t *testing.T) {
	const maxLinks = 4
	handler := blockingHandler{make(chan struct{}), make(chan struct{})}
	address := startServer(t, &Server{Handler: handler})
	clock := clocker.NewFake(time.Unix(0, 0))
	pool := &Pool{
		VM: "a", SharedKey: sharedKey, Directory: fixedAddress(address), Clock: clock, Metrics: NewMetrics(), MaxLinksPerPeer: maxLinks,
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running, requests errgroup.Group
	running.Go(func() error { return pool.Run(ctx) })
	forward := func() error {
		response, err := pool.Forward(t.Context(), "b", &carrier.Request{Method: "POST"})
		if err == nil {
			return response.Body.Close()
		}
		return err
	}
	open := func() float64 {
		return testutil.ToFloat64(pool.Metrics.links.WithLabelValues(string(requestLink), "connecting"))
	}
	for range maxLinks {
		requests.Go(forward)
		<-handler.started
	}
	assert.Equal(t, answerer.From(forward()).Kind, answerer.NotRunUnavailable)
	assert.Equal(t, open(), float64(maxLinks))
	close(handler.release)
	assert.NilError(t, requests.Wait())
	assert.Equal(t, open(), float64(maxLinks))
	for range 5000 {
		clock.Advance(defaultIdleTimeout)
		if open() == 0 {
			break
		}
		_ = clocker.Sleep(t.Context(), clocker.System{}, time.Millisecond)
	}
	assert.Equal(t, open(), 0.0)
	requests.Go(forward)
	<-handler.started
	assert.NilError(t, requests.Wait())
	pool.Drop("b")
	assert.Equal(t, open(), 0.0)
	cancel()
	assert.NilError(t, running.Wait())
	assert.Equal(t, answerer.From(forward()).Kind, answerer.NotRunUnavailable)
}

// Guards against a shutdown that cuts requests in flight, and against one that
// waits for idle links.
func TestStopFinishesRequestsInFlight(t *testing.T) {
	handler := blockingHandler{make(chan struct{}), make(chan struct{})}
	server := &Server{Handler: handler, Metrics: NewMetrics()}
	address := startServer(t, server)
	pool := &Pool{VM: "a", SharedKey: sharedKey, Directory: fixedAddress(address)}
	var requests errgroup.Group
	requests.Go(func() error {
		response, err := pool.Forward(t.Context(), "b", &carrier.Request{Method: "POST"})
		if err == nil {
			assert.Check(t, response.Status == http.StatusOK)
		}
		return err
	})
	<-handler.started
	stopped, stop := context.WithCancel(context.Background())
	stop()
	var running errgroup.Group
	running.Go(func() error { return server.Run(stopped) })
	for range 5000 {
		server.mutex.Lock()
		stopping := server.stopping
		server.mutex.Unlock()
		if stopping {
			break
		}
		_ = clocker.Sleep(t.Context(), clocker.System{}, time.Millisecond)
	}
	close(handler.release)
	assert.NilError(t, requests.Wait())
	_, err := pool.Forward(t.Context(), "b", &carrier.Request{Method: "POST"})
	assert.Equal(t, answerer.From(err).Kind, answerer.NotRunUnavailable, "%v", err)
	assert.NilError(t, running.Wait())
}
