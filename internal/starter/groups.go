package starter

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"
	"golang.org/x/sync/errgroup"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/dispatcher"
	"github.com/cuminstream/cuminstream/internal/homer"
	"github.com/cuminstream/cuminstream/internal/linker"
	"github.com/cuminstream/cuminstream/internal/locator"
	"github.com/cuminstream/cuminstream/internal/platformer"
	"github.com/cuminstream/cuminstream/internal/replicator"
	"github.com/cuminstream/cuminstream/internal/router"
	"github.com/cuminstream/cuminstream/internal/syncer"
	"github.com/cuminstream/cuminstream/internal/timeliner"
	"github.com/cuminstream/cuminstream/internal/upstreamer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/tracker"
)

// refreshInterval is the interval at which the dispatchers are updated from the
// routing document and the shard maps.
const refreshInterval = 100 * time.Millisecond

// localGroups holds the groups of which this VM is a candidate, with their
// dispatchers. Lock order: its mutex, then those of the manager and the
// dispatchers.
type localGroups struct {
	settings  Settings
	clock     clocker.Clock
	store     *syncer.Store
	documents *configurer.Store
	tracker   *tracker.Tracker
	locator   *locator.Locator
	registry  *router.Registry
	upstreams *upstreamer.Client
	recorder  *timeliner.Recorder
	gossip    *gossip
	pool      *linker.Pool
	metrics   *prometheus.Registry
	manager   *replicator.Manager

	mutex             sync.Mutex
	byID              map[string]*localGroup
	drainingUpstreams []string // upstreams that the platform lists as leaving
	background        errgroup.Group
	stopping          atomic.Bool
	stopPlanned       atomic.Bool // the document has a planned stop of this VM
}

// localGroup is a group of which this VM is a candidate, with its dispatcher.
type localGroup struct {
	service          string
	dispatcher       *dispatcher.Dispatcher
	cancel           context.CancelFunc
	documentRevision uint64 // revision of the routing document that the dispatcher uses
	shardMapRevision uint64 // revision of the shard map that the dispatcher uses
}

// groupDependencies are the dependencies of localGroups, injected by fx.
type groupDependencies struct {
	fx.In

	Settings  Settings
	Clock     clocker.Clock
	API       platformer.API
	Store     *syncer.Store
	Documents *configurer.Store
	Tracker   *tracker.Tracker
	Pool      *linker.Pool
	Locator   *locator.Locator
	Registry  *router.Registry
	Upstreams *upstreamer.Client
	Recorder  *timeliner.Recorder
	Gossip    *gossip
	Metrics   *prometheus.Registry
}

func newLocalGroups(deps groupDependencies) *localGroups {
	groups := &localGroups{
		settings: deps.Settings, clock: deps.Clock, store: deps.Store, documents: deps.Documents, tracker: deps.Tracker,
		locator: deps.Locator, registry: deps.Registry, upstreams: deps.Upstreams, recorder: deps.Recorder,
		gossip: deps.Gossip, pool: deps.Pool, metrics: deps.Metrics, byID: map[string]*localGroup{},
	}
	groups.manager = &replicator.Manager{
		VM: deps.Settings.Name, Clock: deps.Clock, Timing: deps.Settings.Timing(), Caller: deps.Pool,
		Objects:  platformObjects{deps.API, deps.Store},
		Liveness: liveness{tracker: deps.Tracker, clock: deps.Clock, name: deps.Settings.Name, zone: deps.Settings.Zone},
		Recorder: deps.Recorder, Specs: groups.specs, CachedObject: groups.objectValue, LeaseHandler: groups.join,
	}
	deps.Gossip.heldTerms, deps.Gossip.groupRecords, deps.Gossip.setDrainingUpstreams = groups.heldTerms, groups.records, groups.setDrainingUpstreams
	deps.Store.IsWatcher = deps.Gossip.isWatcher
	return groups
}

// register installs the handlers of calls from other VMs.
func (groups *localGroups) register(registrar linker.Registrar) {
	groups.manager.Register(registrar)
	registrar.Handle(callReportOutcomes, groups.handleOutcomes)
}

// objectValue returns the value of an object in the local store.
func (groups *localGroups) objectValue(name string) ([]byte, bool) {
	object, ok := groups.store.Get(name)
	return object.Value, ok
}

// specs returns the groups of the routing document in force, or nil if there is
// none.
func (groups *localGroups) specs() []configurer.GroupSpec {
	document := groups.documents.Document()
	if document.Revision == 0 {
		return nil
	}
	specs := []configurer.GroupSpec{}
	for _, section := range document.Sections {
		for _, service := range section.Services {
			specs = append(specs, groups.groupSpecs(service)...)
		}
	}
	return specs
}

