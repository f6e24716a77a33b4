package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/cuminstream/cuminstream/internal/asserter"
	"github.com/cuminstream/cuminstream/pkg/answerer"
)

// The caller of any function in this file must hold the mutex.

// startQueued starts queued calls while the upstream has free slots.
func (dispatcher *Dispatcher) startQueued(upstream *upstream) {
	for dispatcher.leaseTerm != nil && upstream.exclusive == nil && upstream.servable(dispatcher.Clock.Now()) {
		item, ok := upstream.queue.Next()
		if !ok {
			return
		}
		dispatcher.startOrRefuse(upstream, item.Value)
	}
}

// startOrRefuse starts a call that the queue has already given a slot. A
// suspect, which is a request whose fingerprint was in flight at a lost
// upstream, waits until no other request runs. A request that would probably
// exceed its deadline is refused: it would use a slot for nothing, and the
// outcome of a non-idempotent request would be unknown. An idempotent request
// is still started on an idle upstream, so that an expected service time that
// is too long is corrected.
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

// startCall marks the call as running and notifies its goroutine.
func (dispatcher *Dispatcher) startCall(upstream *upstream, call *call) {
	dispatcher.ownership.requestStarted(call.request.Key, upstream.spec.Name)
	upstream.inFlight[call] = struct{}{}
	asserter.That(upstream.usedSlots() <= upstream.spec.Slots || upstream.slotsOutsideQueue() > 0, asserter.SlotsNotExceeded,
		"upstream %s has %d requests in %d slots", upstream.spec.Name, upstream.usedSlots(), upstream.spec.Slots)
	if call.queue != upstream.queue {
		upstream.applySlots() // the policies changed while the suspect waited, and with them the queue
	}
	call.spec = upstream.spec
	call.phase, call.slotTakenAt, call.sent = phaseRunning, dispatcher.Clock.Now(), false
	call.notify(nil)
}

// usedSlots returns the number of slots in use.
func (upstream *upstream) usedSlots() int { return len(upstream.inFlight) + len(upstream.inherited) }

// releaseSlot frees the slot of a call. A negative service time is not counted.
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

// startExclusive starts the waiting suspect once no other request runs at the
// upstream.
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

// keyRequestEnded is called when a request of the key has ended. Requests of a
// key that moves to another upstream wait for the last one.
func (dispatcher *Dispatcher) keyRequestEnded(key string) {
	if dispatcher.ownership.requestEnded(key) && dispatcher.leaseTerm != nil {
		dispatcher.retryParked(func(call *call) bool { return call.request.Key == key })
	}
}

// reroute routes the queued calls of the upstream again for which affected
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
			continue // the timer of awaitSlot ends it
		}
		if err := dispatcher.enqueue(call); err != nil {
			dispatcher.refuse(call, err)
		}
	}
}

// sortedParked returns the parked calls by rank, the most urgent first, and
// then by waiting time, the longest first.
func (dispatcher *Dispatcher) sortedParked() []*call {
	calls := make([]*call, 0, len(dispatcher.parked))
	for call := range dispatcher.parked {
		calls = append(calls, call)
	}
	slices.SortFunc(calls, func(a, b *call) int {
		return cmp.Or(cmp.Compare(a.request.Rank, b.request.Rank), a.parkedAt.Compare(b.parkedAt))
	})
	return calls
}
