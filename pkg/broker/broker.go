package broker

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cuminstream/cuminstream/pkg/budgeter"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/suspecter"
)

// Broker assigns the slots of one service. The exported fields are set before
// its first use. It is safe for concurrent use.
type Broker struct {
	Service string
	Clock   clocker.Clock
	// Owners tells who serves a key; nil for services without keys.
	Owners Owners
	// RetryBudget bounds repeats.
	RetryBudget *budgeter.Budget
	// Random returns a number in [0, 1). It spreads the callers' retries.
	Random func() float64

	mutex     sync.Mutex
	upstreams map[string]*upstream
	lines     map[string]*line // by owner; all requests without a key wait in one line
	count     int              // requests that wait
	tickets   map[uint64]*ticket
	paths     map[route]path
	last      uint64
	swept     time.Time
	offered   meter // seconds of work that arrive
	suspects  *suspecter.Table
	fast      keyMeter
	slow      keyMeter
	scratch   []*upstream // reused by open
	alone     alone
}

// ticket is the use of a slot.
type ticket struct {
	upstream *upstream
	vm       string
	zone     string // of the VM
	// fingerprint is that of the request.
	fingerprint uint64
	expires     time.Time
}

// Waiter is a request that waits for its decision.
type Waiter struct {
	Decision chan Decision // receives one decision

	ask     Request
	arrived time.Time
	queue   int       // requests that waited when it arrived
	owner   Ownership // of its key, at the last look
	line    *line     // nil while it does not wait
}

const (
	// ticketGrace is how long after a request's time limit its slot is taken as
	// free, when nobody reported the end.
	ticketGrace = time.Second
	// sweepInterval is the time between two searches for expired tickets.
	sweepInterval = 500 * time.Millisecond
)

func (broker *Broker) init() {
	if broker.upstreams == nil {
		broker.upstreams = map[string]*upstream{}
		broker.tickets = map[uint64]*ticket{}
		broker.paths = map[route]path{}
		broker.lines = map[string]*line{}
		broker.suspects = suspecter.New(broker.Clock, suspectWindow)
		broker.fast.halfLife, broker.slow.halfLife = fastHalfLife, slowHalfLife
		if broker.Random == nil {
			broker.Random = rand.Float64
		}
	}
}

// SetUpstreams replaces the list of upstreams that may get requests.
func (broker *Broker) SetUpstreams(list []Upstream) {
	broker.mutex.Lock()
	defer broker.mutex.Unlock()
	broker.init()
	now := broker.Clock.Now()
	known := make(map[string]*upstream, len(list))
	for _, info := range list {
		old := broker.upstreams[info.ID]
		if old != nil && old.StartedAt != info.StartedAt {
			broker.loseRuns(old, now)
		}
		if old == nil || old.StartedAt != info.StartedAt || old.Address != info.Address {
			old = newUpstream(info, broker.meanWork())
		}
		old.Upstream = info
		old.limit = broker.alone.limit(info)
		known[info.ID] = old
	}
	broker.upstreams = known
	broker.dispatchAll(now)
}

// SetRetryBudget replaces the budget of repeats.
func (broker *Broker) SetRetryBudget(budget *budgeter.Budget) {
	broker.mutex.Lock()
	defer broker.mutex.Unlock()
	broker.RetryBudget = budget
}

// Submit registers a request. Its decision arrives on the waiter's channel, at
// once when there is a free slot or the request is refused.
func (broker *Broker) Submit(ask Request) *Waiter {
	broker.mutex.Lock()
	defer broker.mutex.Unlock()
	broker.init()
	now := broker.Clock.Now()
	waiter := &Waiter{Decision: make(chan Decision, 1), ask: ask, arrived: now, queue: broker.count, owner: broker.owner(ask)}
	broker.measure(waiter, now)
	if refusal, refused := broker.admit(waiter, now); refused {
		waiter.Decision <- refusal
		return waiter
	}
	broker.join(waiter)
	broker.sweep(now)
	broker.dispatch(waiter.line, now)
	return waiter
}

// measure counts the request in the rates.
func (broker *Broker) measure(waiter *Waiter, now time.Time) {
	ask := waiter.ask
	if !ask.Retry && broker.RetryBudget != nil {
		broker.RetryBudget.CountRequest()
	}
	broker.offered.add(now, broker.meanWork())
	if broker.keyed(ask) {
		if upstream := broker.upstreams[waiter.owner.Upstream]; upstream != nil {
			upstream.offered.add(now, upstream.work)
		}
	}
	if ask.Key != NoKey {
		broker.fast.add(ask.Key, now)
		broker.slow.add(ask.Key, now)
	}
}

