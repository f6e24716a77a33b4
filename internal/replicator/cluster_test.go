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

// cluster simulates VMs and an in-memory network with faults. Each VM has its own
// fake clock, which stands still while the VM is paused. The cluster runs inside a
// synctest bubble, so that a time step ends when every goroutine is blocked. It
// collects violations of the properties that the tests check.
type cluster struct {
	timing     leaser.Timing
	clock      *clocker.Fake // of the network and the checks
	random     *rand.Rand
	nodes      map[string]*node
	names      []string
	endedNodes []*node // ended processes, whose clocks advance until their timers have fired
	running    errgroup.Group
	ctx        context.Context
	cancel     context.CancelFunc

	mutex        sync.Mutex
	delay        time.Duration // upper bound of a one-way delay
	loss         float64
	duplicate    float64
	cut          map[[2]string]bool
	slow         map[string]time.Duration
	violations   []string
	acknowledged map[string]deduper.Entry
	lastTerm     uint64
	beginCount   int
	history      history
	lastVersion  uint64
}

// node is one process of a VM. A restart creates a new node.
type node struct {
	cluster  *cluster
	name     string
	clock    *clocker.Fake
	group    *Group
	manager  *Manager // instead of group, in tests of managers
	cancel   context.CancelFunc
	ctx      context.Context
	dead     bool
	resume   chan struct{} // not nil while the VM is paused
	lease    Lease         // between Begin and End
	state    State
	endCount int
	beginErr error      // returned by Begin
	inFlight []InFlight // returned by End
}

func newCluster(seed uint64, names ...string) *cluster {
	cluster := &cluster{
		timing: leaser.DefaultTiming(), clock: clocker.NewFake(epoch), random: rand.New(rand.NewPCG(seed, 1)),
		nodes: map[string]*node{}, names: names, cut: map[[2]string]bool{}, slow: map[string]time.Duration{},
		acknowledged: map[string]deduper.Entry{}, delay: 2 * time.Millisecond,
	}
	cluster.ctx, cluster.cancel = context.WithCancel(context.Background())
	return cluster
}

// record returns the first record of the group "g".
func record(candidates ...string) Record {
	return Record{ID: "g", Candidates: candidates, BaseTerm: 1, Revision: 1, WriteID: "w1"}
}

// start starts a new process of the VM with the record, in place of the running one.
func (cluster *cluster) start(name string, record Record) *node {
	if old := cluster.nodes[name]; old != nil {
		cluster.mutex.Lock()
		old.dead = true
		old.lease = nil
		cluster.mutex.Unlock()
		old.cancel()
		cluster.unpause(old)
		cluster.endedNodes = append(cluster.endedNodes, old)
	}
	ctx, cancel := context.WithCancel(context.Background())
	node := &node{cluster: cluster, name: name, clock: clocker.NewFake(cluster.clock.Now()), ctx: ctx, cancel: cancel}
	node.group = &Group{
		ID: "g", VM: name, Clock: node.clock, Timing: cluster.timing, Caller: node, LeaseHandler: node, Record: record,
		Recorder: timeliner.New(node.clock, name),
	}
	node.group.initialize()
	cluster.mutex.Lock()
	cluster.nodes[name] = node
	cluster.mutex.Unlock()
	cluster.running.Go(func() error { return node.group.Run(ctx) })
	return node
}

// startFormed starts all VMs, with candidates that have already received the initial
// state.
func (cluster *cluster) startFormed(record Record) {
	for _, name := range cluster.names {
		cluster.start(name, record)
	}
	for _, name := range record.Candidates {
		group := cluster.nodes[name].group
		group.mutex.Lock()
		group.synchronized, group.complete = true, true
		group.lastContact = group.Clock.Now().Add(-cluster.timing.SuspicionTimeout)
		group.mutex.Unlock()
		group.wake()
	}
}

// run advances the clocks by d and checks after each step that at most one lease
// is valid.
func (cluster *cluster) run(d time.Duration) {
	for range d / step {
		cluster.clock.Advance(step)
		for _, node := range cluster.processes() {
			if node.resume == nil {
				node.clock.Advance(cluster.clock.Now().Sub(node.clock.Now()))
			}
		}
		synctest.Wait()
		cluster.checkLeases()
	}
}

