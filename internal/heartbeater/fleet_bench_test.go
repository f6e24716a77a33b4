package heartbeater_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/heartbeater"
	"github.com/cuminstream/cuminstream/internal/linker"
	"github.com/cuminstream/cuminstream/internal/platformer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/leaser"
	"github.com/cuminstream/cuminstream/pkg/tracker"
)

// payload resembles what the daemon sends.
type payload struct {
	Revision uint64            `cbor:"1,keyasint"`
	Digest   uint64            `cbor:"2,keyasint"`
	Groups   map[string]uint64 `cbor:"3,keyasint"`
}

// linkedNode is a VM with real links over loopback.
type linkedNode struct {
	vm         platformer.VM
	heartbeats *heartbeater.Heartbeater
	metrics    *linker.Metrics
}

// startFleet runs VMs over loopback links until the test ends. Each shares a group
// with up to two others.
func startFleet(t testing.TB, count int) []*linkedNode {
	zones := min(8, max(1, count/4))
	nodes := make([]*linkedNode, count)
	listeners := make([]net.Listener, count)
	var listed []platformer.VM
	for index := range nodes {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		vm := platformer.VM{Name: fmt.Sprintf("vm%03d", index), Zone: fmt.Sprintf("z%d", index%zones), Address: listener.Addr().String()}
		listeners[index], nodes[index] = listener, &linkedNode{vm: vm, metrics: linker.NewMetrics()}
		listed = append(listed, vm)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	timing := leaser.DefaultTiming()
	for index, node := range nodes {
		name := node.vm.Name
		members := tracker.New(tracker.Config{Self: name, Clock: clocker.System{}, HeartbeatInterval: timing.HeartbeatInterval, SuspicionTimeout: timing.SuspicionTimeout})
		server := &linker.Server{VM: name, SharedKey: []byte("key"), Metrics: node.metrics}
		pool := &linker.Pool{VM: name, SharedKey: []byte("key"), Metrics: node.metrics, LocalServer: server}
		node.heartbeats = &heartbeater.Heartbeater{
			Self:    tracker.VM{Name: name, Zone: node.vm.Zone, Address: node.vm.Address, Incarnation: uint64(time.Now().UnixMilli())},
			Tracker: members, Caller: pool, Timing: timing,
			GroupPeers: func() []string {
				// Each group has three consecutive VMs of a zone, fewer at its end.
				rank, zone := index/zones, index%zones
				var shared []string
				for other := rank / 3 * 3; other < rank/3*3+3; other++ {
					if at := other*zones + zone; at < count && at != index {
						shared = append(shared, nodes[at].vm.Name)
					}
				}
				return shared
			},
			Payload: func() any {
				return payload{Revision: 2800, Digest: 1 << 60, Groups: map[string]uint64{"quotes." + node.vm.Zone + ".0": 17}}
			},
			ListVMs: func(context.Context) ([]platformer.VM, error) { return listed, nil },
		}
		pool.Directory = node.heartbeats
		node.heartbeats.Register(server)
		web := &http.Server{Handler: server, ReadHeaderTimeout: 5 * time.Second}
		group.Go(func() error { return server.Run(ctx) })
		group.Go(func() error { return pool.Run(ctx) })
		group.Go(func() error { return node.heartbeats.Run(ctx) })
		group.Go(func() error {
			_ = web.Serve(listeners[index])
			return nil
		})
		t.Cleanup(func() { _ = web.Close() })
	}
	t.Cleanup(func() {
		cancel()
		for _, listener := range listeners {
			listener.Close()
		}
		assert.NilError(t, group.Wait())
	})
	return nodes
}

// controlBytes returns the bytes read and written on the node's control links.
func (node *linkedNode) controlBytes() float64 {
	values := make(chan prometheus.Metric, 100)
	node.metrics.Collect(values)
	close(values)
	total := 0.0
	for value := range values {
		var written dto.Metric
		if value.Write(&written) != nil || written.Counter == nil {
			continue
		}
		for _, label := range written.Label {
			if label.GetName() == "link" && label.GetValue() == "control" {
				total += written.Counter.GetValue()
			}
		}
	}
	return total
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Guards against heartbeats that work between handlers called directly, but not over
// real links.
func TestHeartbeatsOverLinks(t *testing.T) {
	nodes := startFleet(t, 6)
	for deadline := time.Now().Add(20 * time.Second); ; {
		complete := 0
		for _, node := range nodes {
			for _, peer := range node.heartbeats.Tracker.Peers("") {
				if peer.Incarnation > 0 && peer.State == tracker.Alive {
					complete++
				}
			}
		}
		if complete == 30 {
			return
		}
		assert.Assert(t, time.Now().Before(deadline), "%d of 30 views are complete", complete)
		_ = clocker.Sleep(t.Context(), clocker.System{}, 10*time.Millisecond)
	}
}

// BenchmarkFleet measures the control traffic and CPU time per VM. Each iteration
// lasts a second, after a warm-up of 20 s.
func BenchmarkFleet(b *testing.B) {
	for _, count := range []int{4, 16, 64, 256} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			nodes := startFleet(b, count)
			pause := func(duration time.Duration) { _ = clocker.Sleep(b.Context(), clocker.System{}, duration) }
			pause(20 * time.Second)
			total := func() (sum float64) {
				for _, node := range nodes {
					sum += node.controlBytes()
				}
				return sum
			}
			bytes, processor, start := total(), cpuTime(), time.Now()
			for range b.N {
				pause(time.Second)
			}
			elapsed := time.Since(start).Seconds()
			perNode := elapsed * float64(count)
			suspected, degree := 0, 0
			for _, node := range nodes {
				degree += len(node.heartbeats.Neighbors())
				for _, peer := range node.heartbeats.Tracker.Peers("") {
					if peer.State == tracker.Suspected {
						suspected++
					}
				}
			}
			b.ReportMetric((total()-bytes)/perNode, "B/s/VM")
			b.ReportMetric(100*(cpuTime()-processor).Seconds()/perNode, "%core/VM")
			b.ReportMetric(float64(degree)/float64(count), "neighbours")
			b.ReportMetric(float64(suspected), "suspected")
			b.ReportMetric(float64(runtime.NumGoroutine())/float64(count), "goroutines/VM")
			b.ReportMetric(0, "ns/op")
		})
	}
}
