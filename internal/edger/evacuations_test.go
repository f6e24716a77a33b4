package edger_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/standin/soaker"
	"github.com/cuminstream/cuminstream/platform"
)

// zoneUpstream serves requests and records when it received the last one.
type zoneUpstream struct {
	countingUpstream
	lastMutex sync.Mutex
	last      time.Time
}

func (upstream *zoneUpstream) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	upstream.lastMutex.Lock()
	upstream.last = time.Now()
	upstream.lastMutex.Unlock()
	upstream.countingUpstream.ServeHTTP(writer, request)
}

func (upstream *zoneUpstream) lastRequest() time.Time {
	upstream.lastMutex.Lock()
	defer upstream.lastMutex.Unlock()
	return upstream.last
}

// An evacuation that the store has accepted must keep all requests from the zone within
// evacuation-s, at VMs that are brokers and at those that get changes from them. Requests
// return after its end.
func TestEvacuationReachesAllVMs(t *testing.T) {
	store := soaker.NewStore()
	putConfig(t, store)
	platformServer := httptest.NewServer(store)
	defer platformServer.Close()
	zones := map[string]*zoneUpstream{}
	for i, zone := range []string{"zone-0", "zone-1"} {
		upstream := &zoneUpstream{countingUpstream: countingUpstream{ran: map[string]int{}}}
		server := httptest.NewServer(upstream)
		defer server.Close()
		zones[zone] = upstream
		for j, service := range []string{"bookings", "uploads"} {
			assert.NilError(t, store.Put(platform.KindUpstreams, fmt.Sprint("i-", i, j), map[string]any{
				"addr": server.Listener.Addr().String(), "born": 1,
				"info":   map[string]any{"service": service, "zone": zone, "version": "v1", "max-concurrency": 8},
				"status": map[string]any{"state": "ready", "sequence": 1, "warmup-left-s": 0},
			}))
		}
	}
	ctx, stop := context.WithCancel(t.Context())
	var group errgroup.Group
	var callers sync.WaitGroup
	stopCallers := make(chan struct{})
	for index := range 4 {
		edge := newEdge(t, index, strings.TrimPrefix(platformServer.URL, "http://"))
		edge.FirstStart, edge.KindEvacuations, edge.EvacuationPeriod = false, platform.KindEvacuations, 5*time.Second
		group.Go(func() error { return edge.Run(ctx) })
		callers.Go(func() {
			time.Sleep(4 * time.Second)
			for i := range 4 {
				callers.Go(func() {
					(&caller{address: edge.CallerListen, index: index*4 + i, answered: map[string]int{}}).run(stopCallers)
				})
			}
		})
	}
	time.Sleep(6 * time.Second)
	assert.Assert(t, time.Since(zones["zone-1"].lastRequest()) < time.Second, "the zone gets no requests before its evacuation")
	assert.NilError(t, store.Put(platform.KindEvacuations, "zone-1", map[string]any{}))
	accepted := time.Now()
	time.Sleep(8 * time.Second)
	assert.Assert(t, zones["zone-1"].lastRequest().Before(accepted.Add(4*time.Second)), "the last request came %v after the evacuation", zones["zone-1"].lastRequest().Sub(accepted))
	t.Logf("the last request came %v after the evacuation", zones["zone-1"].lastRequest().Sub(accepted))
	assert.Assert(t, time.Since(zones["zone-0"].lastRequest()) < time.Second)
	store.Remove(platform.KindEvacuations, "zone-1")
	time.Sleep(5 * time.Second)
	assert.Assert(t, time.Since(zones["zone-1"].lastRequest()) < time.Second, "the zone gets no requests after its evacuation")
	close(stopCallers)
	callers.Wait()
	stop()
	assert.NilError(t, group.Wait())
}
