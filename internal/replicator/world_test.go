package replicator

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"github.com/cuminstream/cuminstream/internal/timeliner"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/deduper"
	"github.com/cuminstream/cuminstream/pkg/leaser"
)

const step = 5 * time.Millisecond

var epoch = time.Unix(1_700_000_000, 0)

// world is a set of VMs on fake clocks with an in-memory transport. Each VM has
// its own clock, which stands still while the VM is paused. It runs inside a
// synctest bubble, so that a step ends when every goroutine waits.
type world struct {
	timing  leaser.Timing
	clock   *clocker.Fake // of the network and the observer
	random  *rand.Rand
	nodes   map[string]*node
	names   []string
	former  []*node // ended processes, whose timers still run out
	running errgroup.Group
	ctx     context.Context
	cancel  context.CancelFunc

	mutex     sync.Mutex
	delay     time.Duration // upper bound of a one-way delay
	loss      float64
	duplicate float64
	cut       map[[2]string]bool
	slow      map[string]time.Duration
	faults    []string
	acked     map[string]deduper.Entry
	lastTerm  uint64
	began     int
	history   history
	versions  uint64
}

// node is one process of a VM; a restart makes a new one.
type node struct {
	world   *world
	name    string
	clock   *clocker.Fake
	group   *Group
	manager *Manager // instead of group, in tests of managers
	cancel  context.CancelFunc
	ctx     context.Context
	dead    bool
	resume  chan struct{} // not nil while the VM is paused
	lease   Lease         // while the member serves
	state   State
	ended   int
	refuse  error // returned by Begin
	pending []InFlight
}

func newWorld(seed uint64, names ...string) *world {
	world := &world{
		timing: leaser.DefaultTiming(), clock: clocker.NewFake(epoch), random: rand.New(rand.NewPCG(seed, 1)),
		nodes: map[string]*node{}, names: names, cut: map[[2]string]bool{}, slow: map[string]time.Duration{},
		acked: map[string]deduper.Entry{}, delay: 2 * time.Millisecond,
	}
	world.ctx, world.cancel = context.WithCancel(context.Background())
	return world
}

func record(candidates ...string) Record {
	return Record{ID: "g", Candidates: candidates, BaseTerm: 1, Revision: 1, WriteID: "w1"}
}

// start runs a new process of the VM with the record.
func (world *world) start(name string, record Record) *node {
	if old := world.nodes[name]; old != nil {
		world.mutex.Lock()
		old.dead = true
		old.lease = nil
		world.mutex.Unlock()
		old.cancel()
		world.unpause(old)
		world.former = append(world.former, old)
	}
	ctx, cancel := context.WithCancel(context.Background())
	node := &node{world: world, name: name, clock: clocker.NewFake(world.clock.Now()), ctx: ctx, cancel: cancel}
	node.group = &Group{
		ID: "g", VM: name, Clock: node.clock, Timing: world.timing, Caller: node, Handler: node, Record: record,
		Recorder: timeliner.New(node.clock, name),
	}
	node.group.prepare()
	world.mutex.Lock()
	world.nodes[name] = node
	world.mutex.Unlock()
	world.running.Go(func() error { return node.group.Run(ctx) })
	return node
}

// form starts the VMs and brings the first state to the candidates.
func (world *world) form(record Record) {
	for _, name := range world.names {
		world.start(name, record)
	}
	for _, name := range record.Candidates {
		group := world.nodes[name].group
		group.mutex.Lock()
		group.synchronized, group.complete = true, true
		group.quietSince = group.Clock.Now().Add(-world.timing.SuspicionTimeout)
		group.mutex.Unlock()
		group.wake()
	}
}

// run moves time forward by d and checks after each step that at most one lease
// is valid.
func (world *world) run(d time.Duration) {
	for range d / step {
		world.clock.Advance(step)
		for _, node := range world.processes() {
			if node.resume == nil {
				node.clock.Advance(world.clock.Now().Sub(node.clock.Now()))
			}
		}
		synctest.Wait()
		world.check()
	}
}

