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

// On lochside-gw-grown, after all 68 VMs had restarted, each assigned slots itself
// until there was a broker. All of them took the same upstreams first, three slots
// each: those reset connections, and grants of keys failed for another second. Without
// a broker no upstream gets more than the users' upstreams hold in slots and queue.
func TestVMsWithoutABrokerSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms, count, slots, queue, use = 60, 24, 3, 12, 0.6
		work := 200 * time.Millisecond
		var mutex sync.Mutex
		busy, most, sent := map[string]int{}, 0, 0
		var requests sync.WaitGroup
		for vm := range vms {
			name := fmt.Sprint("vm", vm)
			alone := newBroker(clocker.System{}, upstreams(count, slots))
			alone.SetLocalMode(name, vms)
			random := rand.New(rand.NewPCG(uint64(vm), 1))
			requests.Go(func() {
				for end := time.Now().Add(5 * time.Second); time.Now().Before(end); {
					time.Sleep(time.Duration(random.ExpFloat64() * float64(work) * vms / (use * count * slots)))
					requests.Go(func() {
						decision := alone.Acquire(context.Background(), broker.Request{VM: name, Zone: "a", Key: broker.NoKey, Target: time.Second, Timeout: 3 * time.Second})
						if decision.Ticket == 0 {
							return
						}
						mutex.Lock()
						busy[decision.Upstream.ID]++
						most = max(most, busy[decision.Upstream.ID])
						sent++
						mutex.Unlock()
						time.Sleep(work)
						mutex.Lock()
						busy[decision.Upstream.ID]--
						mutex.Unlock()
						alone.Release(broker.Result{Ticket: decision.Ticket, Outcome: broker.Served, Elapsed: work})
					})
				}
			})
		}
		requests.Wait()
		assert.Assert(t, most <= slots+queue, "an upstream got %d requests at once", most)
		assert.Assert(t, sent >= int(0.9*use*count*slots*5/work.Seconds()), "%d requests were sent", sent)
	})
}

// A broker that decides for all again uses all slots.
func TestAloneEnds(t *testing.T) {
	served := newBroker(fake(), upstreams(1, 3))
	served.SetLocalMode("vm", 60)
	granted := func() (count int) {
		for range 4 {
			if decision, ok := decided(served.Submit(ask(0))); ok && decision.Ticket > 0 {
				count++
			}
		}
		return count
	}
	assert.Equal(t, granted(), 1)
	served.SetLocalMode("vm", 1)
	assert.Equal(t, served.SlotsInUse()["u0"], 3)
}
