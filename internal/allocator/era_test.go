package allocator_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/keeper"
	"github.com/cuminstream/cuminstream/internal/storer"
	"github.com/cuminstream/cuminstream/pkg/broker"
)

// holdings holds which upstream holds which keys, as the upstreams know it, and records
// violations. The mutex of the system guards it. A nil value checks nothing.
type holdings struct {
	expiry     map[string]*[broker.KeyCount]time.Time // by upstream
	seen       map[string]*[broker.KeyCount]uint64    // highest fencing tokens by upstream
	fences     [broker.KeyCount]uint64
	holders    [broker.KeyCount]string
	violations []string
}

func newHoldings() *holdings {
	return &holdings{expiry: map[string]*[broker.KeyCount]time.Time{}, seen: map[string]*[broker.KeyCount]uint64{}}
}

func (holdings *holdings) of(owner keeper.Owner) (*[broker.KeyCount]time.Time, *[broker.KeyCount]uint64) {
	if holdings.expiry[owner.ID] == nil {
		holdings.expiry[owner.ID], holdings.seen[owner.ID] = &[broker.KeyCount]time.Time{}, &[broker.KeyCount]uint64{}
	}
	return holdings.expiry[owner.ID], holdings.seen[owner.ID]
}

func (holdings *holdings) grant(owner keeper.Owner, grant keeper.Grant) error {
	if holdings == nil {
		return nil
	}
	now := time.Now()
	expiry, seen := holdings.of(owner)
	for key := grant.Keys.From; key <= grant.Keys.To; key++ {
		if grant.Fence < seen[key] {
			return keeper.ErrFenced
		}
	}
	for key := grant.Keys.From; key <= grant.Keys.To; key++ {
		for id, other := range holdings.expiry {
			if id != owner.ID && now.Before(other[key]) {
				holdings.violations = append(holdings.violations, fmt.Sprintf("key %d: %s gets token %d while %s holds it", key, owner.ID, grant.Fence, id))
			}
		}
		if holdings.holders[key] != owner.ID && holdings.fences[key] >= grant.Fence {
			holdings.violations = append(holdings.violations, fmt.Sprintf("key %d: %s gets token %d, %s had %d", key, owner.ID, grant.Fence, holdings.holders[key], holdings.fences[key]))
		}
		holdings.holders[key], holdings.fences[key] = owner.ID, max(holdings.fences[key], grant.Fence)
		seen[key], expiry[key] = max(seen[key], grant.Fence), now.Add(grant.TTL)
	}
	return nil
}

func (holdings *holdings) release(owner keeper.Owner, keys keeper.Range, fence uint64) {
	if holdings == nil {
		return
	}
	expiry, seen := holdings.of(owner)
	for key := keys.From; key <= keys.To; key++ {
		seen[key], expiry[key] = max(seen[key], fence), time.Time{}
	}
}

// heldKeys returns the number of keys that an upstream holds.
func (system *system) heldKeys() int {
	system.mutex.Lock()
	defer system.mutex.Unlock()
	held, now := 0, time.Now()
	for key := range broker.KeyCount {
		for _, expiry := range system.holdings.expiry {
			if now.Before(expiry[key]) {
				held++
				break
			}
		}
	}
	return held
}

// copyStore returns a function that restores the store as it is now, in a new era.
func (system *system) copyStore() (restore func()) {
	system.mutex.Lock()
	defer system.mutex.Unlock()
	objects, revision := maps.Clone(system.objects), system.revision
	return func() {
		system.mutex.Lock()
		defer system.mutex.Unlock()
		system.objects, system.revision = maps.Clone(objects), revision
		system.era++
	}
}

// drain tells all VMs that only the given upstream of the keyed service is draining, so
// that its keys move.
func drain(vms []*vm, draining string) {
	for _, vm := range vms {
		var upstreams []broker.Upstream
		for _, service := range []string{"keyed", "plain"} {
			for i := range 4 {
				id := fmt.Sprint(service, i)
				upstreams = append(upstreams, broker.Upstream{ID: id, StartedAt: 1, Service: service, Address: id + ":80", Zone: "a", Slots: 1, Draining: id == draining})
			}
		}
		vm.SetUpstreams(upstreams)
	}
}

