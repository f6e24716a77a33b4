package allocator_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/courier"
	"github.com/cuminstream/cuminstream/pkg/broker"
)

// Guards against requests to an evacuated zone from a VM that knows of the evacuation
// before the broker does, against keys that stay in the zone, and against a zone that gets
// no keys after its evacuation has ended.
func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	runSystem(t, 3, func(t *testing.T, system *system, vms []*vm) {
		var list []broker.Upstream
		zones := map[string]string{}
		for _, service := range []string{"keyed", "plain"} {
			for i := range 4 {
				id, zone := fmt.Sprint(service, i), []string{"a", "b"}[i%2]
				zones[id] = zone
				list = append(list, broker.Upstream{ID: id, StartedAt: 1, Service: service, Address: fmt.Sprint(service, i, ":80"), Zone: zone, Slots: 1})
			}
		}
		for _, vm := range vms {
			vm.SetUpstreams(list)
		}
		send := func(vm *vm, service string, key int) courier.Slot {
			slot := vm.Acquire(t.Context(), service, broker.Request{VM: vm.name, Zone: "b", Key: key, Target: time.Second, Timeout: 2 * time.Second})
			if slot.Ticket > 0 {
				vm.Release(service, slot, broker.Result{Ticket: slot.Ticket, Outcome: broker.Served, Elapsed: 50 * time.Millisecond})
			}
			return slot
		}
		used := func(vm *vm, service string) map[string]int {
			counts := map[string]int{}
			for i := range 60 {
				key := broker.NoKey
				if service == "keyed" {
					key = i * 1000
				}
				if slot := send(vm, service, key); slot.Ticket > 0 {
					counts[zones[slot.Upstream.ID]]++
				}
			}
			return counts
		}
		time.Sleep(time.Second)
		first := vms[0]
		for _, vm := range vms {
			if vm.name != system.claim(t, "plain").Broker {
				first = vm
			}
		}
		assert.Assert(t, used(first, "plain")["b"] > 0 && used(first, "keyed")["b"] > 0)
		first.SetEvacuations([]string{"b"})
		assert.DeepEqual(t, used(first, "plain"), map[string]int{"a": 60})
		assert.Equal(t, used(first, "keyed")["b"], 0)
		for _, vm := range vms {
			vm.SetEvacuations([]string{"b"})
		}
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, used(first, "keyed"), map[string]int{"a": 60})
		for _, vm := range vms {
			vm.SetEvacuations(nil)
		}
		time.Sleep(4 * time.Second)
		counts := used(first, "keyed")
		assert.Assert(t, counts["b"] > 0 && counts["a"]+counts["b"] == 60, "%v", counts)
		assert.Assert(t, used(first, "plain")["b"] > 0)
	})
}
