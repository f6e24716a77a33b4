package broker_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/pkg/broker"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// uploadLoad sends uploads to five zones with five upstreams of three slots each. The
// service times of the upstreams differ by a factor of 2.3. Each upload has 60 KB, a
// target of 2.5 s and a mean service time of 0.21 s.
type uploadLoad struct {
	utilization                   map[string]float64 // offered, by zone; 1 uses all slots of the zone
	arrived, inTime, crossedZones int
	arrivedByZone, inTimeByZone   map[string]int
}

var zoneNames = []string{"a", "b", "c", "d", "e"}

// run sends uploads for the span and counts them by their result.
func (load *uploadLoad) run(t *testing.T, span time.Duration) {
	synctest.Test(t, func(*testing.T) {
		const perZone, slots, serviceTime = 5, 3, 0.21
		random := rand.New(rand.NewPCG(1, 2))
		list := upstreams(len(zoneNames)*perZone, slots)
		timeFactor := map[string]float64{}
		for i := range list {
			list[i].Zone = zoneNames[i%len(zoneNames)]
			timeFactor[list[i].ID] = []float64{0.6, 1, 1.4}[i%3]
		}
		testBroker := newBroker(clocker.System{}, list)
		load.arrivedByZone, load.inTimeByZone = map[string]int{}, map[string]int{}
		var mutex sync.Mutex
		var requests, loops sync.WaitGroup
		stop := make(chan struct{})
		loops.Go(func() { // redispatches periodically, as VMs do while requests wait
			for {
				select {
				case <-stop:
					return
				case <-time.After(25 * time.Millisecond):
					testBroker.Redispatch()
				}
			}
		})
		for _, zone := range zoneNames {
			source := rand.New(rand.NewPCG(random.Uint64(), 3))
			loops.Go(func() {
				for end := time.Now().Add(span); time.Now().Before(end); {
					time.Sleep(time.Duration(source.ExpFloat64() * float64(time.Second) / (load.utilization[zone] * perZone * slots / serviceTime)))
					work := serviceTime * (0.7 + 0.6*source.Float64())
					requests.Go(func() {
						began := time.Now()
						upload := broker.Request{VM: "vm" + zone, Zone: zone, Key: broker.NoKey, Rank: 2, BodyBytes: 60 << 10, Target: 2500 * time.Millisecond, Timeout: 8 * time.Second}
						decision := testBroker.Acquire(context.Background(), upload)
						elapsed := time.Duration(work * timeFactor[decision.Upstream.ID] * float64(time.Second))
						time.Sleep(elapsed)
						testBroker.Release(broker.Result{Ticket: decision.Ticket, Outcome: broker.Served, Elapsed: elapsed})
						mutex.Lock()
						defer mutex.Unlock()
						load.arrived++
						load.arrivedByZone[zone]++
						if decision.Ticket == 0 {
							return
						}
						if decision.Upstream.Zone != zone {
							load.crossedZones++
						}
						if time.Since(began) <= upload.Target {
							load.inTime++
							load.inTimeByZone[zone]++
						}
					})
				}
			})
		}
		time.Sleep(span + 10*time.Second)
		close(stop)
		loops.Wait()
		requests.Wait()
	})
}

// capacity returns the number of uploads that all slots can serve in the span.
func (load *uploadLoad) capacity(span time.Duration) int {
	perSlot := 0.0
	for i := range len(zoneNames) * 5 {
		perSlot += 1 / (0.21 * []float64{0.6, 1, 1.4}[i%3])
	}
	return int(3 * perSlot * span.Seconds())
}

// Guards against needless traffic between zones. On lochside-gw-grown, where this
// traffic is expensive, 60 to 72 of 100 requests without a key went to another zone:
// 0.49 GB in a day, which cost a sixth of the value of the whole traffic. At the usual load
// hardly any request leaves its zone.
func TestUsualLoadStaysInItsZone(t *testing.T) {
	load := &uploadLoad{utilization: map[string]float64{"a": 0.6, "b": 0.7, "c": 0.6, "d": 0.5, "e": 0.6}}
	load.run(t, time.Minute)
	assert.Assert(t, load.crossedZones*100 <= load.arrived*5, "%d of %d uploads went to another zone", load.crossedZones, load.arrived)
	assert.Assert(t, load.inTime*100 >= load.arrived*99, "%d of %d uploads were in time", load.inTime, load.arrived)
}

