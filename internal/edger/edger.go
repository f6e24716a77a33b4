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
	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"github.com/cuminstream/cuminstream/internal/accountant"
	"github.com/cuminstream/cuminstream/internal/allocator"
	"github.com/cuminstream/cuminstream/internal/courier"
	"github.com/cuminstream/cuminstream/internal/enroller"
	"github.com/cuminstream/cuminstream/internal/fronter"
	"github.com/cuminstream/cuminstream/internal/keeper"
	"github.com/cuminstream/cuminstream/internal/linker"
	"github.com/cuminstream/cuminstream/internal/registrar"
	"github.com/cuminstream/cuminstream/internal/sender"
	"github.com/cuminstream/cuminstream/internal/storer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/matcher"
)

// Protocol reads and writes the platform's headers in requests of callers and
// responses of upstreams.
type Protocol interface {
	courier.Protocol
	sender.Protocol
	// ReadyPath returns the path of the load balancer's readiness probe.
	ReadyPath() string
}

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Tunables are the settings that can change at run time.
type Tunables struct {
	// MaxGrantTTL is the maximum time to live of a grant of keys to an upstream.
	MaxGrantTTL time.Duration
	// DrainPeriod is how long an upstream keeps serving after it announced its stop.
	DrainPeriod time.Duration
	// RetryWindow, RetryRatio and RetrySlack are the retry budget of each service:
	// in any window, at most ratio times the requests plus slack may be retries.
	RetryWindow time.Duration
	RetryRatio  float64
	RetrySlack  int
	// WarmupOverage and WarmupSlack bound the requests to a cold upstream: in any second it
	// gets at most the rate of its service times the overage, plus the slack. There is no
	// bound if the overage is 0.
	WarmupOverage float64
	WarmupSlack   float64
}

// Edge runs an entry VM. The exported fields must be set before Run.
type Edge struct {
	VM   string // name of this VM
	Zone string

	// CallerListen, ReadyListen and LinkListen are the host:port addresses of the
	// listeners for callers, for readiness probes and for links from other VMs.
	CallerListen string
	ReadyListen  string
	LinkListen   string
	// MetricsListen is the host:port address that serves /metrics; empty for none.
	MetricsListen string
	// ConfigPeriod is the time in which a new configuration must be in force.
	ConfigPeriod time.Duration
	// GracePeriod bounds the duration of a shutdown.
	GracePeriod time.Duration
	// FirstStart is set if the whole system starts for the first time.
	FirstStart bool
	// CPUShare is the CPU limit of the VM, in cores.
	CPUShare float64
	// MemoryBytes is the memory limit of the process.
	MemoryBytes int64
	// MaxFDs is the number of descriptors that the process may open; 0 if it is not known.
	MaxFDs int
	Tunables

	Clock    clocker.Clock
	Log      *slog.Logger
	Registry *prometheus.Registry
	Dial     DialFunc
	Protocol Protocol
	Store    storer.Store
	Granter  keeper.Granter

	// HeartbeatInterval is the interval at which upstreams refresh their entries. An
	// entry lapses after missedHeartbeats of them.
	HeartbeatInterval time.Duration

	// KindUpstreams is the object kind of the entries in which upstreams register
	// themselves. DecodeUpstream decodes such an entry.
	KindUpstreams  string
	DecodeUpstream func(object storer.Object) (registrar.Entry, error)
	// KindEvacuations is the object kind of evacuations, whose objects are named after the
	// zones that are being evacuated.
	KindEvacuations string
	// EvacuationPeriod is the time in which an evacuation must be in force; 0 if this
	// platform has no evacuations.
	EvacuationPeriod time.Duration
	// KindConfig and NameConfig identify the object that holds the configuration.
	// DecodeConfig decodes its spec.
	KindConfig   string
	NameConfig   string
	DecodeConfig func(spec []byte) (*matcher.Config, error)

	configs        configHistory
	enroller       *enroller.Enroller
	allocator      *allocator.Allocator
	registrar      *registrar.Registrar
	courier        *courier.Forwarder
	sender         *sender.Sender
	linkPool       *linker.Pool
	linkServer     *linker.Server
	stopping       atomic.Bool
	firstListAt    time.Time     // see awaitFirstList; zero unless FirstStart is set
	brokerEligible atomic.Bool   // this VM is registered and can be the broker of services
	resigned       chan struct{} // closed when this VM has resigned as broker of all services
}

const (
	// stopNotice is how long new connections are accepted after shutdown began. The
	// load balancer probes once a second and needs two failed probes.
	stopNotice = 2600 * time.Millisecond
	// stopReserve is the part of the grace period reserved for the last steps of the
	// shutdown.
	stopReserve = 600 * time.Millisecond
	// resignReserve is the part of the grace period reserved for resigning as broker.
	resignReserve = time.Second
	// idleCheckInterval is the interval between checks of idle connections.
	idleCheckInterval = time.Second
	// missedHeartbeats is the number of intervals without a refresh after which the
	// platform removes the entry of an upstream.
	missedHeartbeats = 3
)