// runUntil moves time forward until condition holds, and returns how long it
// took.
func (world *world) runUntil(limit time.Duration, condition func() bool) time.Duration {
	start := world.clock.Now()
	for !condition() {
		if world.clock.Now().Sub(start) > limit {
			_, file, line, _ := runtime.Caller(1)
			world.fault("condition at %s:%d did not hold within %v", filepath.Base(file), line, limit)
			break
		}
		world.run(step)
	}
	return world.clock.Now().Sub(start)
}

// processes returns the processes that run and those that have ended.
func (world *world) processes() []*node {
	return slices.Concat(world.former, slices.Collect(maps.Values(world.nodes)))
}

func (world *world) check() {
	var valid []string
	for name, node := range world.nodes {
		world.mutex.Lock()
		lease := node.lease
		world.mutex.Unlock()
		if lease == nil {
			continue
		}
		if until, _ := lease.Valid(); until.After(world.clock.Now()) {
			valid = append(valid, fmt.Sprintf("%s(term %d)", name, lease.Term()))
		}
	}
	if len(valid) > 1 {
		slices.Sort(valid)
		world.fault("two valid leases at %v: %v", world.clock.Now().Sub(epoch), valid)
	}
}

func (world *world) fault(format string, args ...any) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.faults = append(world.faults, fmt.Sprintf(format, args...))
}

// serving returns the VM whose member serves with a valid lease.
func (world *world) serving() *node {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	for _, node := range world.nodes {
		if node.lease != nil && node.resume == nil {
			if _, ok := node.lease.Valid(); ok {
				return node
			}
		}
	}
	return nil
}

func (world *world) stop() {
	world.cancel()
	for _, node := range world.nodes {
		world.mutex.Lock()
		node.dead = true
		world.mutex.Unlock()
		node.cancel()
		world.unpause(node)
	}
	for range 100 {
		world.clock.Advance(time.Second)
		for _, node := range world.processes() {
			node.clock.Advance(time.Second)
		}
		synctest.Wait()
	}
	_ = world.running.Wait() // ends with the cancelled contexts
}

func (world *world) pause(node *node) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	if node.resume == nil {
		node.resume = make(chan struct{})
	}
}

func (world *world) unpause(node *node) {
	world.mutex.Lock()
	resume := node.resume
	node.resume = nil
	world.mutex.Unlock()
	if resume != nil {
		node.clock.Advance(world.clock.Now().Sub(node.clock.Now()))
		close(resume)
	}
}

// isolate cuts or heals every link of the VM.
func (world *world) isolate(name string, cut bool) {
	for _, other := range world.names {
		world.link(name, other, cut)
	}
}

// set changes the faults of the network.
func (world *world) set(change func()) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	change()
}

func (world *world) link(a, b string, cut bool) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.cut[[2]string{a, b}] = cut
	world.cut[[2]string{b, a}] = cut
}

var errLost = errors.New("message lost")

// Call sends a control call through the network with its faults.
func (node *node) Call(ctx context.Context, vm, method string, body, answer any) error {
	data, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	world := node.world
	if err := world.transmit(ctx, node.name, vm); err != nil {
		return err
	}
	world.mutex.Lock()
	target, dead, again := world.nodes[vm], node.dead, world.random.Float64() < world.duplicate
	late := time.Duration(world.random.Int64N(int64(2 * time.Second)))
	world.mutex.Unlock()
	if dead || target == nil {
		return errLost
	}
	if again {
		world.running.Go(func() error {
			if world.transmit(world.ctx, node.name, vm) != nil || clocker.Sleep(world.ctx, world.clock, late) != nil {
				return nil
			}
			_, _ = world.target(vm).receive(world.ctx, node.name, method, data)
			return nil
		})
	}
	result, err := target.receive(ctx, node.name, method, data)
	if err != nil {
		return err
	}
	if err := world.transmit(ctx, vm, node.name); err != nil {
		return err
	}
	if err := node.awake(ctx); err != nil {
		return err
	}
	return cbor.Unmarshal(result, answer)
}

func (world *world) target(vm string) *node {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return world.nodes[vm]
}

