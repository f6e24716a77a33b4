package heartbeater

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cuminstream/cuminstream/internal/platformer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/tracker"
)

// newFleet starts VMs in three zones with only the first VM as seed, and runs them
// for a minute.
func newFleet(t testing.TB, count int) *network {
	network := newNetwork(t)
	for index := range count {
		seed := platformer.VM{Name: vmName(0), Zone: "z0", Address: vmName(0) + ":1"}
		network.start(vmName(index), fmt.Sprintf("z%d", index%3), 1, seed)
	}
	network.run(time.Minute)
	return network
}

// Guards against VMs that some VMs never learn of, and against restarts and
// announced stops that do not reach all VMs, while the platform's list is not
// available.
func TestMembershipSpreadsWithoutPlatform(t *testing.T) {
	network := newFleet(t, 24)
	for index := range 24 {
		network.checkAllViews(vmName(index), func(member tracker.Member) bool {
			return member.State == tracker.Alive && member.Incarnation == 1 && member.Address == vmName(index)+":1"
		})
	}
	network.start(vmName(5), "z2", 2, platformer.VM{Name: vmName(0), Zone: "z0", Address: vmName(0) + ":1"})
	network.run(20 * time.Second)
	network.checkAllViews(vmName(5), func(member tracker.Member) bool { return member.Incarnation == 2 })
	network.nodes[vmName(7)].Leaving = func() bool { return true }
	network.run(10 * time.Second)
	network.checkAllViews(vmName(7), func(member tracker.Member) bool { return member.State == tracker.Leaving })
}

// Guards against a payload that is delivered twice, not at all or out of order, and
// against one that a restarted process does not receive again.
func TestPayloadIsDeliveredOncePerVersion(t *testing.T) {
	network := newFleet(t, 3)
	one, two := network.nodes[vmName(0)], network.nodes[vmName(1)]
	assert.DeepEqual(t, one.received[vmName(1)], []int{1})
	assert.DeepEqual(t, two.received[vmName(0)], []int{1})
	two.payload = 2
	network.run(3 * time.Second)
	two.payload = 3
	network.run(3 * time.Second)
	assert.DeepEqual(t, one.received[vmName(1)], []int{1, 2, 3})
	restarted := network.start(vmName(0), "z0", 2)
	network.run(5 * time.Second)
	assert.DeepEqual(t, restarted.received[vmName(1)], []int{3})
	assert.DeepEqual(t, two.received[vmName(0)], []int{1, 1})
}

// Guards against a late heartbeat of an earlier process of a VM being taken for one
// of its current process.
func TestLateHeartbeatOfPreviousProcessIsIgnored(t *testing.T) {
	network := newFleet(t, 2)
	two := network.nodes[vmName(1)]
	stale := network.nodes[vmName(0)].newMessage(vmName(1))
	network.start(vmName(0), "z0", 2, platformer.VM{Name: vmName(1), Zone: "z1", Address: "x"})
	network.run(5 * time.Second)
	stale.PayloadVersion, stale.Payload = 9, []byte{9}
	two.mergeMessage(vmName(0), *stale)
	assert.Equal(t, network.member(vmName(1), vmName(0)).Incarnation, uint64(2))
	assert.DeepEqual(t, two.received[vmName(0)], []int{1, 1})
}

// Guards against a failed VM that VMs of its group suspect too late, or that its
// other neighbors never suspect.
func TestSilentVMIsSuspected(t *testing.T) {
	network := newFleet(t, 9)
	lost := vmName(4)
	network.nodes[vmName(0)].GroupPeers = func() []string { return []string{lost, "unknown"} }
	network.nodes[lost].GroupPeers = func() []string { return []string{vmName(0)} }
	network.run(3 * time.Second)
	network.nodes[lost].down = true
	network.run(750 * time.Millisecond)
	assert.Equal(t, network.member(vmName(0), lost).State, tracker.Suspected)
	network.run(5 * time.Second)
	suspecting := 0
	for viewer, node := range network.nodes {
		if viewer == lost {
			continue
		}
		if slices.Contains(node.Neighbors(), lost) {
			suspecting++
			assert.Equal(t, network.member(viewer, lost).State, tracker.Suspected, viewer)
		}
	}
	// The two other VMs of its zone, and the VM that shares a group with it.
	assert.Assert(t, suspecting >= 3, suspecting)
	network.nodes[lost].down = false
	network.run(3 * time.Second)
	network.checkAllViews(lost, func(member tracker.Member) bool { return member.State == tracker.Alive })
}