// moveKeys moves keys for the given time, at least once.
func moveKeys(vms []*vm, duration time.Duration) {
	for i := 0; i == 0 || duration > 0; i++ {
		drain(vms, fmt.Sprint("keyed", i%3))
		time.Sleep(800 * time.Millisecond)
		duration -= 800 * time.Millisecond
	}
}

// runRestore runs a test in a system of five VMs whose store is in the given era. It fails
// if two upstreams hold a key, or a key moves without a higher fencing token.
func runRestore(t *testing.T, era uint64, test func(t *testing.T, system *system, vms []*vm)) {
	runSystem(t, 0, func(t *testing.T, system *system, _ []*vm) {
		system.era, system.holdings = era, newHoldings()
		var vms []*vm
		for i := range 5 {
			vms = append(vms, system.start(fmt.Sprint("vm", i)))
			time.Sleep(30 * time.Millisecond)
		}
		defer func() {
			for _, vm := range vms {
				vm.stopAndWait()
			}
		}()
		time.Sleep(8 * time.Second)
		assert.Equal(t, system.heldKeys(), broker.KeyCount)
		test(t, system, vms)
		violations := system.holdings.violations
		assert.Assert(t, len(violations) == 0, "%d violations: %q", len(violations), violations[:min(len(violations), 3)])
	})
}

func (system *system) ledger(t *testing.T) *keeper.Ledger {
	system.mutex.Lock()
	defer system.mutex.Unlock()
	ledger, err := keeper.DecodeLedger(system.objects[keeper.KindLedgers+"/keyed"].Spec)
	assert.NilError(t, err)
	return ledger
}

// named returns the VM of the name.
func named(vms []*vm, name string) *vm {
	for _, vm := range vms {
		if vm.name == name {
			return vm
		}
	}
	return nil
}

// The brokers go on: all keys stay held, claims and ledger are written again, and moves
// begin again within 3 s. Guards against a broker that gives way to the one of the restored
// claim, and against a claim that is created anew beside it.
func TestRestoreKeepsBrokers(t *testing.T) {
	for _, age := range []time.Duration{time.Second, 5 * time.Second, 20 * time.Second} {
		era := uint64(age / (5 * time.Second)) // also 0, as before the first restore
		runRestore(t, era, func(t *testing.T, system *system, vms []*vm) {
			restore := system.copyStore()
			moveKeys(vms, age)
			time.Sleep(600 * time.Millisecond)
			before, fence := system.claim(t, "keyed"), system.ledger(t).LastFence
			restore()
			for range 30 {
				assert.Equal(t, system.heldKeys(), broker.KeyCount)
				time.Sleep(100 * time.Millisecond)
			}
			after := system.claim(t, "keyed")
			assert.Equal(t, after.BootID, before.BootID)
			assert.Equal(t, after.Term, before.Term)
			assert.Equal(t, after.Era, era+1)
			assert.Equal(t, system.claim(t, "plain").Era, era+1)
			assert.Equal(t, system.ledger(t).Era, era+1, "ledger not settled")
			assert.Assert(t, system.ledger(t).LastFence >= fence)
			drain(vms, "keyed3")
			time.Sleep(time.Second)
			assert.Equal(t, system.heldKeys(), broker.KeyCount)
			for key := range broker.KeyCount {
				assert.Assert(t, system.holdings.holders[key] != "keyed3", "key %d has not moved", key)
			}
		})
	}
}

