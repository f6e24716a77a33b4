package replicator

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/platformer"
	"github.com/cuminstream/cuminstream/internal/timeliner"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/deduper"
)

var errDown = errors.New("platform is down")

// fleet is a world whose VMs run managers, with a platform and a list of VMs.
type fleet struct {
	*world
	specs []configurer.GroupSpec
	zones map[string][]string

	platform  sync.Mutex
	objects   map[string]platformer.Object
	writes    int
	reads     int
	loseWrite int // answers of the next writes are lost
	down      bool
	gone      map[string]time.Time
	dead      map[string]bool
	leaving   map[string]bool
	leases    map[string]map[string]Lease
	states    map[string]State
}

func newFleet(seed uint64, zones map[string][]string, groups ...string) *fleet {
	var names []string
	for _, vms := range zones {
		names = append(names, vms...)
	}
	slices.Sort(names)
	fleet := &fleet{
		world: newWorld(seed, names...), zones: zones, objects: map[string]platformer.Object{},
		gone: map[string]time.Time{}, dead: map[string]bool{}, leaving: map[string]bool{},
		leases: map[string]map[string]Lease{}, states: map[string]State{},
	}
	for _, id := range groups {
		fleet.specs = append(fleet.specs, configurer.GroupSpec{ID: id, Zone: "z1"})
	}
	return fleet
}

func (fleet *fleet) boot(name string) *node {
	ctx, cancel := context.WithCancel(context.Background())
	node := &node{world: fleet.world, name: name, clock: clocker.NewFake(fleet.clock.Now()), ctx: ctx, cancel: cancel}
	node.manager = &Manager{
		VM: name, Clock: node.clock, Timing: fleet.timing, Caller: node, Objects: fleet, Liveness: fleet,
		Recorder: timeliner.New(node.clock, name),
		Specs:    func() []configurer.GroupSpec { return fleet.specs },
		CachedObject:   fleet.newest,
		LeaseHandler:   func(spec configurer.GroupSpec) LeaseHandler { return &fleetMember{fleet: fleet, node: node, id: spec.ID} },
	}
	fleet.set(func() {
		fleet.nodes[name] = node
		fleet.dead[name] = false
	})
	fleet.running.Go(func() error { return node.manager.Run(ctx) })
	return node
}

// kill ends the process without any goodbye.
func (fleet *fleet) kill(name string) {
	node := fleet.nodes[name]
	fleet.set(func() {
		node.dead = true
		fleet.dead[name] = true
		for _, leases := range fleet.leases {
			delete(leases, name)
		}
	})
	node.cancel()
	fleet.former = append(fleet.former, node)
}

func (fleet *fleet) advance(d time.Duration) {
	for range d / step {
		fleet.run(step)
		fleet.set(func() {
			for id, leases := range fleet.leases {
				var valid []string
				for vm, lease := range leases {
					if until, _ := lease.Valid(); until.After(fleet.clock.Now()) {
						valid = append(valid, vm)
					}
				}
				if len(valid) > 1 {
					fleet.faults = append(fleet.faults, fmt.Sprintf("group %s has the holders %v", id, valid))
				}
			}
		})
	}
}

func (fleet *fleet) advanceUntil(limit time.Duration, condition func() bool) time.Duration {
	start := fleet.clock.Now()
	for !condition() && fleet.clock.Now().Sub(start) < limit {
		fleet.advance(step)
	}
	if !condition() {
		fleet.fault("condition did not hold within %v", limit)
	}
	return fleet.clock.Now().Sub(start)
}

func (fleet *fleet) holder(id string) string {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	for vm, lease := range fleet.leases[id] {
		if _, ok := lease.Valid(); ok {
			return vm
		}
	}
	return ""
}

func (fleet *fleet) stored(id string) Record {
	fleet.platform.Lock()
	defer fleet.platform.Unlock()
	record, _ := decodeRecord(id, fleet.objects[objectName(id)].Value)
	return record
}

func (fleet *fleet) newest(name string) ([]byte, bool) {
	fleet.platform.Lock()
	defer fleet.platform.Unlock()
	object, ok := fleet.objects[name]
	return object.Value, ok && !fleet.down
}

func (fleet *fleet) Get(_ context.Context, name string) (platformer.Object, error) {
	fleet.platform.Lock()
	defer fleet.platform.Unlock()
	fleet.reads++
	if fleet.down {
		return platformer.Object{}, errDown
	}
	object, ok := fleet.objects[name]
	if !ok {
		return platformer.Object{}, platformer.ErrNotFound
	}
	return object, nil
}