// runUntil advances the clocks until condition holds, and returns how long that
// took. It is a violation if condition does not hold within limit.
func (cluster *cluster) runUntil(limit time.Duration, condition func() bool) time.Duration {
	start := cluster.clock.Now()
	for !condition() {
		if cluster.clock.Now().Sub(start) > limit {
			_, file, line, _ := runtime.Caller(1)
			cluster.addViolation("condition at %s:%d did not hold within %v", filepath.Base(file), line, limit)
			break
		}
		cluster.run(step)
	}
	return cluster.clock.Now().Sub(start)
}

// processes returns the running and the ended processes.
func (cluster *cluster) processes() []*node {
	return slices.Concat(cluster.endedNodes, slices.Collect(maps.Values(cluster.nodes)))
}

// checkLeases adds a violation if more than one lease is valid.
func (cluster *cluster) checkLeases() {
	var valid []string
	for name, node := range cluster.nodes {
		cluster.mutex.Lock()
		lease := node.lease
		cluster.mutex.Unlock()
		if lease == nil {
			continue
		}
		if until, _ := lease.Valid(); until.After(cluster.clock.Now()) {
			valid = append(valid, fmt.Sprintf("%s(term %d)", name, lease.Term()))
		}
	}
	if len(valid) > 1 {
		slices.Sort(valid)
		cluster.addViolation("two valid leases at %v: %v", cluster.clock.Now().Sub(epoch), valid)
	}
}

func (cluster *cluster) addViolation(format string, args ...any) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.violations = append(cluster.violations, fmt.Sprintf(format, args...))
}

// servingNode returns a running VM that has a valid lease, or nil.
func (cluster *cluster) servingNode() *node {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	for _, node := range cluster.nodes {
		if node.lease != nil && node.resume == nil {
			if _, ok := node.lease.Valid(); ok {
				return node
			}
		}
	}
	return nil
}

// stop ends all processes and waits for their goroutines.
func (cluster *cluster) stop() {
	cluster.cancel()
	for _, node := range cluster.nodes {
		cluster.mutex.Lock()
		node.dead = true
		cluster.mutex.Unlock()
		node.cancel()
		cluster.unpause(node)
	}
	for range 100 {
		cluster.clock.Advance(time.Second)
		for _, node := range cluster.processes() {
			node.clock.Advance(time.Second)
		}
		synctest.Wait()
	}
	_ = cluster.running.Wait() // returns the error of a canceled context
}

func (cluster *cluster) pause(node *node) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	if node.resume == nil {
		node.resume = make(chan struct{})
	}
}

func (cluster *cluster) unpause(node *node) {
	cluster.mutex.Lock()
	resume := node.resume
	node.resume = nil
	cluster.mutex.Unlock()
	if resume != nil {
		node.clock.Advance(cluster.clock.Now().Sub(node.clock.Now()))
		close(resume)
	}
}

// isolate cuts or restores all links of the VM.
func (cluster *cluster) isolate(name string, cut bool) {
	for _, other := range cluster.names {
		cluster.setCut(name, other, cut)
	}
}

// update calls change under the mutex.
func (cluster *cluster) update(change func()) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	change()
}

func (cluster *cluster) setCut(a, b string, cut bool) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.cut[[2]string{a, b}] = cut
	cluster.cut[[2]string{b, a}] = cut
}

var errLost = errors.New("message lost")

// Call makes a control call through the network, which may lose, delay or duplicate
// the request.
func (node *node) Call(ctx context.Context, vm, method string, body, answer any) error {
	data, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	cluster := node.cluster
	if err := cluster.transmit(ctx, node.name, vm); err != nil {
		return err
	}
	cluster.mutex.Lock()
	target, dead, again := cluster.nodes[vm], node.dead, cluster.random.Float64() < cluster.duplicate
	late := time.Duration(cluster.random.Int64N(int64(2 * time.Second)))
	cluster.mutex.Unlock()
	if dead || target == nil {
		return errLost
	}
	if again {
		cluster.running.Go(func() error {
			if cluster.transmit(cluster.ctx, node.name, vm) != nil || clocker.Sleep(cluster.ctx, cluster.clock, late) != nil {
				return nil
			}
			_, _ = cluster.target(vm).receive(cluster.ctx, node.name, method, data)
			return nil
		})
	}
	result, err := target.receive(ctx, node.name, method, data)
	if err != nil {
		return err
	}
	if err := cluster.transmit(ctx, vm, node.name); err != nil {
		return err
	}
	if err := node.waitUnpaused(ctx); err != nil {
		return err
	}
	return cbor.Unmarshal(result, answer)
}

