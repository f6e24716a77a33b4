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

// managerCluster is a cluster whose VMs run managers. It also simulates the platform
// and the knowledge of the VMs about each other: it implements Objects and Liveness.
type managerCluster struct {
	*cluster
	specs []configurer.GroupSpec
	zones map[string][]string

	platformMutex    sync.Mutex
	objects          map[string]platformer.Object
	writes           int
	reads            int
	lostWriteAnswers int // number of next writes whose answers are lost
	platformDown     bool
	gone             map[string]time.Time
	dead             map[string]bool
	leaving          map[string]bool
	leases           map[string]map[string]Lease
	states           map[string]State
}

func newManagerCluster(seed uint64, zones map[string][]string, groups ...string) *managerCluster {
	var names []string
	for _, vms := range zones {
		names = append(names, vms...)
	}
	slices.Sort(names)
	cluster := &managerCluster{
		cluster: newCluster(seed, names...), zones: zones, objects: map[string]platformer.Object{},
		gone: map[string]time.Time{}, dead: map[string]bool{}, leaving: map[string]bool{},
		leases: map[string]map[string]Lease{}, states: map[string]State{},
	}
	for _, id := range groups {
		cluster.specs = append(cluster.specs, configurer.GroupSpec{ID: id, Zone: "z1"})
	}
	return cluster
}

// boot starts a process of the VM.
func (cluster *managerCluster) boot(name string) *node {
	ctx, cancel := context.WithCancel(context.Background())
	node := &node{cluster: cluster.cluster, name: name, clock: clocker.NewFake(cluster.clock.Now()), ctx: ctx, cancel: cancel}
	node.manager = &Manager{
		VM: name, Clock: node.clock, Timing: cluster.timing, Caller: node, Objects: cluster, Liveness: cluster,
		Recorder:     timeliner.New(node.clock, name),
		Specs:        func() []configurer.GroupSpec { return cluster.specs },
		CachedObject: cluster.cachedObject,
		LeaseHandler: func(spec configurer.GroupSpec) LeaseHandler {
			return &clusterLeaseHandler{cluster: cluster, node: node, id: spec.ID}
		},
	}
	cluster.update(func() {
		cluster.nodes[name] = node
		cluster.dead[name] = false
	})
	cluster.running.Go(func() error { return node.manager.Run(ctx) })
	return node
}

// kill ends the process of the VM without a release.
func (cluster *managerCluster) kill(name string) {
	node := cluster.nodes[name]
	cluster.update(func() {
		node.dead = true
		cluster.dead[name] = true
		for _, leases := range cluster.leases {
			delete(leases, name)
		}
	})
	node.cancel()
	cluster.endedNodes = append(cluster.endedNodes, node)
}

// advance runs the cluster for d and checks after each step that no group has more
// than one valid lease.
func (cluster *managerCluster) advance(d time.Duration) {
	for range d / step {
		cluster.run(step)
		cluster.update(func() {
			for id, leases := range cluster.leases {
				var valid []string
				for vm, lease := range leases {
					if until, _ := lease.Valid(); until.After(cluster.clock.Now()) {
						valid = append(valid, vm)
					}
				}
				if len(valid) > 1 {
					cluster.violations = append(cluster.violations, fmt.Sprintf("group %s has the holders %v", id, valid))
				}
			}
		})
	}
}

// advanceUntil advances until condition holds, and returns how long that took. It is
// a violation if condition does not hold within limit.
func (cluster *managerCluster) advanceUntil(limit time.Duration, condition func() bool) time.Duration {
	start := cluster.clock.Now()
	for !condition() && cluster.clock.Now().Sub(start) < limit {
		cluster.advance(step)
	}
	if !condition() {
		cluster.addViolation("condition did not hold within %v", limit)
	}
	return cluster.clock.Now().Sub(start)
}

func (cluster *managerCluster) holder(id string) string {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	for vm, lease := range cluster.leases[id] {
		if _, ok := lease.Valid(); ok {
			return vm
		}
	}
	return ""
}

func (cluster *managerCluster) storedRecord(id string) Record {
	cluster.platformMutex.Lock()
	defer cluster.platformMutex.Unlock()
	record, _ := decodeRecord(id, cluster.objects[recordObjectName(id)].Value)
	return record
}

func (cluster *managerCluster) cachedObject(name string) ([]byte, bool) {
	cluster.platformMutex.Lock()
	defer cluster.platformMutex.Unlock()
	object, ok := cluster.objects[name]
	return object.Value, ok && !cluster.platformDown
}

func (cluster *managerCluster) Get(_ context.Context, name string) (platformer.Object, error) {
	cluster.platformMutex.Lock()
	defer cluster.platformMutex.Unlock()
	cluster.reads++
	if cluster.platformDown {
		return platformer.Object{}, errDown
	}
	object, ok := cluster.objects[name]
	if !ok {
		return platformer.Object{}, platformer.ErrNotFound
	}
	return object, nil
}