// Guards against zones that exchange their slots in a burst on all zones: each slot that
// became free went to the request that had waited longest, which came from another zone
// four times in five.
func TestBurstStaysInItsZones(t *testing.T) {
	load := &uploadLoad{utilization: map[string]float64{"a": 1.5, "b": 1.5, "c": 1.5, "d": 1.5, "e": 1.5}}
	load.run(t, 20*time.Second)
	assert.Assert(t, load.crossedZones*100 <= load.inTime*20, "%d of %d served uploads went to another zone", load.crossedZones, load.inTime)
	assert.Assert(t, load.inTime*100 >= load.capacity(20*time.Second)*95, "%d of %d possible uploads in time", load.inTime, load.capacity(20*time.Second))
}

// Guards against slots that go to requests with hardly any time left, which then miss
// their target all the same. At a load of 2.5 times the capacity, only 71% of the capacity
// served requests in time. The goal under overload is 95%.
func TestFloodKeepsGoodput(t *testing.T) {
	for _, offered := range []float64{2.5, 4} {
		load := &uploadLoad{utilization: map[string]float64{"a": offered, "b": offered, "c": offered, "d": offered, "e": offered}}
		load.run(t, 20*time.Second)
		assert.Assert(t, load.inTime*100 >= load.capacity(20*time.Second)*95, "at %v: %d of %d possible uploads in time", offered, load.inTime, load.capacity(20*time.Second))
	}
}

// A burst in one zone is served by all zones.
func TestBurstInOneZoneIsSpread(t *testing.T) {
	load := &uploadLoad{utilization: map[string]float64{"a": 2, "b": 0.5, "c": 0.5, "d": 0.5, "e": 0.5}}
	load.run(t, 20*time.Second)
	for _, zone := range zoneNames {
		assert.Assert(t, load.inTimeByZone[zone]*100 >= load.arrivedByZone[zone]*97, "%d of %d uploads of zone %s were in time", load.inTimeByZone[zone], load.arrivedByZone[zone], zone)
	}
}

// Uploads leave a zone that has had no free slot for a while, or whose only upstream
// is draining.
func TestUploadsLeaveAFullZone(t *testing.T) {
	clock := newFakeClock()
	list := upstreams(2, 1)
	list[0].Zone, list[1].Zone = "a", "b"
	testBroker := newBroker(clock, list)
	upload := newRequest(2)
	upload.BodyBytes, upload.Target = 60<<10, 2500*time.Millisecond
	first, _ := pollDecision(testBroker.Submit(upload))
	assert.Equal(t, first.Upstream.Zone, "a")
	waiter := testBroker.Submit(upload)
	clock.Advance(400 * time.Millisecond)
	testBroker.Redispatch()
	_, ok := pollDecision(waiter)
	assert.Assert(t, !ok, "the upload left its zone too early")
	clock.Advance(300 * time.Millisecond)
	testBroker.Redispatch()
	second, ok := pollDecision(waiter)
	assert.Assert(t, ok)
	assert.Equal(t, second.Upstream.Zone, "b")
	testBroker.Release(broker.Result{Ticket: second.Ticket, Outcome: broker.Served, Elapsed: 200 * time.Millisecond})

	list[0].Draining = true
	testBroker.SetUpstreams(list)
	third, ok := pollDecision(testBroker.Submit(upload))
	assert.Assert(t, ok && third.Upstream.Zone == "b", "the upload waits for a zone whose only upstream is draining")
}

// Small requests stay in their zone while it serves them in time, and leave it
// otherwise.
func TestSmallRequestsPreferTheirZone(t *testing.T) {
	clock := newFakeClock()
	list := upstreams(2, 1)
	list[0].Zone, list[1].Zone = "a", "b"
	testBroker := newBroker(clock, list)
	testBroker.SetExpectedServiceTime("u0", 1, 300*time.Millisecond)
	testBroker.SetExpectedServiceTime("u1", 1, 100*time.Millisecond)
	slow, _ := pollDecision(testBroker.Submit(newRequest(0)))
	assert.Equal(t, slow.Upstream.Zone, "a", "300 ms are within the target")
	full, _ := pollDecision(testBroker.Submit(newRequest(0)))
	assert.Equal(t, full.Upstream.Zone, "b", "the zone is full")
	for _, decision := range []broker.Decision{slow, full} {
		testBroker.Release(broker.Result{Ticket: decision.Ticket, Outcome: broker.Abandoned})
	}
	urgent := newRequest(0)
	urgent.Target = 500 * time.Millisecond
	fast, _ := pollDecision(testBroker.Submit(urgent))
	assert.Equal(t, fast.Upstream.Zone, "b", "a mean of 300 ms would often be too long for this one")
}