func (cluster *cluster) target(vm string) *node {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	return cluster.nodes[vm]
}

// transmit waits for the delay of one message. If the message is lost, the sender
// gets no error before its context is done, as in a network partition.
func (cluster *cluster) transmit(ctx context.Context, from, to string) error {
	cluster.mutex.Lock()
	lost := cluster.cut[[2]string{from, to}] || cluster.random.Float64() < cluster.loss
	delay := time.Duration(cluster.random.Int64N(int64(cluster.delay)+1)) + cluster.slow[to]
	cluster.mutex.Unlock()
	if lost {
		<-ctx.Done()
		return errLost
	}
	return clocker.Sleep(ctx, cluster.clock, delay)
}

// waitUnpaused blocks while the VM is paused.
func (node *node) waitUnpaused(ctx context.Context) error {
	node.cluster.mutex.Lock()
	resume := node.resume
	node.cluster.mutex.Unlock()
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
	if err := node.waitUnpaused(ctx); err != nil {
		return nil, err
	}
	node.cluster.mutex.Lock()
	dead := node.dead
	node.cluster.mutex.Unlock()
	if dead {
		return nil, errLost
	}
	body := newCallBody(method)
	if err := cbor.Unmarshal(data, body); err != nil {
		return nil, err
	}
	answer := node.manager.handleCall
	if node.group != nil {
		answer = node.group.HandleCall
	}
	result, err := answer(ctx, from, method, body)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(result)
}

// Begin checks that the state contains all acknowledged entries and that the term
// is higher than the last one.
func (node *node) Begin(_ context.Context, lease Lease, state State) error {
	cluster := node.cluster
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	if node.dead {
		return errLost
	}
	if node.beginErr != nil {
		return node.beginErr
	}
	known := map[string]deduper.Entry{}
	for _, entry := range state.Requests {
		known[entry.ID] = entry
	}
	for id, entry := range cluster.acknowledged {
		if found, ok := known[id]; !ok || supersedes(entry, found) {
			cluster.violations = append(cluster.violations, fmt.Sprintf("begin of %s in term %d lacks %s", node.name, lease.Term(), id))
		}
	}
	if lease.Term() <= cluster.lastTerm {
		cluster.violations = append(cluster.violations, fmt.Sprintf("term %d follows %d", lease.Term(), cluster.lastTerm))
	}
	cluster.lastTerm = lease.Term()
	cluster.beginCount++
	cluster.history.read(node.name, cluster.clock.Now(), state.Assignment.Version)
	node.lease, node.state = lease, state
	return nil
}

// End records the end of the lease.
func (node *node) End(bool) []InFlight {
	node.cluster.mutex.Lock()
	defer node.cluster.mutex.Unlock()
	node.lease = nil
	node.endCount++
	return node.inFlight
}

// replicateEntry replicates a new request and a new assignment under the lease of
// the node, if it has one.
func (cluster *cluster) replicateEntry(node *node) {
	cluster.mutex.Lock()
	lease := node.lease
	cluster.lastVersion++
	version := cluster.lastVersion
	if lease == nil || node.dead {
		cluster.mutex.Unlock()
		return
	}
	call := cluster.clock.Now()
	cluster.mutex.Unlock()
	entry := deduper.Entry{ID: fmt.Sprintf("r%d", version), Status: deduper.Intent, Term: lease.Term(), UpdatedAt: call}
	cluster.running.Go(func() error {
		ctx, cancel := clocker.WithTimeout(node.ctx, node.clock, 300*time.Millisecond)
		defer cancel()
		assignment := Assignment{Term: lease.Term(), Version: version}
		err := lease.Replicate(ctx, Entries{Assignment: &assignment, Requests: []deduper.Entry{entry}})
		cluster.mutex.Lock()
		defer cluster.mutex.Unlock()
		if err == nil && !node.dead {
			cluster.acknowledged[entry.ID] = entry
		}
		cluster.history.write(node.name, call, cluster.clock.Now(), version, err == nil && !node.dead)
		return nil
	})
}

// withCluster runs test with a cluster in a synctest bubble, and fails it for each
// violation.
func withCluster(t *testing.T, seed uint64, names []string, test func(t *testing.T, cluster *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(seed, names...)
		defer cluster.stop()
		test(t, cluster)
		for _, violation := range cluster.violations {
			t.Error(violation)
		}
	})
}
