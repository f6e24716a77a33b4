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
	// Owners looks up the owner of a key; nil for services without keys.
	Owners Owners
	// RetryBudget bounds retries; nil for no bound.
	RetryBudget *budgeter.Budget
	// Random returns a number in [0, 1), for the jitter of RetryAfter.
	Random func() float64

	mutex         sync.Mutex
	upstreams     map[string]*upstreamState
	queues        map[string]*queue // by owner; all requests without a key wait in the queue of noOwner
	waitingCount  int               // requests in all queues
	tickets       map[uint64]*ticket
	paths         map[zonePair]pathState
	lastTicket    uint64
	lastSweep     time.Time
	offeredLoad   rateMeter // seconds of service time that arrive
	refusals      refusalMeter
	classes       classLoads         // of requests without a key
	spread        float64            // of service times: square of their coefficient of variation
	ratios        map[int]classRatio // by urgency
	lastWaiter    uint64
	returned      rateMeter // requests that callers send again
	crashSuspects *suspecter.Table
	fastKeyRates  keyRateMeter
	slowKeyRates  keyRateMeter
	candidates    []*upstreamState // buffer of availableUpstreams, reused to save allocations
	localMode     localMode
	warmup        warmup
	evacuated     int // number of upstreams in evacuated zones
	model         speedModel
}

// ticket is the use of a slot by a request.
type ticket struct {
	upstream *upstreamState
	vm       string
	zone     string // of the VM
	// fingerprint of the request
	fingerprint uint64
	expiresAt   time.Time
	class       *classLoad
	returned    bool
}

// Waiter is a submitted request and the channel that receives its decision.
type Waiter struct {
	Decision chan Decision // receives one decision

	request     Request
	arrivedAt   time.Time
	queueLength int       // requests that waited when this one arrived
	owner       Ownership // of its key, when last looked up
	queue       *queue    // nil while it does not wait
	class       *classLoad

	// These order the requests of a queue, see compareWaiters.
	sequence uint64
	urgency  int
	round    int
	// overloaded is whether more load was offered than could be served when it arrived, or
	// when it became overdue.
	overloaded bool
	overdue    bool // it most likely misses its target even if it gets a slot now
	late       bool // it is overdue, and all others go first
}

const (
	// ticketGrace is how long after a request's deadline its slot is freed when no
	// VM has reported the end.
	ticketGrace = time.Second
	// sweepInterval is the least time between two searches for expired tickets.
	sweepInterval = 500 * time.Millisecond
)

func (broker *Broker) init() {
	if broker.upstreams == nil {
		broker.upstreams = map[string]*upstreamState{}
		broker.tickets = map[uint64]*ticket{}
		broker.paths = map[zonePair]pathState{}
		broker.queues = map[string]*queue{}
		broker.model = speedModel{clock: broker.Clock, slowness: 1, coldSlowness: initialColdSlowness}
		broker.crashSuspects = suspecter.New(broker.Clock, crashSuspectWindow)
		broker.spread, broker.ratios = initialSpread, map[int]classRatio{}
		broker.fastKeyRates.halfLife, broker.slowKeyRates.halfLife = fastHalfLife, slowHalfLife
		if broker.Random == nil {
			broker.Random = rand.Float64
		}
	}
}

