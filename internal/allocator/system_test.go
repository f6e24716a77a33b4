package allocator_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/allocator"
	"github.com/cuminstream/cuminstream/internal/keeper"
	"github.com/cuminstream/cuminstream/internal/linker"
	"github.com/cuminstream/cuminstream/internal/storer"
	"github.com/cuminstream/cuminstream/pkg/broker"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/matcher"
)

var errUnreachable = errors.New("VM is unreachable")

// system is a set of VMs with a common store. They call each other in memory, with the
// CBOR encoding of the links.
type system struct {
	mutex     sync.Mutex
	vms       map[string]*vm
	objects   map[string]storer.Object
	era       uint64             // of the store
	revision  uint64             // of the newest object
	configs   uint64             // written
	writes    int                // of objects by VMs
	cpuShares map[string]float64 // in cores, by VM

	holdings    *holdings               // checks grants, if not nil
	granted     [broker.KeyCount]string // the upstream that got the last grant, by key
	unreachable string                  // the upstream that answers no release
	reconnects  bool                    // each grant needs a new connection
	grants      map[string]int          // sent, by VM

	maxStaleness time.Duration // of VMs that are started
}

// vm is one VM of a system.
type vm struct {
	*allocator.Allocator
	system         *system
	name           string
	handlers       map[string]linker.CallHandler
	links          map[string]chan struct{}
	partitioned    bool   // from all other VMs
	side           int    // of a partition: VMs of different sides do not reach each other
	storeDown      bool   // store calls fail
	killed         bool   // grants and releases fail, as those of a process that has ended
	storeHangs     bool   // store calls that fail take 1.5 s
	configRevision uint64 // of the last configuration that the VM has received
	config         uint64 // the newest configuration of the VM
	storedConfig   uint64 // the configuration that the store has, as far as the VM knows
	configCalls    int    // store calls for the configuration
	stop           context.CancelFunc
	done           chan struct{}
}

// Handle implements linker.Registrar.
func (vm *vm) Handle(method string, handler linker.CallHandler) { vm.handlers[method] = handler }

// Call implements allocator.Peers.
func (vm *vm) Call(ctx context.Context, name, method string, body, answer any) error {
	vm.system.mutex.Lock()
	other := vm.system.vms[name]
	cut := other == nil || vm.partitioned || other.partitioned || vm.side != other.side
	vm.system.mutex.Unlock()
	time.Sleep(time.Millisecond)
	if cut {
		select {
		case <-ctx.Done():
		case <-vm.link(name):
		}
		return errUnreachable
	}
	data, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	value, err := other.handlers[method](ctx, vm.name, func(into any) error { return cbor.Unmarshal(data, into) })
	if err != nil || answer == nil {
		return err
	}
	if data, err = cbor.Marshal(value); err != nil {
		return err
	}
	return cbor.Unmarshal(data, answer)
}

// link returns a channel that is closed when the link to the other VM is dropped.
func (vm *vm) link(name string) chan struct{} {
	vm.system.mutex.Lock()
	defer vm.system.mutex.Unlock()
	if vm.links[name] == nil {
		vm.links[name] = make(chan struct{})
	}
	return vm.links[name]
}

// Drop implements allocator.Peers.
func (vm *vm) Drop(name string) {
	close(vm.link(name))
	vm.system.mutex.Lock()
	defer vm.system.mutex.Unlock()
	delete(vm.links, name)
}