func (fleet *fleet) Put(_ context.Context, name string, value []byte, version string) (string, error) {
	fleet.platform.Lock()
	defer fleet.platform.Unlock()
	fleet.writes++
	if fleet.down {
		return "", errDown
	}
	if fleet.objects[name].Version != version {
		return "", platformer.ErrConflict
	}
	next := strconv.Itoa(fleet.writes)
	fleet.objects[name] = platformer.Object{Name: name, Value: value, Version: next}
	if fleet.loseWrite > 0 {
		fleet.loseWrite--
		return "", errLost
	}
	return next, nil
}

func (fleet *fleet) Alive(vm string) bool {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	dead, known := fleet.dead[vm]
	return known && !dead
}

func (fleet *fleet) Gone(vm string) (time.Time, bool) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	since, gone := fleet.gone[vm]
	return since, gone
}

func (fleet *fleet) Leaving(vm string) bool {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.leaving[vm]
}

func (fleet *fleet) VMs() map[string][]string { return fleet.zones }

type fleetMember struct {
	fleet *fleet
	node  *node
	id    string
}

func (member *fleetMember) Begin(_ context.Context, lease Lease, state State) error {
	member.fleet.set(func() {
		if member.node.dead {
			return
		}
		if member.fleet.leases[member.id] == nil {
			member.fleet.leases[member.id] = map[string]Lease{}
		}
		member.fleet.leases[member.id][member.node.name] = lease
		member.fleet.states[member.id] = state
		member.fleet.began++
		member.fleet.remember(member, lease, state)
	})
	return nil
}

// remember checks that the state has everything that was acknowledged, unless
// the member is told that the memory was lost since.
func (fleet *fleet) remember(member *fleetMember, lease Lease, state State) {
	known := map[string]bool{}
	for _, entry := range state.Requests {
		known[entry.ID] = true
	}
	for id, entry := range fleet.acked {
		if !known[id] && !state.StateLostAt.After(entry.UpdatedAt.Add(-time.Second)) {
			fleet.faults = append(fleet.faults, fmt.Sprintf("begin of %s in term %d lacks %s", member.node.name, lease.Term(), id))
		}
	}
	if lease.Term() <= fleet.lastTerm {
		fleet.faults = append(fleet.faults, fmt.Sprintf("term %d follows %d", lease.Term(), fleet.lastTerm))
	}
	if len(fleet.specs) == 1 {
		fleet.lastTerm = lease.Term()
	}
}

// copySome copies an entry through every lease of the group "g".
func (fleet *fleet) copySome() {
	fleet.mutex.Lock()
	leases := maps.Clone(fleet.leases["g"])
	fleet.mutex.Unlock()
	for vm, lease := range leases {
		node := fleet.nodes[vm]
		if node.resume != nil {
			continue
		}
		fleet.set(func() { fleet.versions++ })
		entry := deduper.Entry{ID: fmt.Sprintf("r%d", fleet.versions), Status: deduper.Intent, UpdatedAt: fleet.clock.Now()}
		fleet.running.Go(func() error {
			ctx, cancel := clocker.WithTimeout(node.ctx, node.clock, 300*time.Millisecond)
			defer cancel()
			err := lease.Replicate(ctx, Entries{Requests: []deduper.Entry{entry}})
			fleet.set(func() {
				if err == nil && !node.dead {
					fleet.acked[entry.ID] = entry
				}
			})
			return nil
		})
	}
}

func (member *fleetMember) End(bool) []InFlight {
	member.fleet.set(func() { delete(member.fleet.leases[member.id], member.node.name) })
	return nil
}

// inFleet boots all VMs and runs test in a bubble.
func inFleet(t *testing.T, zones map[string][]string, groups []string, test func(t *testing.T, fleet *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(1, zones, groups...)
		for _, name := range fleet.names {
			fleet.boot(name)
		}
		defer fleet.stop()
		test(t, fleet)
		for _, fault := range fleet.faults {
			t.Error(fault)
		}
	})
}

var (
	oneZone  = map[string][]string{"z1": {"a", "b", "c", "d"}}
	twoZones = map[string][]string{"z1": {"a", "b"}, "z2": {"x", "y"}}
)

func (fleet *fleet) served() bool {
	return !slices.ContainsFunc(fleet.specs, func(spec configurer.GroupSpec) bool { return fleet.holder(spec.ID) == "" })
}
