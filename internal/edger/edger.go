package edger

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/sync/errgroup"

	"github.com/cuminstream/cuminstream/internal/allocator"
	"github.com/cuminstream/cuminstream/internal/courier"
	"github.com/cuminstream/cuminstream/internal/enroller"
	"github.com/cuminstream/cuminstream/internal/fronter"
	"github.com/cuminstream/cuminstream/internal/keeper"
	"github.com/cuminstream/cuminstream/internal/linker"
	"github.com/cuminstream/cuminstream/internal/registrar"
	"github.com/cuminstream/cuminstream/internal/sender"
	"github.com/cuminstream/cuminstream/internal/storer"
	"github.com/cuminstream/cuminstream/pkg/broker"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/matcher"
)

// Protocol is how callers and upstreams of the platform speak.
type Protocol interface {
	courier.Protocol
	sender.Protocol
	ReadyPath() string
}

// DialFunc opens connections.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Tunables are settings that can change while the VM runs.
type Tunables struct {
	// MaxGrantDuration is the longest time for which keys can be granted.
	MaxGrantDuration time.Duration
	// DrainPeriod is how long a leaving upstream goes on serving.
	DrainPeriod time.Duration
	// RetryWindow, RetryRatio and RetrySlack bound repeats by service.
	RetryWindow time.Duration
	RetryRatio  float64
	RetrySlack  int
}

// Edge runs an entry VM. The exported fields are set before Run.
type Edge struct {
	VM           string
	Zone         string
	CallerListen string
	ReadyListen  string
	LinkListen   string
	// MetricsListen serves the metrics at /metrics; empty for none.
	MetricsListen string
	// GracePeriod is the time that a stop may take.
	GracePeriod time.Duration
	// CPUShare is the processor of the VM, in cores.
	CPUShare float64
	// MemoryBytes is the memory of the process.
	MemoryBytes int64
	Tunables

	Clock    clocker.Clock
	Log      *slog.Logger
	Registry *prometheus.Registry
	Dial     DialFunc
	Protocol Protocol
	Store    storer.Store
	Granter  keeper.Granter

	// KindUpstreams and DecodeUpstream say where upstreams register themselves.
	KindUpstreams  string
	DecodeUpstream func(object storer.Object) (broker.Upstream, error)
	// KindConfig, NameConfig and DecodeConfig say where the configuration is.
	KindConfig   string
	NameConfig   string
	DecodeConfig func(spec []byte) (*matcher.Config, error)

	enroller  *enroller.Enroller
	allocator *allocator.Allocator
	registrar *registrar.Registrar
	courier   *courier.Courier
	sender    *sender.Sender
	pool      *linker.Pool
	links     *linker.Server
	stopping  atomic.Bool
	leads     atomic.Bool   // this VM may be the broker of services
	resigned  chan struct{} // closed when it is not any more
}

const (
	// stopNotice is how long new connections are accepted after a stop began. The
	// balancer asks once a second and needs two answers.
	stopNotice = 2600 * time.Millisecond
	// stopReserve is the part of the grace that is left for the last steps.
	stopReserve = 600 * time.Millisecond
	// resignReserve is the part of the grace that is left for a resignation.
	resignReserve = time.Second
	// retainInterval is the time between two looks at idle connections.
	retainInterval = time.Second
	// heldShare is the part of the memory that request bodies may take.
	heldShare = 5
)

// Run serves until ctx is done, and then stops in order.
func (edge *Edge) Run(ctx context.Context) error {
	boot := uuid.NewString()
	edge.build(boot)
	edge.resigned = make(chan struct{})
	edge.Log.Info("starting", "zone", edge.Zone, "boot", boot, "callers", edge.CallerListen, "links", edge.LinkListen)
	front, err := net.Listen("tcp", edge.CallerListen)
	if err != nil {
		return fmt.Errorf("listener of callers: %w", err)
	}
	ready, err := net.Listen("tcp", edge.ReadyListen)
	if err != nil {
		return fmt.Errorf("listener of readiness probes: %w", err)
	}
	links, err := net.Listen("tcp", edge.LinkListen)
	if err != nil {
		return fmt.Errorf("listener of links: %w", err)
	}

	// The parts go on until all requests have been answered.
	parts, stopParts := context.WithCancel(context.WithoutCancel(ctx))
	defer stopParts()
	group, parts := errgroup.WithContext(parts)
	probe := &http.Server{Handler: http.HandlerFunc(edge.serveReady), ReadHeaderTimeout: time.Second}
	group.Go(func() error { return ignoreClosed(probe.Serve(ready)) })
	group.Go(func() error { return edge.runLinks(parts, ctx, links) })
	if edge.MetricsListen != "" {
		group.Go(func() error { return edge.serveMetrics(parts) })
	}
	for _, follower := range edge.allocator.Followers {
		group.Go(func() error { return follower.Run(parts) })
	}
	group.Go(func() error { return edge.registrar.Run(parts) })
	group.Go(func() error { return edge.retain(parts) })
	server := &fronter.Server{
		Listener: front, Handler: edge.courier, Clock: edge.Clock, Log: edge.Log, Limits: edge.courier.Limits,
		StopNotice: stopNotice, StopTimeout: max(edge.GracePeriod-stopReserve, stopNotice),
	}
	group.Go(func() error {
		defer stopParts()
		err := server.Run(ctx)
		if edge.leads.Load() {
			select {
			case <-edge.resigned:
			case <-parts.Done():
			}
		}
		return err
	})
	group.Go(func() error {
		select {
		case <-ctx.Done():
			edge.stopping.Store(true)
			edge.Log.Info("stopping")
		case <-parts.Done():
		}
		<-parts.Done()
		return probe.Close()
	})
	err = group.Wait()
	edge.Log.Info("stopped", "error", fmt.Sprint(err))
	return err
}

