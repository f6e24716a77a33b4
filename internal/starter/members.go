package starter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/dispatcher"
	"github.com/cuminstream/cuminstream/internal/homer"
	"github.com/cuminstream/cuminstream/internal/linker"
	"github.com/cuminstream/cuminstream/internal/locator"
	"github.com/cuminstream/cuminstream/internal/operator"
	"github.com/cuminstream/cuminstream/internal/replicator"
	"github.com/cuminstream/cuminstream/internal/router"
	"github.com/cuminstream/cuminstream/internal/syncer"
	"github.com/cuminstream/cuminstream/internal/timeliner"
	"github.com/cuminstream/cuminstream/internal/upstreamer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/sharder"
	"github.com/cuminstream/cuminstream/pkg/tracker"
)

// memberPeriod is the time between two comparisons of the groups with the
// document.
const memberPeriod = 200 * time.Millisecond

// members are the groups of which this VM is a candidate.
type members struct {
	settings  Settings
	clock     clocker.Clock
	store     *syncer.Store
	documents *configurer.Store
	tracker   *tracker.Tracker
	pool      *linker.Pool
	locator   *locator.Locator
	registry  *router.Registry
	upstreams *upstreamer.Client
	recorder  *timeliner.Recorder
	pulse     *pulse
	metrics   *prometheus.Registry

	mutex    sync.Mutex
	groups   map[string]*member
	stopping atomic.Bool
}

// member is one group on this VM.
type member struct {
	spec       configurer.GroupSpec
	group      *replicator.Group
	dispatcher *dispatcher.Dispatcher
	revision   uint64
}

func newMembers(settings Settings, clock clocker.Clock, store *syncer.Store, documents *configurer.Store, tracked *tracker.Tracker,
	pool *linker.Pool, places *locator.Locator, registry *router.Registry, upstreams *upstreamer.Client, recorder *timeliner.Recorder,
	pulse *pulse, metrics *prometheus.Registry,
) *members {
	members := &members{
		settings: settings, clock: clock, store: store, documents: documents, tracker: tracked, pool: pool, locator: places,
		registry: registry, upstreams: upstreams, recorder: recorder, pulse: pulse, metrics: metrics, groups: map[string]*member{},
	}
	pulse.held = members.held
	store.Watches = pulse.watches
	return members
}

func (members *members) register(registrar linker.Registrar) {
	replicator.Register(registrar, func(id string) *replicator.Group {
		if found := members.find(id); found != nil {
			return found.group
		}
		return nil
	})
}

func (members *members) find(id string) *member {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return members.groups[id]
}

// held returns the groups that this VM serves, with their terms.
func (members *members) held() map[string]uint64 {
	held := map[string]uint64{}
	for id, member := range members.all() {
		if vm, term, ok := member.group.Holder(); ok && vm == members.settings.Name {
			held[id] = term
		}
	}
	return held
}

func (members *members) all() map[string]*member {
	members.mutex.Lock()
	defer members.mutex.Unlock()
	return maps.Clone(members.groups)
}

// ready reports whether a document and the homes of all its services are known.
func (members *members) ready() bool {
	document := members.documents.Document()
	if members.stopping.Load() || document.Revision == 0 {
		return false
	}
	for _, section := range document.Sections {
		for _, service := range section.Services {
			if _, ok := members.locator.Homes(service.Name); !ok {
				return false
			}
		}
	}
	return true
}

func (members *members) leave() { members.stopping.Store(true) }

// release hands all held groups over.
func (members *members) release(ctx context.Context) {
	var group errgroup.Group
	for _, member := range members.all() {
		group.Go(func() error {
			member.group.Retire()
			return member.group.Release(ctx, "")
		})
	}
	_ = group.Wait()
}

// Run compares the groups with the document until ctx is done.
func (members *members) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	ticker := members.clock.NewTicker(memberPeriod)
	defer ticker.Stop()
	for ctx.Err() == nil {
		members.compare(ctx, group)
		select {
		case <-ctx.Done():
		case <-ticker.C():
		}
	}
	return group.Wait()
}

func (members *members) compare(ctx context.Context, group *errgroup.Group) {
	document := members.documents.Document()
	for _, section := range document.Sections {
		for _, service := range section.Services {
			members.compareHomes(service)
			for _, spec := range service.Groups() {
				members.compareGroup(ctx, group, *document, service, spec)
			}
		}
	}
}

func (members *members) compareHomes(service configurer.Service) {
	object, ok := members.store.Get(homer.ObjectName(service.Name))
	if !ok {
		return
	}
	if homes, err := locator.ParseHomes(object.Value); err == nil {
		members.locator.SetHomes(homes)
	}
}

func (members *members) compareGroup(ctx context.Context, group *errgroup.Group, document configurer.Document, service configurer.Service, spec configurer.GroupSpec) {
	object, ok := members.store.Get(syncer.GroupsPrefix + spec.ID)
	if !ok {
		members.form(ctx, group, spec)
		return
	}
	var record replicator.Record
	if json.Unmarshal(object.Value, &record) != nil {
		return
	}
	members.locator.SetCandidates(spec.ID, record.Candidates)
	if !slices.Contains(record.Candidates, members.settings.Name) {
		return
	}
	found := members.find(spec.ID)
	if found == nil {
		found = members.start(ctx, group, spec, record)
	}
	found.group.Adopt(record)
	if homes, ok := members.locator.Homes(service.Name); ok {
		found.dispatcher.SetHomes(homes.ShardsOf(spec.ID))
	}
	if found.revision != document.Revision {
		found.revision, found.spec = document.Revision, spec
		found.dispatcher.Update(spec, service, document)
	}
}

