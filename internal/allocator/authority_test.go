package allocator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against grants on new connections by a broker that was replaced while it was cut off:
// the upstreams at the other end may have restarted and forgotten all fencing tokens
// (review/6). Without a cut, or while the store is down for all, grants are still sent on new
// connections.
func TestOnlyConfirmedBrokerUsesNewConnections(t *testing.T) {
	for name, test := range map[string]struct{ cutOff, storeDown, storeHangs, sends bool }{
		"in touch": {sends: true}, "store down for all": {storeDown: true, sends: true}, "store hangs for all": {storeDown: true, storeHangs: true, sends: true},
		"cut off": {cutOff: true}, "cut off, store hangs": {cutOff: true, storeHangs: true},
	} {
		t.Run(name, func(t *testing.T) {
			runSystem(t, 5, func(t *testing.T, system *system, vms []*vm) {
				leader := system.claim(t, "keyed").Broker
				system.mutex.Lock()
				system.reconnects = true
				for _, vm := range vms {
					vm.storeHangs = test.storeHangs
					vm.storeDown = test.storeDown || (test.cutOff && vm.name == leader)
					vm.partitioned = test.cutOff && vm.name == leader
				}
				system.mutex.Unlock()
				time.Sleep(100 * time.Millisecond) // grants in progress end
				system.mutex.Lock()
				before := system.grants[leader]
				system.mutex.Unlock()
				time.Sleep(6 * time.Second)
				system.mutex.Lock()
				sent := system.grants[leader] - before
				system.mutex.Unlock()
				assert.Equal(t, sent > 0, test.sends, "%d grants", sent)
			})
		})
	}
}