// transmit waits for the delay of one message. A message over a cut link is
// lost without a sign, as in a partition.
func (world *world) transmit(ctx context.Context, from, to string) error {
	world.mutex.Lock()
	lost := world.cut[[2]string{from, to}] || world.random.Float64() < world.loss
	delay := time.Duration(world.random.Int64N(int64(world.delay)+1)) + world.slow[to]
	world.mutex.Unlock()
	if lost {
		<-ctx.Done()
		return errLost
	}
	return clocker.Sleep(ctx, world.clock, delay)
}

func (node *node) awake(ctx context.Context) error {
	node.world.mutex.Lock()
	resume := node.resume
	node.world.mutex.Unlock()
	if resume == nil {
		return nil
	}
	select {
	case <-resume:
		return nil
	case <-ctx.Done():
		return errLost
	}
}

func (node *node) receive(ctx context.Context, from, method string, data []byte) ([]byte, error) {
	if err := node.awake(ctx); err != nil {
		return nil, err
	}
	node.world.mutex.Lock()
	dead := node.dead
	node.world.mutex.Unlock()
	if dead {
		return nil, errLost
	}
	body := newBody(method)
	if err := cbor.Unmarshal(data, body); err != nil {
		return nil, err
	}
	answer := node.manager.answer
	if node.group != nil {
		answer = node.group.HandleCall
	}
	result, err := answer(ctx, from, method, body)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(result)
}

// Begin checks that everything acknowledged before is in the state.
func (node *node) Begin(_ context.Context, lease Lease, state State) error {
	world := node.world
	world.mutex.Lock()
	defer world.mutex.Unlock()
	if node.dead {
		return errLost
	}
	if node.refuse != nil {
		return node.refuse
	}
	known := map[string]deduper.Entry{}
	for _, entry := range state.Requests {
		known[entry.ID] = entry
	}
	for id, entry := range world.acked {
		if found, ok := known[id]; !ok || replaces(entry, found) {
			world.faults = append(world.faults, fmt.Sprintf("begin of %s in term %d lacks %s", node.name, lease.Term(), id))
		}
	}
	if lease.Term() <= world.lastTerm {
		world.faults = append(world.faults, fmt.Sprintf("term %d follows %d", lease.Term(), world.lastTerm))
	}
	world.lastTerm = lease.Term()
	world.began++
	world.history.read(node.name, world.clock.Now(), state.Assignment.Version)
	node.lease, node.state = lease, state
	return nil
}

// End notes the end of the lease.
func (node *node) End(bool) []InFlight {
	node.world.mutex.Lock()
	defer node.world.mutex.Unlock()
	node.lease = nil
	node.ended++
	return node.pending
}

// work copies a request ID and an assignment through the VM's lease.
func (world *world) work(node *node) {
	world.mutex.Lock()
	lease := node.lease
	world.versions++
	version := world.versions
	if lease == nil || node.dead {
		world.mutex.Unlock()
		return
	}
	call := world.clock.Now()
	world.mutex.Unlock()
	entry := deduper.Entry{ID: fmt.Sprintf("r%d", version), Status: deduper.Intent, Term: lease.Term(), UpdatedAt: call}
	world.running.Go(func() error {
		ctx, cancel := clocker.WithTimeout(node.ctx, node.clock, 300*time.Millisecond)
		defer cancel()
		assignment := Assignment{Term: lease.Term(), Version: version}
		err := lease.Replicate(ctx, Entries{Assignment: &assignment, Requests: []deduper.Entry{entry}})
		world.mutex.Lock()
		defer world.mutex.Unlock()
		if err == nil && !node.dead {
			world.acked[entry.ID] = entry
		}
		world.history.write(node.name, call, world.clock.Now(), version, err == nil && !node.dead)
		return nil
	})
}

// inWorld runs test in a bubble and reports the faults that the world noticed.
func inWorld(t *testing.T, seed uint64, names []string, test func(t *testing.T, world *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(seed, names...)
		defer world.stop()
		test(t, world)
		for _, fault := range world.faults {
			t.Error(fault)
		}
	})
}
