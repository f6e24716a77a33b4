package broker_test

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminstream/cuminstream/pkg/broker"
	"github.com/cuminstream/cuminstream/pkg/budgeter"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// callers is a class of callers that send requests at a constant mean rate and repeat
// refused requests.
type callers struct {
	request   broker.Request
	perSecond float64
	mean      time.Duration               // service time
	key       func(random *rand.Rand) int // nil for no key
	// burst multiplies the rate during one second of every five; 0 for no change.
	burst float64
	// unrecognized is whether VMs take repeats for new requests.
	unrecognized bool
}

// load plays classes of callers against a broker, and upstreams that run as many requests
// at once as they have slots.
type load struct {
	broker  *broker.Broker
	slots   map[string]chan struct{} // by upstream
	refuses func(upstream string, elapsed time.Duration, random *rand.Rand) bool
	lasts   time.Duration
	began   time.Time
	mutex   sync.Mutex
	results []tally // by class
}

// tally counts what the callers of a class got.
type tally struct {
	offered, inTime, late int
	refusedOnce           int // refused for good although never refused before
	refusedAgain          int // refused for good after a repeat
	refusedLate           int // refusals after the request had waited more than an eighth of its target
}

func (tally tally) share(count int) float64 { return float64(count) / float64(max(tally.offered, 1)) }

const (
	playedRepeats  = 2    // times that a caller repeats a refused request
	playedAttempts = 2    // max-attempts
	playedSigma    = 0.55 // of the lognormal service times
)

func newLoad(list []broker.Upstream, owners broker.Owners) *load {
	created := &load{slots: map[string]chan struct{}{}}
	created.broker = &broker.Broker{Service: "s", Clock: clocker.System{}, Owners: owners, RetryBudget: budgeter.New(clocker.System{}, 10*time.Second, 0.2, 20)}
	random := rand.New(rand.NewPCG(1, 1))
	created.broker.Random = random.Float64 // called with the broker's mutex held
	created.broker.SetUpstreams(list)
	for _, upstream := range list {
		created.slots[upstream.ID] = make(chan struct{}, upstream.Slots)
	}
	return created
}

// play returns the tallies of the classes. It must run in a synctest bubble.
func (load *load) play(classes ...callers) []tally {
	load.began, load.results = time.Now(), make([]tally, len(classes))
	var group sync.WaitGroup
	for class, callers := range classes {
		group.Go(func() {
			random := rand.New(rand.NewPCG(uint64(class), 1))
			for number := uint64(0); time.Since(load.began) < load.lasts; number++ {
				rate := callers.perSecond
				if callers.burst > 0 && time.Since(load.began)%(5*time.Second) >= 4*time.Second {
					rate *= callers.burst
				}
				time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
				group.Go(func() { load.call(class, callers, rand.New(rand.NewPCG(uint64(class), number+2))) })
			}
		})
	}
	group.Wait()
	synctest.Wait()
	return load.results
}

// call sends one request of a caller, and its repeats.
func (load *load) call(class int, callers callers, random *rand.Rand) {
	arrived := time.Now()
	request := callers.request
	if callers.key != nil {
		request.Key = callers.key(random)
	}
	var counted tally
	counted.offered = 1
	for repeat := range playedRepeats + 1 {
		served, retryAfter, waited := load.offer(request, callers.mean, random)
		if waited > callers.request.Target/8 && !served {
			counted.refusedLate++
		}
		elapsed := time.Since(arrived)
		left := callers.request.Timeout - elapsed
		switch {
		case served && elapsed <= callers.request.Target:
			counted.inTime++
		case served:
			counted.late++
		case repeat == 0 && (retryAfter > left/3 || left <= 0):
			counted.refusedOnce++
		case repeat == playedRepeats || retryAfter > left/3 || left <= 0:
			counted.refusedAgain++
		default:
			time.Sleep(retryAfter + time.Millisecond)
			request.Timeout = callers.request.Timeout - time.Since(arrived)
			if !callers.unrecognized {
				request.Returned, request.Target = true, callers.request.Target-time.Since(arrived)
			}
			continue
		}
		break
	}
	load.mutex.Lock()
	defer load.mutex.Unlock()
	total := &load.results[class]
	total.offered += counted.offered
	total.inTime += counted.inTime
	total.late += counted.late
	total.refusedOnce += counted.refusedOnce
	total.refusedAgain += counted.refusedAgain
	total.refusedLate += counted.refusedLate
}

// offer sends a request once and its attempts, as a VM does. waited is the time in the
// broker's queue.
func (load *load) offer(request broker.Request, mean time.Duration, random *rand.Rand) (served bool, retryAfter, waited time.Duration) {
	began := time.Now()
	fresh := request
	for attempt := range playedAttempts {
		request.Retry = attempt > 0
		request.Target, request.Timeout = fresh.Target-time.Since(began), fresh.Timeout-time.Since(began)
		ctx, cancel := context.WithTimeout(context.Background(), max(request.Timeout, 0))
		decision := load.broker.Acquire(ctx, request)
		cancel()
		waited += decision.Waited
		if decision.Ticket == 0 {
			return false, decision.RetryAfter, waited
		}
		time.Sleep(time.Millisecond) // on the network
		if load.refuses != nil && load.refuses(decision.Upstream.ID, time.Since(load.began), random) {
			load.broker.Release(broker.Result{Ticket: decision.Ticket, Outcome: broker.Shed})
			continue
		}
		sent := time.Now()
		slot := load.slots[decision.Upstream.ID]
		slot <- struct{}{}
		time.Sleep(time.Duration(float64(mean) * math.Exp(playedSigma*random.NormFloat64()-playedSigma*playedSigma/2)))
		<-slot
		load.broker.Release(broker.Result{Ticket: decision.Ticket, Outcome: broker.Served, Elapsed: time.Since(sent)})
		return true, 0, waited
	}
	return false, broker.RefusedRetryAfter(fresh.Target-time.Since(began), random.Float64()), waited
}

// playUniform plays classes whose keys spread evenly over upstreams with 4 slots.
func playUniform(t *testing.T, count int, lasts time.Duration, refuses func(string, time.Duration, *rand.Rand) bool, classes ...callers) (results []tally) {
	synctest.Test(t, func(*testing.T) {
		played := newLoad(upstreams(count, 4), &countingOwners{upstreams: count})
		played.refuses, played.lasts = refuses, lasts
		results = played.play(classes...)
	})
	for class, result := range results {
		t.Logf("class %d: %+v, in time %.3f, late %.3f", class, result, result.share(result.inTime), result.share(result.late))
	}
	return results
}

// evenCallers returns callers with 40 keys for each upstream, all equally frequent.
func evenCallers(rank int, perSecond float64, mean, target, timeout time.Duration, upstreamCount int) callers {
	request := broker.Request{VM: "vm", Zone: "a", Rank: rank, Target: target, Timeout: timeout}
	return callers{request: request, perSecond: perSecond, mean: mean, key: func(random *rand.Rand) int { return random.IntN(upstreamCount * 40) }}
}
