package heartbeater

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/linker"
	"github.com/cuminstream/cuminstream/internal/platformer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/leaser"
	"github.com/cuminstream/cuminstream/pkg/tracker"
)

// network connects heartbeaters in one process without links. They run in turn at
// each step of a fake clock, which makes a run repeatable.
type network struct {
	t     testing.TB
	clock *clocker.Fake
	nodes map[string]*node
	order []string
}

// node is a VM of the network with the payloads that it received, by sender.
type node struct {
	*Heartbeater
	handlers map[string]linker.CallHandler
	snapshot *tracker.Snapshot
	down     bool
	payload  int
	received map[string][]int
}

func newNetwork(t testing.TB) *network {
	return &network{t: t, clock: clocker.NewFake(time.Unix(1000, 0)), nodes: map[string]*node{}}
}

// caller makes calls from one VM of the network.
type caller struct {
	network *network
	from    string
}

var errDown = errors.New("VM is down")

func (caller caller) Call(ctx context.Context, vm, method string, body, answer any) error {
	target := caller.network.nodes[vm]
	if target == nil || target.down || caller.network.nodes[caller.from].down {
		return errDown
	}
	data, err := cbor.Marshal(body)
	assert.NilError(caller.network.t, err)
	value, err := target.handlers[method](ctx, caller.from, func(into any) error { return cbor.Unmarshal(data, into) })
	if err != nil {
		return err
	}
	data, err = cbor.Marshal(value)
	assert.NilError(caller.network.t, err)
	return cbor.Unmarshal(data, answer)
}

// Handle implements linker.Registrar.
func (node *node) Handle(method string, handler linker.CallHandler) { node.handlers[method] = handler }

// start adds a VM, or replaces an existing VM by a new process with the same name.
func (network *network) start(name, zone string, incarnation uint64, seeds ...platformer.VM) *node {
	created := &node{handlers: map[string]linker.CallHandler{}, payload: 1, received: map[string][]int{}}
	timing := leaser.DefaultTiming()
	created.Heartbeater = &Heartbeater{
		Self:   tracker.VM{Name: name, Zone: zone, Address: name + ":1", Incarnation: incarnation},
		Caller: caller{network, name}, Clock: network.clock, Timing: timing, Seeds: seeds,
		Tracker: tracker.New(tracker.Config{Self: name, Clock: network.clock, HeartbeatInterval: timing.HeartbeatInterval, SuspicionTimeout: timing.SuspicionTimeout}),
		Payload: func() any { return created.payload },
		OnPayload: func(from string, decode func(any) error) {
			var payload int
			assert.NilError(network.t, decode(&payload))
			created.received[from] = append(created.received[from], payload)
		},
	}
	created.Register(created)
	created.addSeeds()
	if network.nodes[name] == nil {
		network.order = append(network.order, name)
	}
	network.nodes[name] = created
	return created
}

// run advances the clock by the duration in steps of the heartbeat interval, and
// runs all VMs that are up before each step.
func (network *network) run(duration time.Duration) {
	for ; duration > 0; duration -= leaser.DefaultTiming().HeartbeatInterval {
		for _, name := range network.order {
			node := network.nodes[name]
			if node.down {
				continue
			}
			node.Tracker.CheckTimeouts()
			var group errgroup.Group
			group.SetLimit(1)
			node.snapshot = node.tick(network.t.Context(), &group, node.snapshot)
			assert.NilError(network.t, group.Wait())
		}
		network.clock.Advance(leaser.DefaultTiming().HeartbeatInterval)
	}
}

func (network *network) member(viewer, name string) tracker.Member {
	member, ok := network.nodes[viewer].Tracker.Snapshot().Member(name)
	assert.Assert(network.t, ok, "%s does not know %s", viewer, name)
	return member
}

func vmName(index int) string { return fmt.Sprintf("vm%03d", index) }

// checkAllViews asserts the check for the member in the view of every other VM that
// is up.
func (network *network) checkAllViews(name string, check func(member tracker.Member) bool) {
	network.t.Helper()
	for viewer, node := range network.nodes {
		if viewer != name && !node.down {
			member := network.member(viewer, name)
			assert.Assert(network.t, check(member), "%s sees %+v", viewer, member)
		}
	}
}
