package keeper_test

import (
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/storer"
	"github.com/cuminstream/cuminstream/pkg/broker"
)

// storeCopy is a copy of the store.
type storeCopy struct {
	objects  map[string]storer.Object
	revision uint64
}

func (cluster *cluster) copyStore() storeCopy {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	return storeCopy{maps.Clone(cluster.objects), cluster.revision}
}

// restore restores the store from a copy. Its revisions are reused in a new era.
func (cluster *cluster) restore(copied storeCopy) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.objects, cluster.revision = maps.Clone(copied.objects), copied.revision
	cluster.era++
}

// copyAges are the ages of the copies from which the tests restore the store.
var copyAges = []time.Duration{time.Second, 5 * time.Second, 20 * time.Second}

// moveKeys moves keys for the given time: one upstream after the other drains, releases
// its keys, and is ready again, if restarts is set as another process. Each drain moves
// all keys of an upstream.
func (cluster *cluster) moveKeys(running *runningBroker, duration time.Duration, restarts bool) {
	for i := 0; duration > 0; i++ {
		address := fmt.Sprint("u", i%5, ":80")
		cluster.mutex.Lock()
		cluster.upstreams[address].info.Draining = true
		cluster.mutex.Unlock()
		running.setUpstreams(cluster.registered())
		time.Sleep(500 * time.Millisecond)
		cluster.mutex.Lock()
		startedAt := cluster.upstreams[address].info.StartedAt + 1
		cluster.upstreams[address].info.Draining = false
		cluster.mutex.Unlock()
		if restarts {
			cluster.addUpstream(fmt.Sprint("u", i%5), startedAt)
		}
		running.setUpstreams(cluster.registered())
		time.Sleep(500 * time.Millisecond)
		duration -= time.Second
	}
}

// A broker that leads goes on: keys that do not move are held throughout, and moves begin
// again at once. Guards against grants under fencing tokens that are in use already, and
// against a broker that takes the restored ledger for that of a successor or writes
// against its reused revision.
func TestRestoreUnderALeadingBroker(t *testing.T) {
	for _, age := range copyAges {
		synctest.Test(t, func(t *testing.T) {
			cluster := newCluster(t, uint64(age))
			cluster.era = 3
			first := startWithUpstreams(cluster, 6)
			defer first.stop()
			cluster.moveKeys(first, 3*time.Second, true)
			copied := cluster.copyStore()
			cluster.moveKeys(first, age, true)
			assert.Equal(t, first.heldFraction(), 1.0)
			cluster.restore(copied)
			for range 30 {
				assert.Equal(t, first.heldFraction(), 1.0)
				time.Sleep(100 * time.Millisecond)
			}
			era, settled := first.keeper.SettledEra()
			assert.Assert(t, settled && era == 4)
			cluster.mutex.Lock()
			cluster.upstreams["u5:80"].info.Draining = true
			cluster.mutex.Unlock()
			first.setUpstreams(cluster.registered())
			time.Sleep(600 * time.Millisecond)
			for key := range broker.KeyCount {
				assert.Assert(t, first.keeper.Owner(key).Upstream != "u5", "key %d was not moved in the new era", key)
			}
			assert.Equal(t, first.heldFraction(), 1.0)
		})
	}
}

// Moves go on while the store is restored, and calls fail. Guards against a move whose
// ledger is lost with the restore, or written into the new era with the revision that its
// condition had in the earlier one.
func TestRestoreDuringMoves(t *testing.T) {
	for seed := range uint64(6) {
		synctest.Test(t, func(t *testing.T) {
			cluster := newCluster(t, seed)
			cluster.era = 1
			first := startWithUpstreams(cluster, 6)
			defer first.stop()
			cluster.mutex.Lock()
			cluster.lostAnswerRate = 0.05
			cluster.mutex.Unlock()
			age := copyAges[seed%3]
			copied := cluster.copyStore()
			cluster.moveKeys(first, age, true)
			time.AfterFunc(time.Duration(130*(seed+1))*time.Millisecond, func() { cluster.restore(copied) })
			cluster.moveKeys(first, 8*time.Second, true)
			cluster.mutex.Lock()
			cluster.lostAnswerRate = 0
			cluster.mutex.Unlock()
			time.Sleep(9 * time.Second)
			assert.Equal(t, first.heldFraction(), 1.0)
		})
	}
}

