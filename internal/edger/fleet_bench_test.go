package edger_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/edger"
	"github.com/cuminstream/cuminstream/internal/keeper"
	"github.com/cuminstream/cuminstream/internal/sender"
	"github.com/cuminstream/cuminstream/internal/standin/soaker"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/platform"
)

// acceptingGranter is a keeper.Granter of upstreams that accept everything.
type acceptingGranter struct{}

func (acceptingGranter) Grant(ctx context.Context, _ keeper.Owner, _ keeper.Grant, confirm func(context.Context) error) error {
	return confirm(ctx)
}

func (acceptingGranter) Release(context.Context, keeper.Owner, keeper.Range, uint64) (string, error) {
	return "token", nil
}

// freeAddresses returns different free ports of a loopback address that only this VM uses.
func freeAddresses(tb testing.TB, index int) (addresses [3]string) {
	for i := range addresses {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.1.%d.%d:0", index/250, index%250+1))
		assert.NilError(tb, err)
		defer func() { _ = listener.Close() }() // only after all three are known
		addresses[i] = listener.Addr().String()
	}
	return addresses
}

// cpuTime returns the processor time that this process has used.
func cpuTime(tb testing.TB) time.Duration {
	var usage syscall.Rusage
	assert.NilError(tb, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// fleetServices are the services of a fleet, with their shares of its upstreams.
var fleetServices = []struct {
	name  string
	keyed bool
	share float64
}{{"quotes", true, 0.53}, {"bookings", false, 0.34}, {"uploads", false, 0.07}, {"labels", false, 0.06}}

// putConfig writes a configuration with one route for each of fleetServices.
func putConfig(tb testing.TB, store *soaker.Store) {
	var routes, services [][]any
	for _, service := range fleetServices {
		routes = append(routes, []any{service.name, "fleet.example", "/" + service.name + "/", "safe", 2, 1, 0, 2, service.name})
		services = append(services, []any{service.name, "/health", 100, service.keyed})
	}
	assert.NilError(tb, store.Put("config", "main", map[string]any{
		"version":  "r1",
		"routes":   map[string]any{"columns": []string{"name", "host", "path-prefix", "kind", "timeout-s", "target-latency-s", "priority", "max-attempts", "service"}, "rows": routes},
		"services": map[string]any{"columns": []string{"name", "health-path", "max-conns", "sharded"}, "rows": services},
		"limits":   map[string]any{"header-bytes": 16384, "body-bytes": 1 << 20, "header-timeout-s": 3, "idle-timeout-s": 15},
	}))
}

// newEdge returns an entry VM of a fleet. Every eighth one has five times the
// processor share of the others.
func newEdge(tb testing.TB, index int, storeAddress string) *edger.Edge {
	share := 0.16
	if index%8 == 0 {
		share = 0.8
	}
	dial := sender.NewDialer()
	addresses := freeAddresses(tb, index)
	return &edger.Edge{
		VM: fmt.Sprintf("vm-%03d", index), Zone: fmt.Sprint("zone-", index%6),
		CallerListen: addresses[0], ReadyListen: addresses[1], LinkListen: addresses[2],
		FirstStart: true, ConfigPeriod: 3 * time.Second, HeartbeatInterval: time.Second, GracePeriod: time.Second, CPUShare: share, MemoryBytes: 184 << 20,
		Tunables: edger.Tunables{MaxGrantTTL: 10 * time.Second, DrainPeriod: 3 * time.Second, RetryWindow: 10 * time.Second, RetryRatio: 0.2, RetrySlack: 430},
		Clock:    clocker.System{}, Log: slog.New(slog.NewJSONHandler(io.Discard, nil)), Registry: prometheus.NewRegistry(), Dial: dial, Protocol: platform.Protocol{},
		Store: platform.NewStore(storeAddress, dial), Granter: acceptingGranter{},
		KindUpstreams: platform.KindUpstreams, DecodeUpstream: platform.DecodeUpstream,
		KindConfig: platform.KindConfig, NameConfig: platform.NameConfig, DecodeConfig: platform.DecodeConfig,
	}
}

// registerUpstreams registers upstreams one after the other.
func registerUpstreams(tb testing.TB, store *soaker.Store, count int) {
	index := 0
	for _, service := range fleetServices {
		for range int(float64(count) * service.share) {
			assert.NilError(tb, store.Put(platform.KindUpstreams, fmt.Sprintf("i-%04d", index), map[string]any{
				"addr": fmt.Sprintf("10.0.%d.%d:80", index/250, index%250), "born": time.Now().UnixMilli(),
				"info":   map[string]any{"service": service.name, "zone": fmt.Sprint("zone-", index%6), "version": "v1", "max-concurrency": 2},
				"status": map[string]any{"state": "ready", "sequence": 1, "warmup-left-s": 0},
			}))
			index++
			time.Sleep(registrationTime / time.Duration(count))
		}
	}
}

// BenchmarkFleet starts entry VMs and registers upstreams, all in this process and
// without requests, and reports the processor time of a VM, including its share of the
// stand-in for the store: during the start, while the upstreams register one after the
// other, and for each second after that.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []struct{ vms, upstreams int }{{20, 55}, {60, 166}, {195, 540}} {
		b.Run(fmt.Sprintf("vms=%d/upstreams=%d", size.vms, size.upstreams), func(b *testing.B) {
			for b.Loop() {
				benchmarkFleet(b, size.vms, size.upstreams)
			}
		})
	}
}

const (
	fleetStart  = 10 * time.Second // as long as the VMs of a large site have before traffic
	fleetSteady = 10 * time.Second
	// registrationTime is the time in which the upstreams register.
	registrationTime = 2 * time.Second
)

func benchmarkFleet(b *testing.B, vms, upstreams int) {
	store := soaker.NewStore()
	putConfig(b, store)
	server := httptest.NewServer(store)
	defer server.Close()
	ctx, stop := context.WithCancel(context.Background())
	var group errgroup.Group
	began := cpuTime(b)
	startedAt := time.Now()
	for index := range vms {
		edge := newEdge(b, index, strings.TrimPrefix(server.URL, "http://"))
		group.Go(func() error { return edge.Run(ctx) })
	}
	registerUpstreams(b, store, upstreams)
	time.Sleep(fleetStart - time.Since(startedAt))
	started := cpuTime(b)
	time.Sleep(fleetSteady)
	ended := cpuTime(b)
	b.ReportMetric(float64((started-began).Milliseconds())/float64(vms), "start-ms/VM")
	b.ReportMetric(float64((ended-started).Microseconds())/float64(vms)/fleetSteady.Seconds()/1e4, "steady-%core/VM")
	stop()
	assert.NilError(b, group.Wait())
}