// SetUpstreams replaces the list of upstreams. An upstream that has restarted or
// changed its address starts with fresh statistics.
func (broker *Broker) SetUpstreams(list []Upstream) {
	broker.mutex.Lock()
	defer broker.mutex.Unlock()
	broker.init()
	now := broker.Clock.Now()
	upstreams := make(map[string]*upstreamState, len(list))
	broker.evacuated = 0
	for _, info := range list {
		state := broker.upstreams[info.ID]
		appeared := state == nil || state.StartedAt != info.StartedAt || (state.Draining && !info.Draining) || (state.Evacuated && !info.Evacuated)
		if state != nil && state.StartedAt != info.StartedAt {
			broker.recordUpstreamLoss(state, now)
		}
		if state == nil || state.StartedAt != info.StartedAt || state.Address != info.Address {
			former := state
			state = newUpstreamState(info, &broker.model, &broker.refusals, broker.meanServiceTime(), broker.meanNormalTime())
			if !appeared {
				state.coldUntil, state.sent, state.evacuatedAt = former.coldUntil, former.sent, former.evacuatedAt
			}
		}
		broker.markCold(state, info, appeared, now)
		switch {
		case !info.Evacuated:
			state.evacuatedAt = time.Time{}
		case state.evacuatedAt.IsZero():
			state.evacuatedAt = now
		}
		if info.Evacuated {
			broker.evacuated++
		}
		state.Upstream = info
		if state.limitedSlots != info.Slots { // a limit costs time, and lists change often
			broker.localMode.limit(state)
		}
		upstreams[info.ID] = state
	}
	broker.upstreams, broker.warmup.listed = upstreams, broker.warmup.listed || len(list) > 0
	broker.dispatchAll(now)
}

// SetRetryBudget replaces the retry budget.
func (broker *Broker) SetRetryBudget(budget *budgeter.Budget) {
	broker.mutex.Lock()
	defer broker.mutex.Unlock()
	broker.RetryBudget = budget
}

// Submit adds a request to the queue. Its decision arrives on the waiter's
// channel, at once when there is a free slot or the request is refused.
func (broker *Broker) Submit(request Request) *Waiter {
	broker.mutex.Lock()
	defer broker.mutex.Unlock()
	broker.init()
	now := broker.Clock.Now()
	broker.lastWaiter++
	waiter := &Waiter{
		Decision: make(chan Decision, 1), request: request, arrivedAt: now, queueLength: broker.waitingCount, owner: broker.owner(request),
		sequence: broker.lastWaiter, urgency: request.urgency(),
	}
	broker.recordArrival(waiter, now)
	if refusal, refused := broker.admit(waiter, now); refused {
		refusal.Refusal = broker.refineReason(waiter, refusal.Refusal, now)
		waiter.Decision <- refusal
		return waiter
	}
	broker.enqueue(waiter)
	broker.expireTickets(now)
	broker.dispatch(waiter.queue, now)
	return waiter
}

// recordArrival counts the request in the retry budget, the offered load and the
// rates of keys.
func (broker *Broker) recordArrival(waiter *Waiter, now time.Time) {
	request := waiter.request
	if !request.Retry && broker.RetryBudget != nil {
		broker.RetryBudget.CountRequest()
	}
	waiter.class = broker.classLoads(waiter).class(waiter.urgency)
	if request.Returned {
		broker.returned.add(now, 1)
	} else { // a returned request was counted when it came first
		serviceTime := broker.meanServiceTime()
		broker.offeredLoad.add(now, serviceTime)
		if upstream := broker.upstreams[waiter.owner.Upstream]; upstream != nil {
			serviceTime = upstream.serviceTime
			upstream.offeredLoad.add(now, serviceTime)
		}
		waiter.class.offered.add(now, serviceTime*broker.ratio(waiter.urgency))
	}
	if request.Key != NoKey {
		broker.fastKeyRates.add(request.Key, now)
		broker.slowKeyRates.add(request.Key, now)
	}
}

// Cancel removes a waiting request from its queue. A slot that was assigned
// meanwhile is freed. Cancel reports whether the request was still waiting.
func (broker *Broker) Cancel(waiter *Waiter) bool {
	broker.mutex.Lock()
	defer broker.mutex.Unlock()
	if waiter.queue != nil {
		broker.dequeue(waiter)
		return true
	}
	select {
	case decision := <-waiter.Decision:
		broker.release(Result{Ticket: decision.Ticket, Outcome: Abandoned})
	default:
	}
	return false
}

// Release ends the use of a slot and assigns the freed slot to a waiting request.
func (broker *Broker) Release(result Result) {
	broker.mutex.Lock()
	defer broker.mutex.Unlock()
	broker.release(result)
}

