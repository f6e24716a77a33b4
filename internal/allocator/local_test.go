package allocator_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/courier"
	"github.com/cuminstream/cuminstream/pkg/broker"
)

// Guards against keys that a VM refuses without a broker because other VMs have the slots of
// their owner, and against more requests at an upstream than its queue holds beside those of
// a former broker (3 for 1 slot).
func TestKeysAreServedWithoutBroker(t *testing.T) {
	runSystem(t, 9, func(t *testing.T, system *system, vms []*vm) {
		time.Sleep(25 * time.Second) // until all VMs have read the ledger
		former := system.claim(t, "keyed")
		var others []*vm
		system.mutex.Lock()
		for _, vm := range vms {
			vm.storeDown = true // nobody can become the broker
			if vm.name == former.Broker {
				vm.partitioned = true
			} else {
				others = append(others, vm)
			}
		}
		system.mutex.Unlock()
		time.Sleep(2 * time.Second)
		acquire := func(vm *vm, key int) courier.Slot {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			// The slot stays in use for the whole test unless it is released.
			return vm.Acquire(ctx, "keyed", broker.Request{VM: vm.name, Zone: "a", Key: key, Target: time.Second, Timeout: time.Hour})
		}
		release := func(vm *vm, slot courier.Slot) {
			vm.Release("keyed", slot, broker.Result{Ticket: slot.Ticket, Outcome: broker.Served, Elapsed: 10 * time.Millisecond})
			time.Sleep(10 * time.Millisecond) // until the other VM has got it
		}
		asked := 0
		for _, vm := range others {
			for key := 0; key < broker.KeyCount; key += broker.KeyCount / 16 {
				slot := acquire(vm, key)
				assert.Assert(t, slot.Ticket > 0, "%s got no slot for key %d: %s", vm.name, key, slot.Refusal)
				if slot.Broker != "" {
					asked++
				}
				release(vm, slot)
			}
		}
		assert.Assert(t, asked > 0 && asked < 8*16, "%d of %d slots came from other VMs", asked, 8*16)
		held := map[string]int{}
		slots := map[*vm][]courier.Slot{}
		for _, vm := range others {
			for key := 0; key < broker.KeyCount; key += broker.KeyCount / 16 {
				if slot := acquire(vm, key); slot.Ticket > 0 {
					slots[vm] = append(slots[vm], slot)
					held[slot.Upstream.ID]++
				}
			}
		}
		for upstream, count := range held {
			assert.Assert(t, count <= 3, "%s has %d requests", upstream, count)
		}
		for vm, list := range slots {
			for _, slot := range list {
				release(vm, slot)
			}
		}
		slot := acquire(others[0], 0)
		assert.Assert(t, slot.Ticket > 0, "a released slot stays in use: %s", slot.Refusal)
		release(others[0], slot)
	})
}