// VMs implements allocator.Members.
func (vm *vm) VMs() []string {
	vm.system.mutex.Lock()
	defer vm.system.mutex.Unlock()
	var names []string
	for name := range vm.system.vms {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// CPUShare implements allocator.Members.
func (vm *vm) CPUShare(name string) float64 { return vm.system.cpuShares[name] }

// Zone implements allocator.Members.
func (vm *vm) Zone(string) string { return "" }

// store is the object store as seen by one VM.
type store struct {
	storer.Store
	vm *vm
}

// lock locks the system for one store call, or returns an error if the store is down.
func (store store) lock() (unlock func(), err error) {
	time.Sleep(2 * time.Millisecond)
	store.vm.system.mutex.Lock()
	if store.vm.storeDown {
		hangs := store.vm.storeHangs
		store.vm.system.mutex.Unlock()
		if hangs {
			time.Sleep(1500 * time.Millisecond)
		}
		return nil, fmt.Errorf("%w: status 503", storer.ErrRefused)
	}
	return store.vm.system.mutex.Unlock, nil
}

func (store store) List(_ context.Context, kind string) ([]storer.Object, storer.Version, error) {
	store.countCall(kind)
	return store.list(kind)
}

// countCall counts a list or watch of the configuration.
func (store store) countCall(kind string) {
	store.vm.system.mutex.Lock()
	defer store.vm.system.mutex.Unlock()
	if kind == "config" {
		store.vm.configCalls++
	}
}

func (store store) list(kind string) ([]storer.Object, storer.Version, error) {
	unlock, err := store.lock()
	if err != nil {
		return nil, storer.Version{}, err
	}
	defer unlock()
	var objects []storer.Object
	for key, object := range store.vm.system.objects {
		if key == kind+"/"+object.Name {
			object.Era = store.vm.system.era
			objects = append(objects, object)
		}
	}
	return objects, storer.Version{Era: store.vm.system.era, Revision: store.vm.system.revision}, nil
}

func (store store) ListStale(ctx context.Context, kind string) ([]storer.Object, storer.Version, error) {
	return store.List(ctx, kind)
}

func (store store) Watch(ctx context.Context, kind string, after storer.Version, wait time.Duration) ([]storer.Change, storer.Version, error) {
	store.countCall(kind)
	for end := time.Now().Add(wait); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		objects, at, err := store.list(kind)
		if err != nil {
			return nil, storer.Version{}, err
		}
		if at.Era > after.Era {
			return nil, storer.Version{}, storer.ErrEraChanged
		}
		var changes []storer.Change
		for _, object := range objects {
			if object.Version().After(after) {
				changes = append(changes, storer.Change{Object: object})
			}
		}
		if len(changes) > 0 {
			return changes, at, nil
		}
	}
	return nil, after, ctx.Err()
}

func (store store) Get(_ context.Context, kind, name string) (storer.Object, error) {
	unlock, err := store.lock()
	if err != nil {
		return storer.Object{}, err
	}
	defer unlock()
	object, ok := store.vm.system.objects[kind+"/"+name]
	if !ok {
		return storer.Object{Era: store.vm.system.era}, storer.ErrNotFound
	}
	object.Era = store.vm.system.era
	return object, nil
}

func (store store) Create(_ context.Context, kind, name string, spec any) (storer.Object, error) {
	return store.write(kind, name, storer.Version{}, spec)
}

func (store store) Replace(_ context.Context, kind, name string, version storer.Version, spec any) (storer.Object, error) {
	store.vm.system.mutex.Lock()
	changed := version.Era < store.vm.system.era
	store.vm.system.mutex.Unlock()
	if changed {
		return storer.Object{}, storer.ErrEraChanged
	}
	return store.write(kind, name, version, spec)
}

// write writes an object that must have the given version.
func (store store) write(kind, name string, version storer.Version, spec any) (storer.Object, error) {
	data, err := json.Marshal(spec)
	if err != nil {
		return storer.Object{}, err
	}
	unlock, err := store.lock()
	if err != nil {
		return storer.Object{}, err
	}
	defer unlock()
	system := store.vm.system
	if system.objects[kind+"/"+name].Revision != version.Revision {
		return storer.Object{}, storer.ErrConflict
	}
	system.revision++
	system.writes++
	object := storer.Object{Kind: kind, Name: name, Era: system.era, Revision: system.revision, Spec: data}
	system.objects[kind+"/"+name] = object
	return object, nil
}

// granter accepts every grant, and every release except those by unreachable upstreams.
type granter struct {
	system *system
	vm     *vm
}

func (granter granter) Grant(ctx context.Context, owner keeper.Owner, grant keeper.Grant, confirm func(context.Context) error) error {
	granter.system.mutex.Lock()
	reconnects := granter.system.reconnects
	granter.system.mutex.Unlock()
	if reconnects {
		if err := confirm(ctx); err != nil {
			return err
		}
	}
	granter.system.mutex.Lock()
	defer granter.system.mutex.Unlock()
	if granter.vm.killed {
		return errUnreachable
	}
	granter.system.grants[granter.vm.name]++
	for key := grant.Keys.From; key <= grant.Keys.To; key++ {
		granter.system.granted[key] = owner.ID
	}
	return granter.system.holdings.grant(owner, grant)
}

func (granter granter) Release(_ context.Context, owner keeper.Owner, keys keeper.Range, fence uint64) (string, error) {
	granter.system.mutex.Lock()
	defer granter.system.mutex.Unlock()
	if granter.system.unreachable == owner.ID || granter.vm.killed {
		return "", errUnreachable
	}
	granter.system.holdings.release(owner, keys, fence)
	return "token", nil
}

// start starts a VM with two services of four upstreams each.
func (system *system) start(name string) *vm {
	started := &vm{system: system, name: name, handlers: map[string]linker.CallHandler{}, links: map[string]chan struct{}{}, done: make(chan struct{})}
	started.Allocator = &allocator.Allocator{
		VM: name, Zone: "a", BootID: fmt.Sprint(name, "-", time.Now().UnixNano()), Clock: clocker.System{}, Log: slog.New(slog.DiscardHandler),
		Store: store{vm: started}, Peers: started, Members: started, Granter: granter{system, started}, StopTimeout: 4 * time.Second,
		MaxStaleness: system.maxStaleness, Config: started,
	}
	started.Followers = []*storer.Follower{{
		Store: store{vm: started}, Kind: "config", Clock: clocker.System{}, Log: started.Log,
		OnList: func(objects []storer.Object) {
			for _, object := range objects {
				started.receiveConfig(object)
			}
		},
		OnChanges: func(changes []storer.Change) {
			for _, change := range changes {
				started.receiveConfig(change.Object)
			}
		}, ShouldPoll: started.ShouldPoll, Relayed: started.ChangesRelayed, DeferRetries: started.BrokerRetriesStore,
	}}
	started.Tune(10*time.Second, 0.2, 50, 10*time.Second, 2*time.Second)
	started.Init(started)
	system.mutex.Lock()
	system.vms[name] = started
	system.mutex.Unlock()
	started.AddServices(&matcher.Config{Services: map[string]matcher.Service{"keyed": {Name: "keyed", Keyed: true}, "plain": {Name: "plain"}}})
	var upstreams []broker.Upstream
	for _, service := range []string{"keyed", "plain"} {
		for i := range 4 {
			upstreams = append(upstreams, broker.Upstream{ID: fmt.Sprint(service, i), StartedAt: 1, Service: service, Address: fmt.Sprint(service, i, ":80"), Zone: "a", Slots: 1})
		}
	}
	started.SetUpstreams(upstreams)
	ctx, stop := context.WithCancel(context.Background())
	started.stop = stop
	go func() {
		defer close(started.done)
		go func() { _ = started.NewClaimFollower().Run(ctx) }()
		go func() { _ = started.Followers[0].Run(ctx) }()
		_ = started.Run(ctx)
	}()
	return started
}

// receiveConfig records the revision of a configuration.
func (vm *vm) receiveConfig(object storer.Object) {
	vm.system.mutex.Lock()
	defer vm.system.mutex.Unlock()
	vm.configRevision = object.Revision
	_ = json.Unmarshal(object.Spec, &vm.storedConfig)
	vm.config = max(vm.config, vm.storedConfig)
}

// writeConfig writes a configuration and returns its revision.
func (system *system) writeConfig() uint64 {
	system.mutex.Lock()
	defer system.mutex.Unlock()
	system.revision++
	system.configs++
	system.objects["config/main"] = storer.Object{Kind: "config", Name: "main", Era: system.era, Revision: system.revision, Spec: fmt.Append(nil, system.configs)}
	return system.revision
}

func (vm *vm) stopAndWait() {
	vm.stop()
	<-vm.done
}

// runSystem runs a test in a system of VMs without CPU shares.
func runSystem(t *testing.T, count int, test func(t *testing.T, system *system, vms []*vm)) {
	runWithCPUShares(t, count, map[string]float64{}, test)
}

// runWithCPUShares runs a test in a system of VMs, which start one after the other.
func runWithCPUShares(t *testing.T, count int, cpuShares map[string]float64, test func(t *testing.T, system *system, vms []*vm)) {
	synctest.Test(t, func(t *testing.T) {
		system := &system{vms: map[string]*vm{}, objects: map[string]storer.Object{}, cpuShares: cpuShares, grants: map[string]int{}}
		var vms []*vm
		for i := range count {
			vms = append(vms, system.start(fmt.Sprint("vm", i)))
			time.Sleep(30 * time.Millisecond)
		}
		time.Sleep(4 * time.Second)
		test(t, system, vms)
		for _, vm := range vms {
			vm.stopAndWait()
		}
		time.Sleep(time.Minute) // for calls and watches that are still in progress
	})
}

// claim returns the claim of a service from the store.
func (system *system) claim(t *testing.T, service string) allocator.Claim {
	system.mutex.Lock()
	defer system.mutex.Unlock()
	var claim allocator.Claim
	assert.NilError(t, json.Unmarshal(system.objects[allocator.KindBrokers+"/"+service].Spec, &claim))
	return claim
}

// acquireSlot requests a slot and returns its ticket and the broker that assigned it.
func acquireSlot(ctx context.Context, vm *vm, service string, key int) (ticket uint64, by string) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	slot := vm.Acquire(ctx, service, broker.Request{VM: vm.name, Zone: "a", Key: key, Target: time.Second, Timeout: 2 * time.Second})
	return slot.Ticket, slot.Broker
}