// The broker is lost at the moment of the restore, after it has moved keys under records
// that are lost. Guards against two owners, and against a fencing token that is not above
// the lost ones: before, the next broker granted keys to the owners of the restored ledger
// at once.
func TestRestoreWithoutTheBroker(t *testing.T) {
	for _, age := range copyAges {
		synctest.Test(t, func(t *testing.T) {
			cluster := newCluster(t, uint64(age))
			cluster.era = 1
			first := startWithUpstreams(cluster, 6)
			copied := cluster.copyStore()
			cluster.moveKeys(first, age, true)
			// An owner is unreachable, so that its keys move without a release, and comes back.
			cluster.mutex.Lock()
			cluster.upstreams["u5:80"].unreachable = true
			cluster.mutex.Unlock()
			time.Sleep(15 * time.Second)
			first.stop()
			cluster.restore(copied)
			cluster.mutex.Lock()
			cluster.upstreams["u5:80"].unreachable = false
			lastFence := uint64(0)
			for _, fence := range cluster.fences {
				lastFence = max(lastFence, fence)
			}
			cluster.mutex.Unlock()
			time.Sleep(time.Second)
			second := cluster.startBroker(2, restoredRenewals)
			defer second.stop()
			time.Sleep(2 * time.Second)
			assert.Equal(t, second.heldFraction(), 0.0, "keys were granted before lost grants have expired")
			time.Sleep(restoredRenewals + 5*time.Second)
			assert.Equal(t, second.heldFraction(), 1.0, "keys were not granted after lost grants have expired")
			cluster.mutex.Lock()
			defer cluster.mutex.Unlock()
			for key, fence := range cluster.fences {
				assert.Assert(t, fence > lastFence, "key %d: token %d, while %d was in use", key, fence, lastFence)
			}
		})
	}
}

// A successor has replaced the broker in records that are lost, has moved keys, and is
// lost too. Guards against the replaced broker, which nothing tells of its successor, going
// on to move or grant keys that the successor has granted to others.
func TestRestoreRevivesAReplacedBroker(t *testing.T) {
	for _, age := range copyAges {
		synctest.Test(t, func(t *testing.T) {
			cluster := newCluster(t, uint64(age))
			cluster.era = 1
			first := startWithUpstreams(cluster, 6)
			defer first.stop()
			first.authority.mutex.Lock()
			first.authority.disputed = true
			first.authority.mutex.Unlock()
			copied := cluster.copyStore()
			first.authority.stopRenewalsAt(time.Now().Add(restoredRenewals - time.Second))
			first.cutOff.Store(true)
			second := cluster.startBroker(2, restoredRenewals)
			cluster.moveKeys(second, age, false) // see maxMoves for restarts during renewals of another broker
			second.stop()
			cluster.restore(copied)
			first.cutOff.Store(false)
			first.setUpstreams(cluster.registered())
			time.Sleep(restoredRenewals)
			era, settled := first.keeper.SettledEra()
			assert.Assert(t, !settled && era == 1)
			first.authority.stopRenewalsAt(time.Time{}) // most VMs acknowledge it again
			time.Sleep(8 * time.Second)
			assert.Equal(t, first.heldFraction(), 1.0)
		})
	}
}

// A broker that starts with a restored ledger is lost before it has settled it. Guards
// against a successor that takes the ledger for one of the new era.
func TestRestoredLedgerStaysMarked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 1)
		cluster.era = 1
		first := startWithUpstreams(cluster, 6)
		copied := cluster.copyStore()
		cluster.moveKeys(first, 5*time.Second, true)
		first.stop()
		cluster.restore(copied)
		second := cluster.startBroker(2, restoredRenewals)
		time.Sleep(2 * time.Second)
		second.stop()
		third := cluster.startBroker(3, 0)
		defer third.stop()
		time.Sleep(2 * time.Second)
		assert.Equal(t, third.heldFraction(), 0.0)
		time.Sleep(restoredRenewals + 5*time.Second)
		assert.Equal(t, third.heldFraction(), 1.0)
	})
}