func (cluster *managerCluster) Put(_ context.Context, name string, value []byte, version string) (string, error) {
	cluster.platformMutex.Lock()
	defer cluster.platformMutex.Unlock()
	cluster.writes++
	if cluster.platformDown {
		return "", errDown
	}
	if cluster.objects[name].Version != version {
		return "", platformer.ErrConflict
	}
	next := strconv.Itoa(cluster.writes)
	cluster.objects[name] = platformer.Object{Name: name, Value: value, Version: next}
	if cluster.lostWriteAnswers > 0 {
		cluster.lostWriteAnswers--
		return "", errLost
	}
	return next, nil
}

func (cluster *managerCluster) Alive(vm string) bool {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	dead, known := cluster.dead[vm]
	return known && !dead
}

func (cluster *managerCluster) Gone(vm string) (time.Time, bool) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	since, gone := cluster.gone[vm]
	return since, gone
}

func (cluster *managerCluster) Leaving(vm string) bool {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	return cluster.leaving[vm]
}

func (cluster *managerCluster) VMs() map[string][]string { return cluster.zones }

type clusterLeaseHandler struct {
	cluster *managerCluster
	node    *node
	id      string
}

func (handler *clusterLeaseHandler) Begin(_ context.Context, lease Lease, state State) error {
	handler.cluster.update(func() {
		if handler.node.dead {
			return
		}
		if handler.cluster.leases[handler.id] == nil {
			handler.cluster.leases[handler.id] = map[string]Lease{}
		}
		handler.cluster.leases[handler.id][handler.node.name] = lease
		handler.cluster.states[handler.id] = state
		handler.cluster.beginCount++
		handler.cluster.checkBegin(handler, lease, state)
	})
	return nil
}

// checkBegin checks that the state contains all entries that were acknowledged,
// except those from before a reported loss of the state, and that the term is
// higher than the last one.
func (cluster *managerCluster) checkBegin(handler *clusterLeaseHandler, lease Lease, state State) {
	known := map[string]bool{}
	for _, entry := range state.Requests {
		known[entry.ID] = true
	}
	for id, entry := range cluster.acknowledged {
		if !known[id] && !state.StateLostAt.After(entry.UpdatedAt.Add(-time.Second)) {
			cluster.violations = append(cluster.violations, fmt.Sprintf("begin of %s in term %d lacks %s", handler.node.name, lease.Term(), id))
		}
	}
	if lease.Term() <= cluster.lastTerm {
		cluster.violations = append(cluster.violations, fmt.Sprintf("term %d follows %d", lease.Term(), cluster.lastTerm))
	}
	if len(cluster.specs) == 1 {
		cluster.lastTerm = lease.Term()
	}
}

// replicateEntries replicates a new entry under every lease of the group "g".
func (cluster *managerCluster) replicateEntries() {
	cluster.mutex.Lock()
	leases := maps.Clone(cluster.leases["g"])
	cluster.mutex.Unlock()
	for vm, lease := range leases {
		node := cluster.nodes[vm]
		if node.resume != nil {
			continue
		}
		cluster.update(func() { cluster.lastVersion++ })
		entry := deduper.Entry{ID: fmt.Sprintf("r%d", cluster.lastVersion), Status: deduper.Intent, UpdatedAt: cluster.clock.Now()}
		cluster.running.Go(func() error {
			ctx, cancel := clocker.WithTimeout(node.ctx, node.clock, 300*time.Millisecond)
			defer cancel()
			err := lease.Replicate(ctx, Entries{Requests: []deduper.Entry{entry}})
			cluster.update(func() {
				if err == nil && !node.dead {
					cluster.acknowledged[entry.ID] = entry
				}
			})
			return nil
		})
	}
}

func (handler *clusterLeaseHandler) End(bool) []InFlight {
	handler.cluster.update(func() { delete(handler.cluster.leases[handler.id], handler.node.name) })
	return nil
}

// withManagers boots all VMs and runs test in a synctest bubble. It fails the test
// for each violation.
func withManagers(t *testing.T, zones map[string][]string, groups []string, test func(t *testing.T, cluster *managerCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cluster := newManagerCluster(1, zones, groups...)
		for _, name := range cluster.names {
			cluster.boot(name)
		}
		defer cluster.stop()
		test(t, cluster)
		for _, violation := range cluster.violations {
			t.Error(violation)
		}
	})
}

var (
	oneZone  = map[string][]string{"z1": {"a", "b", "c", "d"}}
	twoZones = map[string][]string{"z1": {"a", "b"}, "z2": {"x", "y"}}
)

// allServed reports whether every group has a holder.
func (cluster *managerCluster) allServed() bool {
	return !slices.ContainsFunc(cluster.specs, func(spec configurer.GroupSpec) bool { return cluster.holder(spec.ID) == "" })
}
