package edger_test

import (
	"context"
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

// arrivalUpstream serves requests and records when each arrived.
type arrivalUpstream struct {
	countingUpstream
	arrivalMutex sync.Mutex
	arrivals     []time.Time
}

func (upstream *arrivalUpstream) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	upstream.arrivalMutex.Lock()
	upstream.arrivals = append(upstream.arrivals, time.Now())
	upstream.arrivalMutex.Unlock()
	upstream.countingUpstream.ServeHTTP(writer, request)
}

// A cold upstream must get at most the bound in any second from all VMs together, also
// while its broker stops and another VM takes over. The other upstream is full all the time.
func TestColdUpstreamOfAllVMsKeepsToTheBound(t *testing.T) {
	const perSecond, overage, slack, coldFor = 8, 1.5, 6, 4
	store := soaker.NewStore()
	assert.NilError(t, store.Put("config", "main", map[string]any{
		"version": "r1",
		"routes": map[string]any{"columns": []string{"name", "host", "path-prefix", "kind", "timeout-s", "target-latency-s", "priority", "max-attempts", "service"}, "rows": [][]any{
			{"bookings", "fleet.example", "/bookings/", "safe", 2, 1, 0, 2, "bookings"}, {"uploads", "fleet.example", "/uploads/", "safe", 2, 1, 0, 2, "bookings"},
		}},
		"services": map[string]any{"columns": []string{"name", "health-path", "max-conns", "sharded", "warmup-s", "warmup-per-s"}, "rows": [][]any{{"bookings", "/health", 100, false, coldFor, perSecond}}},
		"limits":   map[string]any{"header-bytes": 16384, "body-bytes": 1 << 20, "header-timeout-s": 3, "idle-timeout-s": 15},
	}))
	platformServer := httptest.NewServer(store)
	defer platformServer.Close()
	register := func(id, address string, warmup float64) {
		assert.NilError(t, store.Put(platform.KindUpstreams, id, map[string]any{
			"addr": address, "born": time.Now().UnixMilli(),
			"info":   map[string]any{"service": "bookings", "zone": "zone-0", "version": "v1", "max-concurrency": 2},
			"status": map[string]any{"state": "ready", "sequence": 1, "warmup-left-s": warmup},
		}))
	}
	warm, cold := &countingUpstream{ran: map[string]int{}}, &arrivalUpstream{countingUpstream: countingUpstream{ran: map[string]int{}}}
	warmServer, coldServer := httptest.NewServer(warm), httptest.NewServer(cold)
	defer warmServer.Close()
	defer coldServer.Close()
	register("i-warm", warmServer.Listener.Addr().String(), 0)
	ctx, stop := context.WithCancel(t.Context())
	brokerCtx, stopBroker := context.WithCancel(t.Context())
	defer stopBroker()
	var group errgroup.Group
	var callers sync.WaitGroup
	stopCallers := make(chan struct{})
	for index := range 4 {
		edge := newEdge(t, index, strings.TrimPrefix(platformServer.URL, "http://"))
		edge.FirstStart, edge.GracePeriod, edge.WarmupOverage, edge.WarmupSlack = false, 6*time.Second, overage, slack
		edgeCtx := ctx
		if index == 0 { // the largest: the broker
			edgeCtx = brokerCtx
		}
		group.Go(func() error { return edge.Run(edgeCtx) })
		if index == 0 {
			continue
		}
		callers.Go(func() {
			time.Sleep(5 * time.Second)
			for i := range 4 {
				callers.Go(func() {
					(&caller{address: edge.CallerListen, index: index*4 + i, answered: map[string]int{}}).run(stopCallers)
				})
			}
		})
	}
	time.Sleep(6 * time.Second)
	began := time.Now()
	register("i-cold", coldServer.Listener.Addr().String(), coldFor)
	time.Sleep(1500 * time.Millisecond)
	stopBroker()
	time.Sleep(began.Add(coldFor * time.Second).Sub(time.Now()))
	cold.arrivalMutex.Lock()
	arrivals := cold.arrivals
	cold.arrivalMutex.Unlock()
	time.Sleep(3 * time.Second)
	cold.arrivalMutex.Lock()
	total := len(cold.arrivals)
	cold.arrivalMutex.Unlock()
	close(stopCallers)
	callers.Wait()
	stop()
	assert.NilError(t, group.Wait())
	most := 0
	for first, last := 0, 0; last < len(arrivals); last++ {
		for arrivals[last].Sub(arrivals[first]) >= time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	t.Logf("%d requests in %d s while cold, at most %d in one second; %d in all", len(arrivals), coldFor, most, total)
	assert.Assert(t, most <= perSecond*overage+slack, "%d requests in one second", most)
	assert.Assert(t, len(arrivals) > 0 && total > 2*len(arrivals), "%d requests while cold, %d in all", len(arrivals), total)
}
