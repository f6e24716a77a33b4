package starter

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"go.uber.org/fx"

	"github.com/cuminstream/cuminstream/internal/asserter"
	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/dispatcher"
	"github.com/cuminstream/cuminstream/internal/homer"
	"github.com/cuminstream/cuminstream/internal/linker"
	"github.com/cuminstream/cuminstream/internal/locator"
	"github.com/cuminstream/cuminstream/internal/operator"
	"github.com/cuminstream/cuminstream/internal/platformer"
	"github.com/cuminstream/cuminstream/internal/router"
	"github.com/cuminstream/cuminstream/internal/syncer"
	"github.com/cuminstream/cuminstream/internal/timeliner"
	"github.com/cuminstream/cuminstream/internal/upstreamer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/tracker"
)

// options provides the daemon's components to fx.
func options(settings Settings) fx.Option {
	return fx.Options(
		fx.Supply(settings),
		fx.Provide(
			func() clocker.Clock { return clocker.System{} },
			newRegistry, newRecorder, newPlatform, newStore, newTracker, newServer, newPool, newHomer, newUpstreamClient,
			newRouter, newOperator, newLocalGroups, newGossip, newAcceptor, newDaemon,
			func(store *syncer.Store, pool *linker.Pool, clock clocker.Clock) *exchange {
				return newExchange(store, pool, clock)
			},
			func() *configurer.Store { return &configurer.Store{} },
			locator.New,
			func(locator *locator.Locator) *router.Registry { return &router.Registry{Locator: locator} },
			func(registry *prometheus.Registry) *router.Metrics { return router.NewMetrics(registry) },
		),
		fx.Invoke(registerLifecycle),
	)
}

func newRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	registry.MustRegister(asserter.Failures, configurer.AppliedRevision, configurer.UnusableRevisions, syncer.MergesTotal, syncer.WatchFailuresTotal)
	registry.MustRegister(dispatcher.Collectors()...)
	return registry
}

func newRecorder(settings Settings, clock clocker.Clock) *timeliner.Recorder {
	return timeliner.New(clock, settings.Name)
}

func newPlatform(settings Settings, clock clocker.Clock) (platformer.API, error) {
	transport := platformer.NewTransport()
	transport.Proxy = nil
	return platformer.NewClient(settings.Platform, clock, transport)
}

func newStore(api platformer.API, clock clocker.Clock, recorder *timeliner.Recorder) *syncer.Store {
	store := syncer.New(api, clock)
	store.Recorder = recorder
	return store
}

func newTracker(settings Settings, clock clocker.Clock) *tracker.Tracker {
	return tracker.New(tracker.Config{
		Self: settings.Name, Clock: clock, HeartbeatInterval: settings.Heartbeat, SuspicionTimeout: settings.Suspicion,
	})
}

func newServer(settings Settings, clock clocker.Clock, localDispatchers *router.Registry, registry *prometheus.Registry) *linker.Server {
	linkMetrics := linker.NewMetrics()
	registry.MustRegister(linkMetrics)
	return &linker.Server{
		VM: settings.Name, SharedKey: []byte(settings.SharedKey), Handler: localDispatchers, Clock: clock, Metrics: linkMetrics,
		ShutdownTimeout: settings.StopTimeout,
	}
}

func newPool(settings Settings, clock clocker.Clock, server *linker.Server, tracker *tracker.Tracker) *linker.Pool {
	return &linker.Pool{
		VM: settings.Name, SharedKey: []byte(settings.SharedKey), Directory: directory{tracker}, LocalServer: server, Clock: clock, Metrics: server.Metrics,
	}
}

// directory implements linker.Directory and router.Liveness on top of the
// tracker.
type directory struct{ tracker *tracker.Tracker }

// LinkAddress implements linker.Directory.
func (directory directory) LinkAddress(vm string) (string, bool) {
	member, ok := directory.tracker.Snapshot().Member(vm)
	return member.Address, ok && member.Address != ""
}

// Alive reports whether the VM is known and neither suspected nor gone.
func (directory directory) Alive(vm string) bool {
	member, ok := directory.tracker.Snapshot().Member(vm)
	return ok && (member.State == tracker.Alive || member.State == tracker.Leaving)
}

// Reachable implements router.Liveness. An unknown VM counts as reachable, because
// a VM that has just started does not know all others yet.
func (directory directory) Reachable(vm string) bool {
	_, known := directory.tracker.Snapshot().Member(vm)
	return !known || directory.Alive(vm)
}

func newHomer(clock clocker.Clock, store *syncer.Store, documents *configurer.Store, gossip *gossip, groups *localGroups,
	recorder *timeliner.Recorder,
) *homer.Controller {
	return &homer.Controller{
		Clock: clock, Objects: store, Document: documents.Document, Position: gossip.position, Groups: groups, Recorder: recorder,
	}
}

func newUpstreamClient(clock clocker.Clock) *upstreamer.Client { return upstreamer.New(clock) }

// requestMatcher implements router.Matcher with the routing document in force.
type requestMatcher struct{ store *configurer.Store }

// Match implements router.Matcher.
func (matcher requestMatcher) Match(host, path, method string) (*configurer.Match, bool) {
	return matcher.store.Document().Match(host, path, method)
}

// HasDocument implements router.Matcher.
func (matcher requestMatcher) HasDocument() bool { return matcher.store.Revision() > 0 }

func newRouter(settings Settings, clock clocker.Clock, store *configurer.Store, groupLocator *locator.Locator, registry *router.Registry,
	pool *linker.Pool, vmTracker *tracker.Tracker, metrics *router.Metrics,
) *router.Router {
	return &router.Router{
		Clock: clock, VM: settings.Name, Matcher: requestMatcher{store}, Locator: groupLocator, Local: registry, Forwarder: pool,
		Liveness: directory{vmTracker}, TakeoverTimeout: takeoverTimeout, Metrics: metrics,
	}
}

func newOperator(settings Settings, groups *localGroups, gossip *gossip, recorder *timeliner.Recorder, pool *linker.Pool, registry *prometheus.Registry) *operator.Server {
	return &operator.Server{
		VM: settings.Name, Status: groups.status, Owners: groups.owners, Peers: gossip.peerNames, Ready: groups.ready,
		Recorder: recorder, Caller: pool, Gatherer: registry,
	}
}

// registerLifecycle starts and stops the daemon with the fx application.
func registerLifecycle(life fx.Lifecycle, daemon *daemon) {
	life.Append(fx.Hook{
		OnStart: func(context.Context) error { return daemon.start() },
		OnStop:  daemon.stop,
	})
}
