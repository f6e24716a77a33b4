package allocator_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/pkg/broker"
)

// randomFaults restores the store from copies of random ages, cuts VMs off from each other
// and from the store, kills and restarts VMs and drains upstreams, for a minute.
func randomFaults(system *system, vms []*vm, random *rand.Rand) []*vm {
	restores := []func(){system.copyStore()}
	restored, gap := time.Now(), time.Duration(random.IntN(4))*6*time.Second // least time between restores
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(time.Duration(random.IntN(900)) * time.Millisecond) {
		i := random.IntN(len(vms))
		length := time.Duration(300+random.IntN(7000)) * time.Millisecond
		for range random.IntN(3) {
			restores = append(restores, system.copyStore())
		}
		switch random.IntN(7) {
		case 0:
			if time.Since(restored) >= gap {
				restored = time.Now()
				restores[len(restores)-1-random.IntN(min(len(restores), 40))]()
			}
		case 1:
			cut := vms[i] // it may be replaced before the cut ends
			system.set(cut, func(vm *vm) { vm.side = 1 + random.IntN(2) })
			time.AfterFunc(length, func() { system.set(cut, func(vm *vm) { vm.side = 0 }) })
		case 2:
			cut := vms[i]
			system.set(cut, func(vm *vm) { vm.storeDown = true })
			time.AfterFunc(length, func() { system.set(cut, func(vm *vm) { vm.storeDown = false }) })
		case 3:
			system.set(vms[i], func(vm *vm) { vm.partitioned, vm.storeDown, vm.killed = true, true, true })
			killed := vms[i]
			time.Sleep(length / 4)
			killed.stopAndWait()
			vms[i] = system.start(killed.name)
		default:
			drain(vms, fmt.Sprint("keyed", random.IntN(4)))
		}
	}
	time.Sleep(8 * time.Second) // until all cuts have ended
	return vms
}

// The broker is cut off from the other VMs, one of which replaces it and lets the grants of
// an upstream expire that answers no release. Then only the former broker reaches the
// store, which has lost its successor's claim. Guards against a former broker that renews
// these grants for longer because it reads its own claim in the new era.
func TestRestoreDoesNotExtendAuthority(t *testing.T) {
	runRestore(t, 1, func(t *testing.T, system *system, vms []*vm) {
		restore := system.copyStore()
		former := named(vms, system.claim(t, "keyed").Broker)
		system.set(former, func(vm *vm) { vm.side, vm.storeDown = 1, true })
		time.Sleep(3 * time.Second)
		assert.Assert(t, system.claim(t, "keyed").Broker != former.name)
		system.set(former, func(*vm) { system.unreachable = "keyed0" })
		drain(vms, "keyed0")
		time.Sleep(time.Second)
		restore()
		for _, each := range vms {
			system.set(each, func(vm *vm) { vm.storeDown = vm != former })
		}
		time.Sleep(14 * time.Second)
		assert.Assert(t, system.heldKeys() > broker.KeyCount/2)
		for _, each := range vms {
			system.set(each, func(vm *vm) { vm.side, vm.storeDown, system.unreachable = 0, false, "" })
		}
		time.Sleep(25 * time.Second)
		assert.Equal(t, system.heldKeys(), broker.KeyCount)
		assert.Equal(t, system.ledger(t).Era, uint64(2))
	})
}

// set changes the state of a VM.
func (system *system) set(vm *vm, change func(vm *vm)) {
	system.mutex.Lock()
	defer system.mutex.Unlock()
	change(vm)
}

// Guards against sequences of restores and other faults after which two upstreams hold a
// key, a fencing token decreases, or keys stay without an owner. SEEDS tells the number of
// sequences.
func TestRandomRestores(t *testing.T) {
	seeds := 3
	if text := os.Getenv("SEEDS"); text != "" {
		var err error
		seeds, err = strconv.Atoi(text)
		assert.NilError(t, err)
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runRestore(t, uint64(seed%2), func(t *testing.T, system *system, vms []*vm) {
				randomFaults(system, vms, rand.New(rand.NewPCG(uint64(seed), 1)))
				drain(vms, "")
				time.Sleep(25 * time.Second)
				assert.Equal(t, system.heldKeys(), broker.KeyCount)
				assert.Equal(t, system.ledger(t).Era, system.era)
			})
		})
	}
}
