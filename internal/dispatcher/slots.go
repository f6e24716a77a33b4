package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/cuminstream/cuminstream/internal/asserter"
	"github.com/cuminstream/cuminstream/pkg/answerer"
)

// The functions of this file must be called with the mutex held.

// pump gives the free slots of the upstream to waiting requests.
func (dispatcher *Dispatcher) startQueued(upstream *upstream) {
	for dispatcher.leaseTerm != nil && upstream.exclusive == nil && upstream.servable(dispatcher.Clock.Now()) {
		item, ok := upstream.queue.Next()
		if !ok {
			return
		}
		dispatcher.startOrRefuse(upstream, item.Value)
	}
}

// give starts a ticket whose slot the queue has counted as taken. A suspect
// waits until it is alone. A request that would be cut by its deadline is
// refused: it would take a slot for nothing, and the outcome of a
// non-idempotent one would be unknown. An idempotent one runs on an idle
// upstream, so that an expectation which has become too long is corrected.
func (dispatcher *Dispatcher) startOrRefuse(upstream *upstream, call *call) {
	if err := call.checkFingerprint(); err != nil {
		call.queue.Done(call.request.Rank, -1)
		dispatcher.refuse(call, err)
		return
	}
	now := dispatcher.Clock.Now()
	remaining := call.request.Deadline.Sub(now)
	if remaining < upstream.serviceTimes.expected(call.request.Rank, now) && (upstream.usedSlots() > 0 || !call.request.Idempotent) {
		call.queue.Done(call.request.Rank, -1)
		dispatcher.refuse(call, answerer.New(answerer.NotRunDeadline, "%v are left, which is too short to run the request", remaining))
		return
	}
	if owner, err := dispatcher.route(call); owner != upstream {
		call.queue.Done(call.request.Rank, -1)
		if err == nil {
			err = dispatcher.enqueue(call)
		}
		if err != nil {
			dispatcher.refuse(call, err)
		}
		return
	}
	if call.lossCount() > 0 {
		upstream.exclusive = call
		if upstream.usedSlots() > 0 {
			call.phase, call.slotTakenAt = phaseAwaitingExclusive, dispatcher.Clock.Now()
			return
		}
	}
	dispatcher.startCall(upstream, call)
}

func (dispatcher *Dispatcher) startCall(upstream *upstream, call *call) {
	dispatcher.ownership.requestStarted(call.request.Key, upstream.spec.Name)
	upstream.inFlight[call] = struct{}{}
	asserter.That(upstream.usedSlots() <= upstream.spec.Slots || upstream.slotsOutsideQueue() > 0, asserter.SlotsNotExceeded,
		"upstream %s has %d requests in %d slots", upstream.spec.Name, upstream.usedSlots(), upstream.spec.Slots)
	if call.queue != upstream.queue {
		upstream.applySlots() // the policies changed while the suspect waited
	}
	call.spec = upstream.spec
	call.phase, call.slotTakenAt, call.sent = phaseRunning, dispatcher.Clock.Now(), false
	call.notify(nil)
}

// taken is the number of slots in use.
func (upstream *upstream) usedSlots() int { return len(upstream.inFlight) + len(upstream.inherited) }

// release frees the slot of a ticket. A negative service time is not counted.
func (dispatcher *Dispatcher) releaseSlot(call *call, serviceTime time.Duration) {
	upstream := call.upstream
	call.queue.Done(call.request.Rank, serviceTime)
	if upstream.exclusive == call {
		upstream.exclusive = nil
	}
	if call.phase == phaseRunning {
		delete(upstream.inFlight, call)
		call.cancel = nil
		dispatcher.keyRequestEnded(call.request.Key)
	}
	upstream.applySlots()
	dispatcher.startExclusive(upstream)
	dispatcher.startQueued(upstream)
	dispatcher.finishDrain(upstream)
}

// advanceSolo starts a suspect once it is alone.
func (dispatcher *Dispatcher) startExclusive(upstream *upstream) {
	suspect := upstream.exclusive
	if suspect == nil || suspect.phase != phaseAwaitingExclusive || upstream.usedSlots() > 0 || dispatcher.leaseTerm == nil {
		return
	}
	if owner, err := dispatcher.route(suspect); owner != upstream {
		upstream.exclusive = nil
		suspect.queue.Done(suspect.request.Rank, -1)
		suspect.phase = phaseQueued
		if err == nil {
			err = dispatcher.enqueue(suspect)
		}
		if err != nil {
			dispatcher.refuse(suspect, err)
		}
		return
	}
	dispatcher.startCall(upstream, suspect)
}

// keyEnded is called when a request of the key has ended. Requests of a key
// that moves wait for the last one.
func (dispatcher *Dispatcher) keyRequestEnded(key string) {
	if dispatcher.ownership.requestEnded(key) && dispatcher.leaseTerm != nil {
		dispatcher.retryParked(func(call *call) bool { return call.request.Key == key })
	}
}

// reroute places the queued tickets of an upstream anew for which the function
// returns true.
func (dispatcher *Dispatcher) reroute(upstream *upstream, affected func(*call) bool) {
	moved := upstream.queue.Remove(affected)
	if suspect := upstream.exclusive; suspect != nil && suspect.phase == phaseAwaitingExclusive && affected(suspect) {
		upstream.exclusive = nil
		suspect.queue.Done(suspect.request.Rank, -1)
		moved = append(moved, suspect)
	}
	for _, call := range moved {
		call.phase = phaseQueued
		if !call.request.Deadline.After(dispatcher.Clock.Now()) {
			continue // its own timer ends it
		}
		if err := dispatcher.enqueue(call); err != nil {
			dispatcher.refuse(call, err)
		}
	}
}

// parkedInOrder returns the parked tickets, first the most urgent rank, then
// the longest wait.
func (dispatcher *Dispatcher) sortedParked() []*call {
	tickets := make([]*call, 0, len(dispatcher.parked))
	for call := range dispatcher.parked {
		tickets = append(tickets, call)
	}
	slices.SortFunc(tickets, func(a, b *call) int {
		return cmp.Or(cmp.Compare(a.request.Rank, b.request.Rank), a.parkedAt.Compare(b.parkedAt))
	})
	return tickets
}