// groupSpecs returns the groups of a service: those in the document, and those
// that have no upstreams in the document any more but still own shards.
func (groups *localGroups) groupSpecs(service configurer.Service) []configurer.GroupSpec {
	specs := service.Groups()
	shardMap, ok := groups.locator.ShardMap(service.Name)
	if !ok {
		return specs
	}
	for _, group := range shardMap.Groups {
		listed := slices.ContainsFunc(specs, func(spec configurer.GroupSpec) bool { return spec.ID == group })
		if !listed && len(shardMap.ShardsOf(group)) > 0 {
			specs = append(specs, configurer.GroupSpec{ID: group, Service: service.Name, Zone: zoneOf(group)})
		}
	}
	return specs
}

// zoneOf returns the zone of a group ID, which is <service>.<zone>.<n>.
func zoneOf(group string) string {
	parts := strings.Split(group, ".")
	if len(parts) < 3 {
		return ""
	}
	return parts[len(parts)-2]
}

// join starts and returns the dispatcher of a group of which this VM becomes a
// candidate.
func (groups *localGroups) join(spec configurer.GroupSpec) replicator.LeaseHandler {
	created := &dispatcher.Dispatcher{
		Group: spec.ID, Clock: groups.clock, UpstreamClient: groups.upstreams, Timeline: groups.recorder,
		Persist: func(ctx context.Context, assignment replicator.Assignment) error {
			return groups.persist(ctx, spec.ID, assignment)
		},
		ReportOutcomes: func(ctx context.Context, entries replicator.Entries) error {
			return groups.reportOutcomes(ctx, spec.ID, entries)
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	local := &localGroup{service: spec.Service, dispatcher: created, cancel: cancel}
	groups.updateDispatcher(local, spec)
	groups.mutex.Lock()
	if previous := groups.byID[spec.ID]; previous != nil {
		previous.cancel()
	}
	groups.byID[spec.ID] = local
	draining := groups.drainingUpstreams
	groups.mutex.Unlock()
	created.SetDraining(draining)
	groups.registry.Set(spec.ID, created)
	groups.background.Go(func() error { return created.Run(ctx) })
	return created
}

// updateDispatcher passes a newer routing document or shard map to the
// dispatcher.
func (groups *localGroups) updateDispatcher(local *localGroup, spec configurer.GroupSpec) {
	document := groups.documents.Document()
	if local.documentRevision != document.Revision {
		if match, ok := document.Service(spec.Service); ok {
			local.documentRevision = document.Revision
			local.dispatcher.Update(spec, *match.Service, *document)
		}
	}
	if shardMap, ok := groups.locator.ShardMap(spec.Service); ok && shardMap.Revision != local.shardMapRevision {
		local.shardMapRevision = shardMap.Revision
		local.dispatcher.SetHomeShards(shardMap.ShardsOf(spec.ID))
	}
}

// Run runs the group manager, rebalances the groups, and refreshes their
// dispatchers until ctx is done.
func (groups *localGroups) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := groups.manager.Run(ctx); err != nil && ctx.Err() == nil {
			return err
		}
		return nil
	})
	group.Go(func() error { return groups.rebalance(ctx) })
	ticker := groups.clock.NewTicker(refreshInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		groups.refresh()
		groups.checkPlannedStop(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C():
		}
	}
	err := group.Wait()
	groups.mutex.Lock()
	for _, local := range groups.byID {
		local.cancel()
	}
	groups.mutex.Unlock()
	_ = groups.background.Wait() // dispatchers end without an error
	return err
}

// refresh updates the locator and the dispatchers, and stops the dispatchers of
// groups that this VM has left.
func (groups *localGroups) refresh() {
	for _, section := range groups.documents.Document().Sections {
		for _, service := range section.Services {
			groups.refreshService(service.Name)
			for _, spec := range groups.groupSpecs(service) {
				groups.refreshGroup(spec)
			}
		}
	}
	groups.mutex.Lock()
	defer groups.mutex.Unlock()
	for id, local := range groups.byID {
		if _, ok := groups.manager.Group(id); !ok {
			local.cancel()
			groups.registry.Set(id, nil)
			delete(groups.byID, id)
		}
	}
}