// The copy is from before the first claim. Guards against a second broker that creates a
// claim beside a leading one.
func TestRestoreWithoutClaims(t *testing.T) {
	runRestore(t, 1, func(t *testing.T, system *system, vms []*vm) {
		before := system.claim(t, "keyed")
		system.mutex.Lock()
		system.objects, system.revision = map[string]storer.Object{}, 0
		system.era++
		system.mutex.Unlock()
		moveKeys(vms, 3*time.Second)
		after := system.claim(t, "keyed")
		assert.Equal(t, after.BootID, before.BootID)
		assert.Equal(t, system.ledger(t).Era, uint64(2))
		assert.Equal(t, system.heldKeys(), broker.KeyCount)
	})
}

// lose cuts a VM off from everything, as if it had been lost.
func (system *system) lose(lost *vm) {
	system.mutex.Lock()
	defer system.mutex.Unlock()
	lost.partitioned, lost.storeDown = true, true
}

// The broker is lost at the moment of the restore. Guards against its successor granting
// keys by the restored ledger while grants of the lost records are in force.
func TestRestoreAndLossOfTheBroker(t *testing.T) {
	for _, age := range []time.Duration{time.Second, 5 * time.Second, 20 * time.Second} {
		runRestore(t, 1, func(t *testing.T, system *system, vms []*vm) {
			restore := system.copyStore()
			moveKeys(vms, age)
			time.Sleep(300 * time.Millisecond)
			before := system.claim(t, "keyed")
			fence := system.ledger(t).LastFence
			lost := named(vms, before.Broker)
			system.lose(lost)
			restore()
			time.Sleep(24 * time.Second)
			after := system.claim(t, "keyed")
			assert.Assert(t, after.Broker != before.Broker && after.Era == 2)
			assert.Assert(t, system.ledger(t).LastFence > fence)
			assert.Equal(t, system.heldKeys(), broker.KeyCount, "keys were not granted once the old grants had expired")
		})
	}
}

// The lost broker's VM runs again 2 s later. Once all VMs follow the successor, only grants
// that were sent before are in force: keys are granted within 2 s after their expiry.
func TestRestoreAndRestartOfTheBroker(t *testing.T) {
	runRestore(t, 1, func(t *testing.T, system *system, vms []*vm) {
		restore := system.copyStore()
		moveKeys(vms, 5*time.Second)
		lost := named(vms, system.claim(t, "keyed").Broker)
		system.lose(lost)
		system.mutex.Lock()
		lost.killed = true
		system.mutex.Unlock()
		restore()
		time.Sleep(2 * time.Second)
		restarted := system.start(lost.name)
		defer restarted.stopAndWait()
		followed := time.Now()
		for system.ledger(t).Era != 2 {
			time.Sleep(50 * time.Millisecond)
		}
		assert.Assert(t, time.Since(followed) < keeper.GrantLifetime()+2*time.Second, "settled after %v", time.Since(followed))
		time.Sleep(time.Second)
		assert.Equal(t, system.heldKeys(), broker.KeyCount)
	})
}

// The broker has changed in records that are lost: the restored claim and ledger name the
// former one, which is reachable again at the restore. Guards against the two brokers both
// granting, each by its own era.
func TestRestoreOfAFormerBroker(t *testing.T) {
	for _, fate := range []string{"stays", "lost", "all others restarted"} { // of the successor
		for _, partitioned := range []time.Duration{2 * time.Second, 6 * time.Second, 20 * time.Second} {
			runRestore(t, 1, func(t *testing.T, system *system, vms []*vm) {
				former := named(vms, system.claim(t, "keyed").Broker)
				restore := system.copyStore()
				system.lose(former)
				time.Sleep(partitioned)
				moveKeys(vms, time.Second)
				time.Sleep(300 * time.Millisecond)
				successor := system.claim(t, "keyed").Broker
				var killed []*vm
				for _, vm := range vms {
					if vm != former && (fate == "all others restarted" || (fate == "lost" && vm.name == successor)) {
						system.lose(vm)
						killed = append(killed, vm)
					}
				}
				restore()
				if fate == "all others restarted" {
					for _, old := range killed {
						system.set(old, func(vm *vm) { vm.killed = true })
						started := system.start(old.name)
						defer started.stopAndWait()
					}
				}
				system.mutex.Lock()
				former.partitioned, former.storeDown = false, false
				system.mutex.Unlock()
				for range 30 {
					moveKeys(vms, 500*time.Millisecond)
				}
				time.Sleep(6 * time.Second)
				assert.Equal(t, system.claim(t, "keyed").Era, uint64(2))
				assert.Equal(t, system.ledger(t).Era, uint64(2))
				assert.Equal(t, system.heldKeys(), broker.KeyCount)
			})
		}
	}
}