// Run serves until ctx is cancelled, and then shuts down gracefully.
func (edge *Edge) Run(ctx context.Context) error {
	boot := uuid.NewString()
	edge.buildComponents(boot)
	edge.resigned = make(chan struct{})
	edge.Log.Info("starting", "zone", edge.Zone, "boot", boot, "callers", edge.CallerListen, "links", edge.LinkListen)
	callerListener, err := edge.listenForCallers(ctx)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	readyListener, err := net.Listen("tcp", edge.ReadyListen)
	if err != nil {
		return fmt.Errorf("listen for readiness probes: %w", err)
	}
	linkListener, err := net.Listen("tcp", edge.LinkListen)
	if err != nil {
		return fmt.Errorf("listen for links: %w", err)
	}

	// The components run until all requests have been answered.
	componentsCtx, stopComponents := context.WithCancel(context.WithoutCancel(ctx))
	defer stopComponents()
	group, componentsCtx := errgroup.WithContext(componentsCtx)
	readyServer := newReadyServer(http.HandlerFunc(edge.serveReady))
	group.Go(func() error {
		return ignoreServerClosed(readyServer.Serve(netutil.LimitListener(readyListener, maxReadyConnections)))
	})
	group.Go(func() error { return edge.runLinks(componentsCtx, ctx, linkListener) })
	if edge.MetricsListen != "" {
		group.Go(func() error { return edge.serveMetrics(componentsCtx) })
	}
	for _, follower := range edge.allocator.Followers {
		group.Go(func() error {
			if edge.awaitFirstList(componentsCtx, follower) != nil {
				return nil
			}
			return follower.Run(componentsCtx)
		})
	}
	group.Go(func() error { return edge.registrar.Run(componentsCtx) })
	group.Go(func() error { return edge.closeStaleConnections(componentsCtx) })
	account := accountant.New(accountant.LimitsFor(edge.MemoryBytes), edge.Clock, edge.Log)
	accountant.NewMetrics(edge.Registry, account)
	stopTimeout := max(edge.GracePeriod-stopReserve, stopNotice)
	server := &fronter.Server{
		Listener: callerListener, Handler: edge.courier, Clock: edge.Clock, Log: edge.Log, Limits: edge.courier.Limits,
		StopNotice: stopNotice, StopTimeout: stopTimeout,
		Account: account, MaxConnections: accountant.MaxConnections(edge.MaxFDs),
	}
	group.Go(func() error { return account.Run(componentsCtx) })
	group.Go(func() error {
		defer stopComponents()
		err := server.Run(ctx)
		if edge.brokerEligible.Load() {
			select {
			case <-edge.resigned:
			case <-componentsCtx.Done():
			}
		}
		return err
	})
	group.Go(func() error {
		select {
		case <-ctx.Done():
			edge.stopping.Store(true)
			edge.Log.Info("stopping")
			_ = edge.courier.Stop(componentsCtx, edge.Clock.Now().Add(stopTimeout)) // returns when componentsCtx is done
		case <-componentsCtx.Done():
		}
		return readyServer.Close()
	})
	err = group.Wait()
	edge.Log.Info("stopped", "error", fmt.Sprint(err))
	return err
}

