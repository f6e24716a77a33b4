package broker_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/pkg/broker"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

func vmNames(count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprint("vm", i)
	}
	return names
}

// members returns VMs in the given number of zones, "a" and on.
func members(count, zones int) []broker.Member {
	list := make([]broker.Member, count)
	for i, name := range vmNames(count) {
		list[i] = broker.Member{Name: name, Zone: string(rune('a' + i%zones))}
	}
	return list
}

// Guards against VMs in local mode that together send an upstream more than its queue holds
// beside the requests of a former broker (89 VMs with one slot each for an upstream that
// holds 20), and against keys of an upstream that no VM serves.
func TestLocalModeStaysWithinTheQueue(t *testing.T) {
	for _, slots := range []int{1, 3, 4, 8} {
		for _, vms := range []int{2, 3, 10, 16, 17, 40, 89, 200} {
			owners := fixedOwners{}
			for key := range 20 {
				owners[key] = broker.Ownership{Upstream: fmt.Sprint("u", key), Held: true}
			}
			sums := make([]int, len(owners))
			for _, name := range vmNames(vms) {
				vmBroker := &broker.Broker{Service: "s", Clock: newFakeClock(), Owners: owners}
				vmBroker.SetUpstreams(upstreams(len(owners), slots))
				vmBroker.SetLocalMode(name, members(vms, 3))
				vmBroker.SetUpstreams(upstreams(len(owners), slots))
				for key := range sums {
					for range slots + 2 {
						decision, ok := pollDecision(vmBroker.Submit(broker.Request{VM: name, Zone: "a", Key: key, Target: time.Second, Timeout: time.Second}))
						if ok && decision.Ticket > 0 {
							sums[key]++
						}
						assert.Assert(t, !ok || decision.Ticket > 0 || decision.Refusal == broker.Unavailable || decision.Refusal == broker.Overloaded)
					}
				}
			}
			for key, sum := range sums {
				assert.Assert(t, sum <= 4*slots-1, "upstream %d gets %d requests of %d VMs, with %d slots", key, sum, vms, slots)
				assert.Assert(t, sum >= min(vms, 4*slots-1), "upstream %d gets %d requests of %d VMs, with %d slots", key, sum, vms, slots)
			}
		}
	}
}

// Guards against VMs in local mode that all choose the same upstreams. On
// lochside-gw-grown, 68 VMs assigned slots locally after all of them had restarted.
// All chose the same upstreams first, three slots each; these reset connections, and
// grants of keys failed for another second. No upstream may get more requests at once
// than fit into its slots and its own queue.
func TestLocalModeSpreadsVMsOverUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms, count, slots, queue, utilization = 60, 24, 3, 12, 0.6
		serviceTime := 200 * time.Millisecond
		var mutex sync.Mutex
		busy, most, sent := map[string]int{}, 0, 0
		var requests sync.WaitGroup
		for vm := range vms {
			name := fmt.Sprint("vm", vm)
			vmBroker := newBroker(clocker.System{}, upstreams(count, slots))
			vmBroker.SetLocalMode(name, members(vms, 3))
			random := rand.New(rand.NewPCG(uint64(vm), 1))
			requests.Go(func() {
				for end := time.Now().Add(5 * time.Second); time.Now().Before(end); {
					time.Sleep(time.Duration(random.ExpFloat64() * float64(serviceTime) * vms / (utilization * count * slots)))
					requests.Go(func() {
						decision := vmBroker.Acquire(context.Background(), broker.Request{VM: name, Zone: "a", Key: broker.NoKey, Target: time.Second, Timeout: 3 * time.Second})
						if decision.Ticket == 0 {
							return
						}
						mutex.Lock()
						busy[decision.Upstream.ID]++
						most = max(most, busy[decision.Upstream.ID])
						sent++
						mutex.Unlock()
						time.Sleep(serviceTime)
						mutex.Lock()
						busy[decision.Upstream.ID]--
						mutex.Unlock()
						vmBroker.Release(broker.Result{Ticket: decision.Ticket, Outcome: broker.Served, Elapsed: serviceTime})
					})
				}
			})
		}
		requests.Wait()
		assert.Assert(t, most <= slots+queue, "an upstream got %d requests at once", most)
		assert.Assert(t, sent >= int(0.9*utilization*count*slots*5/serviceTime.Seconds()), "%d requests were sent", sent)
	})
}

// A broker that leaves local mode assigns all slots again.
func TestLeavingLocalModeFreesAllSlots(t *testing.T) {
	testBroker := newBroker(newFakeClock(), upstreams(1, 3))
	testBroker.SetLocalMode("vm0", members(8, 3))
	assigned := func() (count int) {
		for range 4 {
			if decision, ok := pollDecision(testBroker.Submit(newRequest(0))); ok && decision.Ticket > 0 {
				count++
			}
		}
		return count
	}
	assert.Equal(t, assigned(), 1)
	testBroker.SetLocalMode("vm0", nil)
	assert.Equal(t, testBroker.SlotsInUse()["u0"], 3)
}

// Guards against keys that nobody serves while a zone is partitioned: of 24 VMs of an
// upstream's zone, too few had a slot of it, and the others asked VMs of other zones.
func TestLocalModePrefersTheZoneOfAnUpstream(t *testing.T) {
	owners := fixedOwners{}
	for key := range 20 {
		owners[key] = broker.Ownership{Upstream: fmt.Sprint("u", key), Held: true}
	}
	list := upstreams(len(owners), 4)
	for i := range list {
		list[i].Zone = "a"
	}
	inZone := map[string]bool{}
	for _, member := range members(73, 3) {
		inZone[member.Name] = member.Zone == "a"
	}
	holders := make([]int, len(list))
	for _, member := range members(73, 3) {
		vmBroker := &broker.Broker{Service: "s", Clock: newFakeClock(), Owners: owners}
		vmBroker.SetUpstreams(list)
		vmBroker.SetLocalMode(member.Name, members(73, 3))
		for key := range holders {
			asked := vmBroker.LocalHolders(broker.Request{Key: key})
			switch {
			case len(asked) == 0 && inZone[member.Name]:
				holders[key]++
			case len(asked) > 0:
				assert.Equal(t, len(asked), 15)
				assert.Assert(t, !inZone[member.Name] || (inZone[asked[0]] && inZone[asked[1]]))
			}
		}
	}
	for key, count := range holders {
		assert.Assert(t, count >= 10, "%d VMs of the zone have a slot of upstream %d", count, key)
	}
}