func (members *members) start(ctx context.Context, group *errgroup.Group, spec configurer.GroupSpec, record replicator.Record) *member {
	served := &dispatcher.Dispatcher{
		Group: spec.ID, Clock: members.clock, Upstreams: members.upstreams, Timeline: members.recorder,
	}
	started := &member{spec: spec, dispatcher: served, group: &replicator.Group{
		ID: spec.ID, VM: members.settings.Name, Clock: members.clock, Timing: members.settings.Timing(), Caller: members.pool,
		Member: served, Recorder: members.recorder, Record: record,
	}}
	members.mutex.Lock()
	members.groups[spec.ID] = started
	members.mutex.Unlock()
	members.registry.Set(spec.ID, served)
	group.Go(func() error { return served.Run(ctx) })
	group.Go(func() error {
		if err := started.group.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
			return fmt.Errorf("group %s: %w", spec.ID, err)
		}
		return nil
	})
	return started
}

// form creates the record of a group, if this VM is the first of its zone.
func (members *members) form(ctx context.Context, group *errgroup.Group, spec configurer.GroupSpec) {
	candidates := []string{members.settings.Name}
	var others []string
	for _, peer := range members.tracker.Peers("") {
		if peer.Zone == spec.Zone {
			candidates = append(candidates, peer.Name)
		} else {
			others = append(others, peer.Name)
		}
	}
	slices.Sort(candidates)
	if members.settings.Zone != spec.Zone || candidates[0] != members.settings.Name || len(others) == 0 {
		return
	}
	first := int(sharder.Hash(spec.ID) % uint64(len(candidates)))
	candidates = append(candidates[first:], candidates[:first]...)
	candidates = append(candidates, others...)[:min(3, len(candidates)+len(others))]
	record := replicator.Record{ID: spec.ID, Candidates: candidates, BaseTerm: 1, Revision: 1, WriteID: uuid.NewString()}
	value, err := json.Marshal(record)
	if err != nil {
		return
	}
	if _, err := members.store.Put(ctx, syncer.GroupsPrefix+spec.ID, value, ""); err != nil {
		return
	}
	group.Go(func() error {
		_ = clocker.Sleep(ctx, members.clock, time.Second)
		_ = replicator.Found(ctx, members.clock, members.settings.Timing(), members.pool, record)
		return nil
	})
}

// status reports on this VM.
func (members *members) status() operator.Status {
	status := operator.Status{
		VM: members.settings.Name, Zone: members.settings.Zone, Time: members.clock.Now(), Stopping: members.stopping.Load(),
		Revision: members.documents.Document().Revision, Platform: "unreachable", Refusals: map[string]float64{},
	}
	if members.pulse.listed.Load() {
		status.Platform = "reachable"
	}
	for _, peer := range members.tracker.Peers("") {
		status.Peers = append(status.Peers, operator.Peer{VM: peer.Name, Zone: peer.Zone, State: peer.State.String(), Operator: peer.Operator})
	}
	for id, member := range members.all() {
		status.Groups = append(status.Groups, members.groupStatus(id, member))
	}
	slices.SortFunc(status.Groups, func(a, b operator.Group) int { return strings.Compare(a.ID, b.ID) })
	status.Refusals = members.refusals()
	return status
}

func (members *members) groupStatus(id string, member *member) operator.Group {
	vm, term, _ := member.group.Holder()
	group := operator.Group{ID: id, Holder: vm, Term: term, Candidates: member.group.Newest().Candidates}
	if homes, ok := members.locator.Homes(member.spec.Service); ok {
		group.Shards = len(homes.ShardsOf(id))
	}
	if vm != members.settings.Name {
		return group
	}
	state := member.dispatcher.Status()
	for _, upstream := range state.Upstreams {
		shown := operator.Upstream{
			Name: upstream.Name, State: upstream.Health, Shards: upstream.Shards, Slots: upstream.Slots, Busy: upstream.Taken, Queued: map[string]int{},
		}
		if upstream.Draining != "" {
			shown.State = "draining"
		}
		if upstream.Drained {
			shown.State = "drained"
		}
		for key, owner := range state.HotKeys {
			if owner == upstream.Name {
				shown.Hot = append(shown.Hot, key)
			}
		}
		for rank, count := range upstream.Queued {
			shown.Queued[rankName(rank)] = count
		}
		slices.Sort(shown.Hot)
		group.Upstreams = append(group.Upstreams, shown)
	}
	return group
}

// owners returns the owner of a key in one service, or in all.
func (members *members) owners(service, key string) ([]operator.Owner, error) {
	var owners []operator.Owner
	for _, section := range members.documents.Document().Sections {
		for _, known := range section.Services {
			if service != "" && known.Name != service {
				continue
			}
			place, ok := members.locator.Locate(known.Name, key)
			if !ok {
				continue
			}
			owners = append(owners, members.owner(known.Name, key, place))
		}
	}
	if len(owners) == 0 {
		return nil, fmt.Errorf("no owner of key %q in service %q is known", key, service)
	}
	slices.SortFunc(owners, func(a, b operator.Owner) int { return strings.Compare(a.Service, b.Service) })
	return owners, nil
}

func (members *members) owner(service, key string, place locator.Location) operator.Owner {
	vm, term, _ := members.locator.Holder(place.Group)
	owner := operator.Owner{Service: service, Key: key, Shard: place.Shard, Group: place.Group, Holder: vm, Term: term, From: members.settings.Name}
	if found := members.find(place.Group); found != nil {
		if vm, term, ok := found.group.Holder(); ok {
			owner.Holder, owner.Term = vm, term
		}
		if owner.Holder == members.settings.Name {
			owner.Upstream = found.dispatcher.Owner(key)
			_, owner.Hot = found.dispatcher.Status().HotKeys[key]
		}
	}
	return owner
}