// ignoreServerClosed returns nil for the error of a server that was closed on purpose.
func ignoreServerClosed(err error) error {
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

// buildComponents creates the components and connects them with each other.
func (edge *Edge) buildComponents(boot string) {
	metrics := linker.NewMetrics()
	edge.Registry.MustRegister(metrics)
	edge.enroller = &enroller.Enroller{
		Name: edge.VM, Self: enroller.VM{Address: edge.LinkListen, Zone: edge.Zone, Boot: boot, CPUShare: edge.CPUShare},
		Store: edge.Store, Clock: edge.Clock, Log: edge.Log, FirstStart: edge.FirstStart,
	}
	edge.linkServer = &linker.Server{VM: edge.VM, Clock: edge.Clock, Metrics: metrics, ShutdownTimeout: linkShutdownTimeout}
	edge.linkPool = &linker.Pool{VM: edge.VM, Directory: edge.enroller, LocalServer: edge.linkServer, Clock: edge.Clock, Metrics: metrics}
	edge.allocator = &allocator.Allocator{
		VM: edge.VM, Zone: edge.Zone, BootID: boot, Clock: edge.Clock, Log: edge.Log, Store: edge.Store, Peers: edge.linkPool, Members: edge.enroller,
		Granter: edge.Granter, Config: edge, OnEra: edge.enroller.ObserveEra, MaxStaleness: edge.maxStaleness(), StopTimeout: max(edge.GracePeriod-stopReserve-resignReserve, 0),
	}
	edge.allocator.Tune(edge.RetryWindow, edge.RetryRatio, edge.RetrySlack, edge.MaxGrantTTL, edge.DrainPeriod)
	edge.allocator.SetWarmupTerms(edge.WarmupOverage, edge.WarmupSlack)
	edge.allocator.Init(edge.linkServer)
	edge.Registry.MustRegister(edge.allocator)
	edge.registrar = &registrar.Registrar{Clock: edge.Clock, Log: edge.Log, Decode: edge.DecodeUpstream, OnChange: edge.allocator.SetUpstreams}
	edge.allocator.Followers = []*storer.Follower{
		edge.newFollower(edge.KindConfig, edge.handleConfigList, edge.handleConfigChanges, nil),
		edge.newFollower(edge.KindUpstreams, edge.registrar.HandleList, edge.registrar.HandleChanges, edge.registrar.HandleResponse),
		edge.enroller.NewFollower(), edge.allocator.NewClaimFollower(),
	}
	if edge.EvacuationPeriod > 0 {
		evacuations := &evacuations{onChange: edge.allocator.SetEvacuations}
		edge.allocator.Followers = append(edge.allocator.Followers, edge.newFollower(edge.KindEvacuations, evacuations.handleList, evacuations.handleChanges, nil))
	}
	if edge.FirstStart {
		edge.setFirstListTime()
		edge.allocator.AwaitsFirstReports = edge.awaitsFirstReports
	}
	for _, follower := range edge.allocator.Followers {
		if follower.Relayed == nil {
			follower.Relayed = edge.allocator.ChangesRelayed
		}
		follower.DeferRetries = edge.allocator.BrokerRetriesStore
		follower.RelyingVMs = func() int { return len(edge.enroller.VMs()) }
		// An entry that was refreshed just before an outage has its next refresh up to
		// one interval after it.
		follower.MinOutage = (missedHeartbeats - 1) * edge.HeartbeatInterval
	}
	edge.sender = &sender.Sender{Clock: edge.Clock, Protocol: edge.Protocol, Dial: edge.Dial}
	edge.courier = &courier.Forwarder{
		VM: edge.VM, Zone: edge.Zone, Clock: edge.Clock, Protocol: edge.Protocol, Allocator: edge.allocator, Sender: edge.sender,
		Log: edge.Log, Metrics: courier.NewMetrics(edge.Registry),
	}
}

// Tune applies changed settings to a running VM.
func (edge *Edge) Tune(tunables Tunables) {
	edge.allocator.Tune(tunables.RetryWindow, tunables.RetryRatio, tunables.RetrySlack, tunables.MaxGrantTTL, tunables.DrainPeriod)
	edge.allocator.SetWarmupTerms(tunables.WarmupOverage, tunables.WarmupSlack)
}

// linkShutdownTimeout bounds the wait for calls from other VMs during shutdown.
const linkShutdownTimeout = 200 * time.Millisecond

// runLinks runs the links to other VMs until ctx is cancelled, and the allocator
// until stop is cancelled. The allocator then hands its services over to other VMs,
// for which it still needs the links.
func (edge *Edge) runLinks(ctx, stop context.Context, listener net.Listener) error {
	key, err := edge.enroller.LinkKey(ctx)
	if err != nil {
		return listener.Close()
	}
	edge.linkServer.SharedKey, edge.linkPool.SharedKey = key, key
	server := &http.Server{Handler: edge.linkServer, ReadHeaderTimeout: time.Second}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return ignoreServerClosed(server.Serve(listener)) })
	group.Go(func() error { return edge.linkServer.Run(ctx) })
	group.Go(func() error { return edge.linkPool.Run(ctx) })
	group.Go(func() error {
		if edge.enroller.Register(ctx) != nil {
			return nil
		}
		edge.brokerEligible.Store(true)
		group.Go(func() error { return edge.enroller.Run(ctx) })
		defer close(edge.resigned)
		return edge.allocator.Run(stop)
	})
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	return group.Wait()
}

// closeStaleConnections periodically closes idle connections that are too old or
// lead to an upstream that no longer exists.
func (edge *Edge) closeStaleConnections(ctx context.Context) error {
	ticker := edge.Clock.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C():
			edge.sender.PruneIdle(edge.allocator.RegisteredUpstreams())
		}
	}
}

// serveMetrics serves /metrics until ctx is cancelled.
func (edge *Edge) serveMetrics(ctx context.Context) error {
	router := mux.NewRouter()
	router.Handle("/metrics", promhttp.HandlerFor(edge.Registry, promhttp.HandlerOpts{}))
	server := &http.Server{Addr: edge.MetricsListen, Handler: router, ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := ignoreServerClosed(server.ListenAndServe()); err != nil {
		return fmt.Errorf("listen for metrics: %w", err)
	}
	return nil
}

// serveReady responds to the load balancer's readiness probe. The VM is ready once
// it has a configuration, the newest one that the brokers know, and the list of
// upstreams, and until it shuts down.
func (edge *Edge) serveReady(writer http.ResponseWriter, request *http.Request) {
	switch {
	case request.URL.Path != edge.Protocol.ReadyPath():
		writer.WriteHeader(http.StatusNotFound)
	case edge.stopping.Load() || edge.courier.Table() == nil || !edge.registrar.Ready() || !edge.allocator.ConfigConfirmed():
		writer.WriteHeader(http.StatusServiceUnavailable)
	default:
		writer.WriteHeader(http.StatusOK)
	}
}