// Guards against a graph of neighbors that is not connected, in which changes do not
// reach all VMs, and against a VM that chooses too many neighbors.
func TestNeighborsAreConnectedAndBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.SliceOfN(rapid.IntRange(0, 40), 1, 6).Draw(t, "zones")
		var vms []tracker.VM
		for zone, count := range zones {
			for index := range count {
				name := fmt.Sprintf("vm-%d-%d", zone, index)
				vms = append(vms, tracker.VM{Name: name, Zone: fmt.Sprintf("z%d", zone), Address: name})
			}
		}
		if len(vms) == 0 {
			return
		}
		calls := map[string][]string{}
		members := tracker.New(tracker.Config{Clock: clocker.NewFake(time.Unix(0, 0)), HeartbeatInterval: 1, SuspicionTimeout: 4})
		members.SetPlatformList(vms)
		for _, vm := range vms {
			chosen := chooseNeighbors(vm.Name, vm.Zone, members.Snapshot())
			assert.Assert(t, len(chosen) <= 8+2*(len(zones)-1))
			for _, neighbor := range chosen {
				// An exchange carries changes in both directions.
				calls[vm.Name] = append(calls[vm.Name], neighbor.name)
				calls[neighbor.name] = append(calls[neighbor.name], vm.Name)
			}
		}
		reached := map[string]bool{vms[0].Name: true}
		for queue := []string{vms[0].Name}; len(queue) > 0; queue = queue[1:] {
			for _, next := range calls[queue[0]] {
				if !reached[next] {
					reached[next] = true
					queue = append(queue, next)
				}
			}
		}
		assert.Equal(t, len(reached), len(vms))
	})
}

// Guards against a VM of a large fleet with far more neighbors than the average,
// which would exceed the bound on control traffic.
func TestNeighborCountInLargeFleet(t *testing.T) {
	const count, zones, bound = 910, 8, 45
	members := tracker.New(tracker.Config{Clock: clocker.NewFake(time.Unix(0, 0)), HeartbeatInterval: 1, SuspicionTimeout: 4})
	var vms []tracker.VM
	for index := range count {
		vms = append(vms, tracker.VM{Name: vmName(index), Zone: fmt.Sprintf("z%d", index%zones), Address: "x"})
	}
	members.SetPlatformList(vms)
	pairs := map[[2]string]bool{}
	for _, vm := range vms {
		for _, chosen := range chooseNeighbors(vm.Name, vm.Zone, members.Snapshot()) {
			pairs[[2]string{vm.Name, chosen.name}], pairs[[2]string{chosen.name, vm.Name}] = true, true
		}
	}
	degrees, largest := map[string]int{}, 0
	for pair := range pairs {
		degrees[pair[0]]++
		largest = max(largest, degrees[pair[0]])
	}
	t.Logf("mean %.1f, largest %d", float64(len(pairs))/count, largest)
	assert.Assert(t, largest <= bound)
}

// Guards against a list that is read too rarely in a small fleet or while a VM is
// suspected, and against a VM that learns no members when it starts while the
// platform is down.
func TestPollIntervalAndSeeds(t *testing.T) {
	network := newFleet(t, 40)
	fresh := network.start("fresh", "z1", 1, platformer.VM{Name: vmName(3), Zone: "z0", Address: "x"})
	fresh.ListVMs = func(context.Context) ([]platformer.VM, error) { return nil, errors.New("platform is down") }
	network.run(300 * time.Millisecond)
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	group.Go(func() error { return fresh.pollPlatform(ctx) })
	for range 1000 {
		if fresh.Tracker.Snapshot().Len() == 40 {
			break
		}
		network.run(time.Second)
		_ = clocker.Sleep(ctx, clocker.System{}, time.Millisecond)
	}
	assert.Equal(t, fresh.Tracker.Snapshot().Len(), 40)
	cancel()
	assert.NilError(t, group.Wait())

	var listed []platformer.VM
	for index := range 200 {
		listed = append(listed, platformer.VM{Name: vmName(index), Zone: "z0", Address: vmName(index) + ":1"})
	}
	fresh.ListVMs = func(context.Context) ([]platformer.VM, error) { return listed, nil }
	assert.NilError(t, fresh.readPlatformList(t.Context()))
	address, ok := fresh.LinkAddress(vmName(150))
	assert.Assert(t, ok)
	assert.Equal(t, address, vmName(150)+":1")
	assert.Equal(t, fresh.pollInterval(), 201*pollIntervalPerVM)
	fresh.Tracker.ExpectHeartbeats(map[string]time.Duration{vmName(150): time.Second})
	network.clock.Advance(4 * time.Second)
	fresh.Tracker.CheckTimeouts()
	assert.Equal(t, fresh.pollInterval(), minPollInterval)
}