// refreshService reads the shard map of a service from the store into the
// locator.
func (groups *localGroups) refreshService(service string) {
	value, ok := groups.objectValue(homer.ObjectName(service))
	if !ok {
		return
	}
	if shardMap, err := locator.ParseShardMap(value); err == nil {
		groups.locator.SetShardMap(shardMap)
	}
}

// refreshGroup updates the candidates and the holder of a group in the locator,
// and its dispatcher.
func (groups *localGroups) refreshGroup(spec configurer.GroupSpec) {
	if record, ok := groups.manager.Record(spec.ID); ok {
		groups.locator.SetCandidates(spec.ID, record.Candidates)
	}
	if group, ok := groups.manager.Group(spec.ID); ok {
		if vm, term, known := group.Holder(); known {
			groups.locator.SetHolder(spec.ID, vm, term)
		}
	}
	if local := groups.find(spec.ID); local != nil {
		groups.updateDispatcher(local, spec)
	}
}

// find returns the group with the ID, or nil if this VM is not a candidate of it.
func (groups *localGroups) find(id string) *localGroup {
	groups.mutex.Lock()
	defer groups.mutex.Unlock()
	return groups.byID[id]
}

// snapshot returns a copy of the groups by ID.
func (groups *localGroups) snapshot() map[string]*localGroup {
	groups.mutex.Lock()
	defer groups.mutex.Unlock()
	return maps.Clone(groups.byID)
}

// records returns the records of the groups of which this VM is a candidate.
func (groups *localGroups) records() []replicator.Record {
	var records []replicator.Record
	for id := range groups.snapshot() {
		if record, ok := groups.manager.Record(id); ok {
			records = append(records, record)
		}
	}
	return records
}

// heldTerms returns the terms of the groups that this VM serves, by group ID.
func (groups *localGroups) heldTerms() map[string]uint64 {
	held := map[string]uint64{}
	for id := range groups.snapshot() {
		group, ok := groups.manager.Group(id)
		if !ok {
			continue
		}
		if vm, term, known := group.Holder(); known && vm == groups.settings.Name {
			held[id] = term
		}
	}
	return held
}

// ready reports whether a routing document and the shard maps of all its services
// are known, and this VM is not stopping or draining.
func (groups *localGroups) ready() bool {
	document := groups.documents.Document()
	if groups.stopping.Load() || groups.stopPlanned.Load() || document.Revision == 0 {
		return false
	}
	for _, section := range document.Sections {
		for _, service := range section.Services {
			if _, ok := groups.locator.ShardMap(service.Name); !ok {
				return false
			}
		}
	}
	return true
}

// setDrainingUpstreams passes the upstreams that the platform lists as leaving to
// the dispatchers.
func (groups *localGroups) setDrainingUpstreams(names []string) {
	groups.mutex.Lock()
	changed := !slices.Equal(groups.drainingUpstreams, names)
	groups.drainingUpstreams = names
	snapshot := maps.Clone(groups.byID)
	groups.mutex.Unlock()
	if !changed {
		return
	}
	for _, local := range snapshot {
		local.dispatcher.SetDraining(names)
	}
}

// plannedStops returns the VMs for which the document has a planned stop.
func (groups *localGroups) plannedStops() []string {
	var names []string
	for _, section := range groups.documents.Document().Sections {
		for _, stop := range section.Stops {
			if stop.VM != "" {
				names = append(names, stop.VM)
			}
		}
	}
	return names
}

// checkPlannedStop hands all groups over when the document gets a planned stop of
// this VM, and lets the VM hold groups again when the stop is removed. Meanwhile
// the process keeps forwarding requests until it is terminated.
func (groups *localGroups) checkPlannedStop(ctx context.Context) {
	planned := slices.Contains(groups.plannedStops(), groups.settings.Name)
	if planned == groups.stopPlanned.Swap(planned) {
		return
	}
	groups.gossip.leaving.Store(planned)
	if !planned {
		groups.recorder.Record(timeliner.Event{Kind: "vmDrainCancelled"})
		groups.manager.Resume()
		return
	}
	groups.recorder.Record(timeliner.Event{Kind: "vmDraining"})
	groups.background.Go(func() error {
		groups.releaseAll(ctx)
		return nil
	})
}

// stopReadiness makes the readiness check fail, so that the load balancer sends no
// new connections.
func (groups *localGroups) stopReadiness() { groups.stopping.Store(true) }

// releaseAll hands over all groups that this VM holds.
func (groups *localGroups) releaseAll(ctx context.Context) {
	if err := groups.manager.ReleaseAll(ctx); err != nil {
		slog.Warn("group handover failed; its lease will expire instead", "error", err)
	}
}