// Cancel withdraws a waiter. A slot that was assigned meanwhile is returned to
// the broker. It reports whether the waiter was still undecided.
func (broker *Broker) Cancel(waiter *Waiter) bool {
	broker.mutex.Lock()
	defer broker.mutex.Unlock()
	if waiter.line != nil {
		broker.leave(waiter)
		return true
	}
	select {
	case decision := <-waiter.Decision:
		broker.end(Result{Ticket: decision.Ticket, Outcome: Abandoned})
	default:
	}
	return false
}

// Release ends the use of a slot.
func (broker *Broker) Release(result Result) {
	broker.mutex.Lock()
	defer broker.mutex.Unlock()
	broker.end(result)
}

func (broker *Broker) end(result Result) {
	used := broker.tickets[result.Ticket]
	if used == nil {
		return
	}
	delete(broker.tickets, result.Ticket)
	now := broker.Clock.Now()
	used.upstream.tickets--
	used.upstream.note(used.vm, result, now)
	broker.noteRoute(used.zone, used.upstream, result.Outcome, now)
	broker.noteRun(used.upstream, used.fingerprint, result.Outcome, now)
	broker.sweep(now)
	if broker.Owners != nil {
		broker.dispatch(broker.lines[used.upstream.ID], now)
	}
	broker.dispatch(broker.lines[unowned], now)
}

// RecordResult records the result of a request of a VM whose slot another broker
// assigned.
func (broker *Broker) RecordResult(upstream, vm, zone string, result Result) {
	broker.mutex.Lock()
	defer broker.mutex.Unlock()
	if known := broker.upstreams[upstream]; known != nil {
		now := broker.Clock.Now()
		known.note(vm, result, now)
		broker.noteRoute(zone, known, result.Outcome, now)
	}
}

// SetForeignInFlight replaces what the VM has in flight beside the slots of this broker,
// as counts by upstream.
func (broker *Broker) SetForeignInFlight(vm string, foreign map[string]int) {
	broker.mutex.Lock()
	defer broker.mutex.Unlock()
	for id, upstream := range broker.upstreams {
		if count := foreign[id]; count > 0 {
			upstream.foreign[vm] = count
		} else {
			delete(upstream.foreign, vm)
		}
	}
	broker.dispatchAll(broker.Clock.Now())
}

// ReleaseVM frees the slots of a VM that is lost.
func (broker *Broker) ReleaseVM(vm string) {
	broker.mutex.Lock()
	defer broker.mutex.Unlock()
	for number, ticket := range broker.tickets {
		if ticket.vm == vm {
			delete(broker.tickets, number)
			ticket.upstream.tickets--
		}
	}
	for _, upstream := range broker.upstreams {
		delete(upstream.foreign, vm)
	}
	broker.dispatchAll(broker.Clock.Now())
}

// SlotsInUse returns the slots that this broker has assigned, by upstream.
func (broker *Broker) SlotsInUse() map[string]int {
	broker.mutex.Lock()
	defer broker.mutex.Unlock()
	counts := map[string]int{}
	for _, ticket := range broker.tickets {
		counts[ticket.upstream.ID]++
	}
	return counts
}

// Redispatch looks for requests that can run after owners have changed.
func (broker *Broker) Redispatch() {
	broker.mutex.Lock()
	defer broker.mutex.Unlock()
	broker.init()
	broker.dispatchAll(broker.Clock.Now())
}

// meanWork returns the mean seconds of one request over all upstreams.
func (broker *Broker) meanWork() float64 {
	sum, count := 0.0, 0
	for _, upstream := range broker.upstreams {
		if upstream.measured > 0 {
			sum += upstream.work
			count++
		}
	}
	if count == 0 {
		return initialWork.Seconds()
	}
	return sum / float64(count)
}

// sweep frees the slots of requests whose end nobody reported.
func (broker *Broker) sweep(now time.Time) {
	if now.Sub(broker.swept) < sweepInterval {
		return
	}
	broker.swept = now
	for number, ticket := range broker.tickets {
		if now.After(ticket.expires) {
			delete(broker.tickets, number)
			ticket.upstream.tickets--
		}
	}
}