// release ends the use of a slot. The caller holds the mutex.
func (broker *Broker) release(result Result) {
	ticket := broker.tickets[result.Ticket]
	if ticket == nil {
		return
	}
	delete(broker.tickets, result.Ticket)
	now := broker.Clock.Now()
	ticket.upstream.assigned--
	ticket.upstream.recordResult(ticket.vm, result, now)
	switch result.Outcome {
	case Shed:
		if !ticket.returned {
			broker.discountRefused(ticket, now)
		}
	case Served:
		broker.recordServiceTime(ticket, result.Elapsed)
	default:
	}
	broker.recordPathResult(ticket.zone, ticket.upstream, result.Outcome, now)
	broker.trackCrashSuspects(ticket.upstream, ticket.fingerprint, result.Outcome, now)
	broker.expireTickets(now)
	if result.BusyFor > 0 {
		broker.refuseBusy(ticket.vm, now)
	}
	if broker.Owners != nil {
		broker.dispatch(broker.queues[ticket.upstream.ID], now)
	}
	broker.dispatch(broker.queues[noOwner], now)
}

// RecordResult records the result of a request whose slot another broker assigned
// to the VM in the zone.
func (broker *Broker) RecordResult(upstream, vm, zone string, result Result) {
	broker.mutex.Lock()
	defer broker.mutex.Unlock()
	if state := broker.upstreams[upstream]; state != nil {
		now := broker.Clock.Now()
		state.recordResult(vm, result, now)
		broker.recordPathResult(zone, state, result.Outcome, now)
	}
}

// SetForeignInFlight replaces the counts, by upstream, of the VM's requests in
// flight whose slots other brokers assigned.
func (broker *Broker) SetForeignInFlight(vm string, counts map[string]int) {
	broker.mutex.Lock()
	defer broker.mutex.Unlock()
	for id, upstream := range broker.upstreams {
		if count := counts[id]; count > 0 {
			upstream.foreign[vm] = count
		} else {
			delete(upstream.foreign, vm)
		}
	}
	broker.dispatchAll(broker.Clock.Now())
}

// ReleaseVM frees all slots in use by a lost VM.
func (broker *Broker) ReleaseVM(vm string) {
	broker.mutex.Lock()
	defer broker.mutex.Unlock()
	for id, ticket := range broker.tickets {
		if ticket.vm == vm {
			delete(broker.tickets, id)
			ticket.upstream.assigned--
		}
	}
	for _, upstream := range broker.upstreams {
		delete(upstream.foreign, vm)
	}
	broker.dispatchAll(broker.Clock.Now())
}

// SlotsInUse counts the slots that this broker has assigned, by upstream.
func (broker *Broker) SlotsInUse() map[string]int {
	broker.mutex.Lock()
	defer broker.mutex.Unlock()
	counts := map[string]int{}
	for _, ticket := range broker.tickets {
		counts[ticket.upstream.ID]++
	}
	return counts
}

// Redispatch assigns free slots after owners of keys have changed or time has
// passed.
func (broker *Broker) Redispatch() {
	broker.mutex.Lock()
	defer broker.mutex.Unlock()
	broker.init()
	broker.dispatchAll(broker.Clock.Now())
}

// meanServiceTime returns the mean service time in seconds over all upstreams
// with measurements.
func (broker *Broker) meanServiceTime() float64 {
	sum, count := 0.0, 0
	for _, upstream := range broker.upstreams {
		if upstream.samples > 0 {
			sum += upstream.serviceTime
			count++
		}
	}
	if count == 0 {
		return initialServiceTime.Seconds()
	}
	return sum / float64(count)
}

// expireTickets frees, once per sweepInterval, the slots of requests whose end no VM
// has reported within ticketGrace after their deadline.
func (broker *Broker) expireTickets(now time.Time) {
	if now.Sub(broker.lastSweep) < sweepInterval {
		return
	}
	broker.lastSweep = now
	for id, ticket := range broker.tickets {
		if now.After(ticket.expiresAt) {
			delete(broker.tickets, id)
			ticket.upstream.assigned--
		}
	}
}
