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

// memberPeriod is the time between two comparisons of the dispatchers with the
// document and the homes.
const memberPeriod = 100 * time.Millisecond

// members are the groups of which this VM is a candidate, with their
// dispatchers. Its mutex comes before those of the manager and the dispatchers.
type members struct {
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

	mutex    sync.Mutex
	served   map[string]*member
	leaving  []string // upstreams that the platform's list shows as leaving
	running  errgroup.Group
	stopping atomic.Bool
	planned  atomic.Bool // the document plans a stop of this VM
}

// member is the dispatcher of one group on this VM.
type member struct {
	service    string
	dispatcher *dispatcher.Dispatcher
	cancel     context.CancelFunc
	revision   uint64 // of the document that the dispatcher has
	homes      uint64 // revision of the homes that the dispatcher has
}

// memberParts are what the groups depend on.
type memberParts struct {
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

func newMembers(parts memberParts) *members {
	members := &members{
		settings: parts.Settings, clock: parts.Clock, store: parts.Store, documents: parts.Documents, tracker: parts.Tracker,
		locator: parts.Locator, registry: parts.Registry, upstreams: parts.Upstreams, recorder: parts.Recorder,
		gossip: parts.Gossip, pool: parts.Pool, metrics: parts.Metrics, served: map[string]*member{},
	}
	members.manager = &replicator.Manager{
		VM: parts.Settings.Name, Clock: parts.Clock, Timing: parts.Settings.Timing(), Caller: parts.Pool,
		Objects:  objects{parts.API, parts.Store},
		Liveness: liveness{tracker: parts.Tracker, clock: parts.Clock, name: parts.Settings.Name, zone: parts.Settings.Zone},
		Recorder: parts.Recorder, Specs: members.specs, CachedObject: members.newest, LeaseHandler: members.begin,
	}
	parts.Gossip.held, parts.Gossip.records, parts.Gossip.upstreamsLeave = members.held, members.records, members.upstreamsLeave
	parts.Store.IsWatcher = parts.Gossip.watches
	return members
}

func (members *members) register(registrar linker.Registrar) {
	members.manager.Register(registrar)
	registrar.Handle(callSettle, members.answerSettle)
}

// newest returns the value of an object as this VM knows it.
func (members *members) newest(name string) ([]byte, bool) {
	object, ok := members.store.Get(name)
	return object.Value, ok
}

// specs returns the groups of the newest document, or nil if there is none.
func (members *members) specs() []configurer.GroupSpec {
	document := members.documents.Document()
	if document.Revision == 0 {
		return nil
	}
	specs := []configurer.GroupSpec{}
	for _, section := range document.Sections {
		for _, service := range section.Services {
			specs = append(specs, members.groups(service)...)
		}
	}
	return specs
}

// groups returns the groups of a service: those of the document, and those that
// still have shards but no upstreams in the document any more.
func (members *members) groups(service configurer.Service) []configurer.GroupSpec {
	specs := service.Groups()
	homes, ok := members.locator.ShardMap(service.Name)
	if !ok {
		return specs
	}
	for _, group := range homes.Groups {
		listed := slices.ContainsFunc(specs, func(spec configurer.GroupSpec) bool { return spec.ID == group })
		if !listed && len(homes.ShardsOf(group)) > 0 {
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

// begin returns the dispatcher of a group that this VM takes part in.
func (members *members) begin(spec configurer.GroupSpec) replicator.LeaseHandler {
	served := &dispatcher.Dispatcher{
		Group: spec.ID, Clock: members.clock, UpstreamClient: members.upstreams, Timeline: members.recorder,
		Persist: func(ctx context.Context, assignment replicator.Assignment) error {
			return members.persist(ctx, spec.ID, assignment)
		},
		ReportOutcomes: func(ctx context.Context, entries replicator.Entries) error {
			return members.settle(ctx, spec.ID, entries)
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	started := &member{service: spec.Service, dispatcher: served, cancel: cancel}
	members.update(started, spec)
	members.mutex.Lock()
	if former := members.served[spec.ID]; former != nil {
		former.cancel()
	}
	members.served[spec.ID] = started
	leaving := members.leaving
	members.mutex.Unlock()
	served.SetDraining(leaving)
	members.registry.Set(spec.ID, served)
	members.running.Go(func() error { return served.Run(ctx) })
	return served
}

// update gives the dispatcher the newest document and homes.
func (members *members) update(member *member, spec configurer.GroupSpec) {
	document := members.documents.Document()
	if member.revision != document.Revision {
		if match, ok := document.Service(spec.Service); ok {
			member.revision = document.Revision
			member.dispatcher.Update(spec, *match.Service, *document)
		}
	}
	if homes, ok := members.locator.ShardMap(spec.Service); ok && homes.Revision != member.homes {
		member.homes = homes.Revision
		member.dispatcher.SetHomeShards(homes.ShardsOf(spec.ID))
	}
}

// Run keeps the groups and their dispatchers until ctx is done.
func (members *members) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := members.manager.Run(ctx); err != nil && ctx.Err() == nil {
			return err
		}
		return nil
	})
	group.Go(func() error { return members.spread(ctx) })
	ticker := members.clock.NewTicker(memberPeriod)
	defer ticker.Stop()
	for ctx.Err() == nil {
		members.refresh()
		members.checkStop(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C():
		}
	}
	err := group.Wait()
	members.mutex.Lock()
	for _, member := range members.served {
		member.cancel()
	}
	members.mutex.Unlock()
	_ = members.running.Wait() // dispatchers end without an error
	return err
}

// refresh brings look-ups and dispatchers up to date.
func (members *members) refresh() {
	for _, section := range members.documents.Document().Sections {
		for _, service := range section.Services {
			members.refreshService(service.Name)
			for _, spec := range members.groups(service) {
				members.refreshGroup(spec)
			}
		}
	}
	members.mutex.Lock()
	defer members.mutex.Unlock()
	for id, member := range members.served {
		if _, ok := members.manager.Group(id); !ok {
			member.cancel()
			members.registry.Set(id, nil)
			delete(members.served, id)
		}
	}
}

// refreshService reads the homes of a service from the store.
func (members *members) refreshService(service string) {
	value, ok := members.newest(homer.ObjectName(service))
	if !ok {
		return
	}
	if homes, err := locator.ParseShardMap(value); err == nil {
		members.locator.SetShardMap(homes)
	}
}

func (members *members) refreshGroup(spec configurer.GroupSpec) {
	if record, ok := members.manager.Record(spec.ID); ok {
		members.locator.SetCandidates(spec.ID, record.Candidates)
	}
	if group, ok := members.manager.Group(spec.ID); ok {
		if vm, term, known := group.Holder(); known {
			members.locator.SetHolder(spec.ID, vm, term)
		}
	}
	if member := members.find(spec.ID); member != nil {
		members.update(member, spec)
	}
}

func (members *members) find(id string) *member {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.served[id]
}

func (members *members) all() map[string]*member {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return maps.Clone(members.served)
}

// records returns the records of the groups of which this VM is a candidate.
func (members *members) records() []replicator.Record {
	var records []replicator.Record
	for id := range members.all() {
		if record, ok := members.manager.Record(id); ok {
			records = append(records, record)
		}
	}
	return records
}

// held returns the groups that this VM serves, with their terms.
func (members *members) held() map[string]uint64 {
	held := map[string]uint64{}
	for id := range members.all() {
		group, ok := members.manager.Group(id)
		if !ok {
			continue
		}
		if vm, term, known := group.Holder(); known && vm == members.settings.Name {
			held[id] = term
		}
	}
	return held
}

// ready reports whether a document and the homes of all its services are known.
func (members *members) ready() bool {
	document := members.documents.Document()
	if members.stopping.Load() || members.planned.Load() || document.Revision == 0 {
		return false
	}
	for _, section := range document.Sections {
		for _, service := range section.Services {
			if _, ok := members.locator.ShardMap(service.Name); !ok {
				return false
			}
		}
	}
	return true
}

// upstreamsLeave tells the dispatchers which upstreams the platform's list shows
// as leaving.
func (members *members) upstreamsLeave(names []string) {
	members.mutex.Lock()
	changed := !slices.Equal(members.leaving, names)
	members.leaving = names
	served := maps.Clone(members.served)
	members.mutex.Unlock()
	if !changed {
		return
	}
	for _, member := range served {
		member.dispatcher.SetDraining(names)
	}
}

// stops returns the VMs for which the document has a planned stop.
func (members *members) stops() []string {
	var names []string
	for _, section := range members.documents.Document().Sections {
		for _, stop := range section.Stops {
			if stop.VM != "" {
				names = append(names, stop.VM)
			}
		}
	}
	return names
}

// checkStop hands all groups over once the document plans a stop of this VM, and
// takes part again once the stop is over. The process goes on and forwards
// requests until it is told to end.
func (members *members) checkStop(ctx context.Context) {
	planned := slices.Contains(members.stops(), members.settings.Name)
	if planned == members.planned.Swap(planned) {
		return
	}
	members.gossip.leaving.Store(planned)
	if !planned {
		members.recorder.Record(timeliner.Event{Kind: "vmDrainCancelled"})
		members.manager.Resume()
		return
	}
	members.recorder.Record(timeliner.Event{Kind: "vmDraining"})
	members.running.Go(func() error {
		members.release(ctx)
		return nil
	})
}

// leave ends readiness, so that the balancer sends no new connections.
func (members *members) leave() { members.stopping.Store(true) }

// release hands all held groups over.
func (members *members) release(ctx context.Context) {
	if err := members.manager.ReleaseAll(ctx); err != nil {
		slog.Warn("a group was not handed over; its lease expires instead", "error", err)
	}
}
