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
func (dispatcher *Dispatcher) pump(upstream *upstream) {
	for dispatcher.tenure != nil && upstream.solo == nil && upstream.servable(dispatcher.Clock.Now()) {
		item, ok := upstream.queue.Next()
		if !ok {
			return
		}
		dispatcher.give(upstream, item.Value)
	}
}

// give starts a ticket whose slot the queue has counted as taken. A suspect
// waits until it is alone. A request that would be cut by its deadline is
// refused: it would take a slot for nothing, and the outcome of a
// non-idempotent one would be unknown. An idempotent one runs on an idle
// upstream, so that an expectation which has become too long is corrected.
func (dispatcher *Dispatcher) give(upstream *upstream, ticket *ticket) {
	if err := ticket.checkSuspect(); err != nil {
		ticket.queue.Done(ticket.request.Rank, -1)
		dispatcher.refuse(ticket, err)
		return
	}
	now := dispatcher.Clock.Now()
	left := ticket.request.Deadline.Sub(now)
	if left < upstream.speed.expected(ticket.request.Rank, now) && (upstream.taken() > 0 || !ticket.request.Idempotent) {
		ticket.queue.Done(ticket.request.Rank, -1)
		dispatcher.refuse(ticket, answerer.New(answerer.NotRunDeadline, "%v are left, which is too short to run the request", left))
		return
	}
	if owner, err := dispatcher.route(ticket); owner != upstream {
		ticket.queue.Done(ticket.request.Rank, -1)
		if err == nil {
			err = dispatcher.place(ticket)
		}
		if err != nil {
			dispatcher.refuse(ticket, err)
		}
		return
	}
	if ticket.losses() > 0 {
		upstream.solo = ticket
		if upstream.taken() > 0 {
			ticket.phase, ticket.started = solo, dispatcher.Clock.Now()
			return
		}
	}
	dispatcher.start(upstream, ticket)
}

func (dispatcher *Dispatcher) start(upstream *upstream, ticket *ticket) {
	dispatcher.ownership.start(ticket.request.Key, upstream.spec.Name)
	upstream.inFlight[ticket] = struct{}{}
	asserter.That(upstream.taken() <= upstream.spec.Slots || upstream.foreign() > 0, asserter.SlotsNotExceeded,
		"upstream %s has %d requests in %d slots", upstream.spec.Name, upstream.taken(), upstream.spec.Slots)
	if ticket.queue != upstream.queue {
		upstream.applySlots() // the policies changed while the suspect waited
	}
	ticket.spec = upstream.spec
	ticket.phase, ticket.started, ticket.sent = running, dispatcher.Clock.Now(), false
	ticket.answer(nil)
}

// taken is the number of slots in use.
func (upstream *upstream) taken() int { return len(upstream.inFlight) + len(upstream.inherited) }

// release frees the slot of a ticket. A negative service time is not counted.
func (dispatcher *Dispatcher) release(ticket *ticket, service time.Duration) {
	upstream := ticket.upstream
	ticket.queue.Done(ticket.request.Rank, service)
	if upstream.solo == ticket {
		upstream.solo = nil
	}
	if ticket.phase == running {
		delete(upstream.inFlight, ticket)
		ticket.cancel = nil
		dispatcher.keyEnded(ticket.request.Key)
	}
	upstream.applySlots()
	dispatcher.advanceSolo(upstream)
	dispatcher.pump(upstream)
	dispatcher.noteDrained(upstream)
}

// advanceSolo starts a suspect once it is alone.
func (dispatcher *Dispatcher) advanceSolo(upstream *upstream) {
	suspect := upstream.solo
	if suspect == nil || suspect.phase != solo || upstream.taken() > 0 || dispatcher.tenure == nil {
		return
	}
	if owner, err := dispatcher.route(suspect); owner != upstream {
		upstream.solo = nil
		suspect.queue.Done(suspect.request.Rank, -1)
		suspect.phase = queued
		if err == nil {
			err = dispatcher.place(suspect)
		}
		if err != nil {
			dispatcher.refuse(suspect, err)
		}
		return
	}
	dispatcher.start(upstream, suspect)
}

// keyEnded is called when a request of the key has ended. Requests of a key
// that moves wait for the last one.
func (dispatcher *Dispatcher) keyEnded(key string) {
	if dispatcher.ownership.end(key) && dispatcher.tenure != nil {
		dispatcher.unpark(func(ticket *ticket) bool { return ticket.request.Key == key })
	}
}

// reroute places the queued tickets of an upstream anew for which the function
// returns true.
func (dispatcher *Dispatcher) reroute(upstream *upstream, concerns func(*ticket) bool) {
	moved := upstream.queue.Remove(concerns)
	if suspect := upstream.solo; suspect != nil && suspect.phase == solo && concerns(suspect) {
		upstream.solo = nil
		suspect.queue.Done(suspect.request.Rank, -1)
		moved = append(moved, suspect)
	}
	for _, ticket := range moved {
		ticket.phase = queued
		if !ticket.request.Deadline.After(dispatcher.Clock.Now()) {
			continue // its own timer ends it
		}
		if err := dispatcher.place(ticket); err != nil {
			dispatcher.refuse(ticket, err)
		}
	}
}

// parkedInOrder returns the parked tickets, first the most urgent rank, then
// the longest wait.
func (dispatcher *Dispatcher) parkedInOrder() []*ticket {
	tickets := make([]*ticket, 0, len(dispatcher.parked))
	for ticket := range dispatcher.parked {
		tickets = append(tickets, ticket)
	}
	slices.SortFunc(tickets, func(a, b *ticket) int {
		return cmp.Or(cmp.Compare(a.request.Rank, b.request.Rank), a.parkedAt.Compare(b.parkedAt))
	})
	return tickets
}