func ignoreClosed(err error) error {
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

func (edge *Edge) build(boot string) {
	metrics := linker.NewMetrics()
	edge.Registry.MustRegister(metrics)
	edge.enroller = &enroller.Enroller{
		Name: edge.VM, Self: enroller.VM{Address: edge.LinkListen, Zone: edge.Zone, Boot: boot, CPUShare: edge.CPUShare},
		Store: edge.Store, Clock: edge.Clock, Log: edge.Log,
	}
	edge.links = &linker.Server{VM: edge.VM, Clock: edge.Clock, Metrics: metrics, ShutdownTimeout: linkShutdown}
	edge.pool = &linker.Pool{VM: edge.VM, Directory: edge.enroller, Local: edge.links, Clock: edge.Clock, Metrics: metrics}
	edge.allocator = &allocator.Allocator{
		VM: edge.VM, Zone: edge.Zone, Boot: boot, Clock: edge.Clock, Log: edge.Log, Store: edge.Store, Peers: edge.pool, Members: edge.enroller,
		Granter: edge.Granter, StopTimeout: max(edge.GracePeriod-stopReserve-resignReserve, 0),
	}
	edge.allocator.Tune(edge.RetryWindow, edge.RetryRatio, edge.RetrySlack, edge.MaxGrantDuration, edge.DrainPeriod)
	edge.allocator.Init(edge.links)
	edge.registrar = &registrar.Registrar{Clock: edge.Clock, Log: edge.Log, Decode: edge.DecodeUpstream, Changed: edge.allocator.SetUpstreams}
	edge.allocator.Followers = []*storer.Follower{
		edge.follower(edge.KindConfig, edge.listConfig, edge.changeConfig, nil),
		edge.follower(edge.KindUpstreams, edge.registrar.Listed, edge.registrar.Change, edge.registrar.Contact),
		edge.enroller.Follow(), edge.allocator.NewClaimFollower(),
	}
	for _, follower := range edge.allocator.Followers {
		if follower.Relayed == nil {
			follower.Relayed = edge.allocator.ChangesRelayed
		}
		follower.Deferring = edge.allocator.BrokerRetriesStore
	}
	edge.sender = &sender.Sender{Clock: edge.Clock, Protocol: edge.Protocol, Dial: edge.Dial}
	edge.courier = &courier.Courier{
		VM: edge.VM, Zone: edge.Zone, Clock: edge.Clock, Protocol: edge.Protocol, Allocator: edge.allocator, Sender: edge.sender,
		Log: edge.Log, Metrics: courier.NewMetrics(edge.Registry), MaxHeld: max(edge.MemoryBytes/heldShare, 16<<20),
	}
}

// Tune changes settings of a running VM.
func (edge *Edge) Tune(tunables Tunables) {
	edge.allocator.Tune(tunables.RetryWindow, tunables.RetryRatio, tunables.RetrySlack, tunables.MaxGrantDuration, tunables.DrainPeriod)
}

// linkShutdown bounds the wait for calls of other VMs during a stop.
const linkShutdown = 200 * time.Millisecond

// runLinks connects this VM with the others. When stop is done, this VM first
// hands its services over to others.
func (edge *Edge) runLinks(ctx, stop context.Context, listener net.Listener) error {
	key, err := edge.enroller.Key(ctx)
	if err != nil {
		return listener.Close()
	}
	edge.links.Key, edge.pool.Key = key, key
	server := &http.Server{Handler: edge.links, ReadHeaderTimeout: time.Second}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return ignoreClosed(server.Serve(listener)) })
	group.Go(func() error { return edge.links.Run(ctx) })
	group.Go(func() error { return edge.pool.Run(ctx) })
	group.Go(func() error {
		if edge.enroller.Enroll(ctx) != nil {
			return nil
		}
		edge.leads.Store(true)
		defer close(edge.resigned)
		return edge.allocator.Run(stop)
	})
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	return group.Wait()
}

// retain closes idle connections to upstreams that are too old or gone.
func (edge *Edge) retain(ctx context.Context) error {
	ticker := edge.Clock.NewTicker(retainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C():
			edge.sender.Retain(edge.allocator.RegisteredUpstreams())
		}
	}
}

// serveMetrics serves the metrics until ctx is done.
func (edge *Edge) serveMetrics(ctx context.Context) error {
	router := mux.NewRouter()
	router.Handle("/metrics", promhttp.HandlerFor(edge.Registry, promhttp.HandlerOpts{}))
	server := &http.Server{Addr: edge.MetricsListen, Handler: router, ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := ignoreClosed(server.ListenAndServe()); err != nil {
		return fmt.Errorf("listener of metrics: %w", err)
	}
	return nil
}

// serveReady answers the balancer.
func (edge *Edge) serveReady(writer http.ResponseWriter, request *http.Request) {
	switch {
	case request.URL.Path != edge.Protocol.ReadyPath():
		writer.WriteHeader(http.StatusNotFound)
	case edge.stopping.Load() || edge.courier.Table() == nil || !edge.registrar.Ready():
		writer.WriteHeader(http.StatusServiceUnavailable)
	default:
		writer.WriteHeader(http.StatusOK)
	}
}