// ConfigVersion implements allocator.ConfigSource.
func (vm *vm) ConfigVersion() uint64 {
	vm.system.mutex.Lock()
	defer vm.system.mutex.Unlock()
	return vm.config
}

// LostConfig implements allocator.ConfigSource.
func (vm *vm) LostConfig() []byte {
	vm.system.mutex.Lock()
	defer vm.system.mutex.Unlock()
	if vm.storedConfig >= vm.config {
		return nil
	}
	return fmt.Append(nil, vm.config)
}

// OfferConfig implements allocator.ConfigSource.
func (vm *vm) OfferConfig(spec []byte) {
	var offered uint64
	err := json.Unmarshal(spec, &offered)
	vm.system.mutex.Lock()
	defer vm.system.mutex.Unlock()
	if err == nil {
		vm.config = max(vm.config, offered)
	}
}

// Guards against a VM that starts after a restore and serves with the old configuration of
// the copy, although other VMs, or a single one that is no broker, know a newer one.
func TestNewVMLearnsTheNewestConfig(t *testing.T) {
	for _, onlyOne := range []bool{false, true} {
		runRestore(t, 1, func(t *testing.T, system *system, vms []*vm) {
			system.writeConfig()
			time.Sleep(2 * time.Second)
			restore := system.copyStore()
			system.writeConfig()
			time.Sleep(2 * time.Second)
			restore()
			if onlyOne {
				brokers := []string{system.claim(t, "keyed").Broker, system.claim(t, "plain").Broker}
				known := false
				system.mutex.Lock()
				for _, vm := range vms {
					if known || slices.Contains(brokers, vm.name) {
						vm.config = 1
					}
					known = known || vm.config == 2
				}
				system.mutex.Unlock()
			}
			time.Sleep(2 * time.Second)
			started := system.start("late")
			defer started.stopAndWait()
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, !started.ConfigConfirmed())
			for !started.ConfigConfirmed() {
				time.Sleep(50 * time.Millisecond)
			}
			assert.Equal(t, started.ConfigVersion(), uint64(2))
			for _, vm := range vms {
				assert.Equal(t, vm.ConfigVersion(), uint64(2))
			}
		})
	}
}

// The zone of the broker, two VMs of five, is cut off at the restore, from the store too
// or not. Guards against a broker that settles before it knows that no VM of the other side
// has replaced it.
func TestRestoreDuringAPartition(t *testing.T) {
	for i, offset := range []time.Duration{0, 400 * time.Millisecond, 1200 * time.Millisecond, 3 * time.Second} {
		runRestore(t, 1, func(t *testing.T, system *system, vms []*vm) {
			restore := system.copyStore()
			moveKeys(vms, time.Second)
			cut := named(vms, system.claim(t, "keyed").Broker)
			zone := append(vms[:0:0], cut, vms[0])
			if cut == vms[0] {
				zone[1] = vms[1]
			}
			split := func(side int, storeDown bool) {
				system.mutex.Lock()
				defer system.mutex.Unlock()
				for _, vm := range zone {
					vm.side, vm.storeDown = side, storeDown
				}
			}
			split(1, i%2 == 1)
			time.Sleep(offset)
			restore()
			moveKeys(vms, time.Duration(i)*3*time.Second)
			split(0, false)
			moveKeys(vms, 20*time.Second)
			time.Sleep(2 * time.Second)
			assert.Equal(t, system.ledger(t).Era, uint64(2))
			assert.Equal(t, system.heldKeys(), broker.KeyCount)
		})
	}
}
