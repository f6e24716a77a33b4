package dispatcher

import (
	"context"
	"errors"
	"time"

	"github.com/cuminstream/cuminstream/internal/asserter"
	"github.com/cuminstream/cuminstream/internal/carrier"
	"github.com/cuminstream/cuminstream/internal/replicator"
	"github.com/cuminstream/cuminstream/pkg/answerer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/deduper"
)

// copyTimeout bounds the copy of an entry that nobody waits for.
const copyTimeout = time.Second

// headerDraining is set by an upstream that leaves, on any answer.
const headerDraining = "Cuminstream-Draining"

// attempt sends a ticket that has a slot. The second result asks for another
// turn: the ticket then waits for a slot again.
func (dispatcher *Dispatcher) attempt(ctx context.Context, ticket *ticket) (*carrier.Response, bool, *answerer.Error) {
	if err := dispatcher.copyIntent(ticket); err != nil {
		dispatcher.free(ticket, -1)
		return nil, false, dispatcher.withdraw(ticket, err)
	}
	sendContext, cancel := dispatcher.sendContext(ctx, ticket)
	ready, gone := dispatcher.clearToSend(ticket, cancel)
	if gone == nil && !ready {
		cancel()
		return dispatcher.again(ticket, answerer.New(answerer.NotRunUnavailable, "the key changed its owner before the send"))
	}
	if gone == nil {
		if _, ok := ticket.tenure.lease.Valid(); !ok {
			gone = answerer.New(answerer.NotRunUnavailable, "the lease of group %s expired before the send", dispatcher.Group)
		}
	}
	if gone != nil {
		cancel()
		dispatcher.free(ticket, -1)
		return nil, false, dispatcher.withdraw(ticket, gone)
	}
	asserter.That(ticket.request.Idempotent || !ticket.mayHaveRun, asserter.AtMostOnce, "request %s may have run and is sent again", ticket.id)
	ticket.attempts++
	response, err := dispatcher.UpstreamClient.Send(sendContext, ticket.spec, ticket.request, ticket.tenure.term)
	if err == nil {
		return dispatcher.answered(ticket, response, cancel), false, nil
	}
	given := sendContext.Err()
	cancel()
	return dispatcher.failed(ctx, ticket, err, given)
}

// copyIntent copies the intent to run a non-idempotent request to a majority.
func (dispatcher *Dispatcher) copyIntent(ticket *ticket) *answerer.Error {
	if ticket.request.Idempotent || ticket.intent {
		return nil
	}
	ticket.intent = true
	ctx, cancel := clocker.WithTimeout(ticket.tenure.ctx, dispatcher.Clock, ticket.request.Deadline.Sub(dispatcher.Clock.Now()))
	defer cancel()
	if err := ticket.tenure.lease.Replicate(ctx, replicator.Entries{Requests: []deduper.Entry{ticket.entry}}); err != nil {
		copyFailures.WithLabelValues("intent").Inc()
		return answerer.New(dispatcher.kindOf(ticket), "the intent did not reach a majority: %w", err)
	}
	return nil
}

// kindOf returns the kind of a refusal that may follow from the end of the
// ticket's tenure.
func (dispatcher *Dispatcher) kindOf(ticket *ticket) answerer.Kind {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if ticket.tenure.ended != "" {
		return ticket.tenure.ended
	}
	return answerer.NotRunUnavailable
}

// sendContext returns the context of the send. A non-idempotent request runs to
// its end even when its caller leaves, so that its outcome is known.
func (dispatcher *Dispatcher) sendContext(ctx context.Context, ticket *ticket) (context.Context, context.CancelFunc) {
	if !ticket.request.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	return clocker.WithTimeout(ctx, dispatcher.Clock, ticket.request.Deadline.Sub(dispatcher.Clock.Now()))
}

// clearToSend checks that the ticket may still be sent to its upstream, and
// marks it as sent. It returns false when the ticket must be placed anew.
func (dispatcher *Dispatcher) clearToSend(ticket *ticket, cancel context.CancelFunc) (bool, *answerer.Error) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	now := dispatcher.Clock.Now()
	if dispatcher.tenure != ticket.tenure {
		return false, answerer.New(ticket.tenure.ended, "this VM does not hold group %s any more", dispatcher.Group)
	}
	if !ticket.request.Deadline.After(now) {
		return false, answerer.New(answerer.NotRunDeadline, "the deadline passed before the send")
	}
	if err := ticket.checkSuspect(); err != nil {
		return false, err
	}
	if owner, err := dispatcher.route(ticket); err != nil || owner != ticket.upstream {
		return false, err
	}
	asserter.That(!ticket.upstream.draining() || now.Sub(ticket.upstream.drainSince) < drainPromise, asserter.DrainedGetsNothing,
		"upstream %s leaves since %v and gets request %s", ticket.upstream.spec.Name, ticket.upstream.drainSince, ticket.id)
	place, _ := dispatcher.ownership.target(ticket.request.Key, ticket.request.Shard)
	asserter.That(dispatcher.ownership.held[place] == ticket.upstream.spec.Name, asserter.SoleOwner,
		"request %s goes to %s, which does not hold its key", ticket.id, ticket.upstream.spec.Name)
	ticket.sent, ticket.cancel = true, cancel
	return true, nil
}

// free releases the ticket's slot.
func (dispatcher *Dispatcher) free(ticket *ticket, service time.Duration) {
	dispatcher.mutex.Lock()
	dispatcher.release(ticket, service)
	ticket.phase = ended
	dispatcher.mutex.Unlock()
	dispatcher.tellEnded(ticket)
}

// again places a ticket anew that was provably not started, as long as it has
// attempts left and its body can be sent again.
func (dispatcher *Dispatcher) again(ticket *ticket, err *answerer.Error) (*carrier.Response, bool, *answerer.Error) {
	rewound := ticket.rewind()
	dispatcher.mutex.Lock()
	dispatcher.release(ticket, -1)
	ticket.phase = ended
	switch {
	case dispatcher.tenure != ticket.tenure || ticket.attempts >= maxAttempts || !rewound:
	case !ticket.request.Deadline.After(dispatcher.Clock.Now()):
		err = answerer.New(answerer.NotRunDeadline, "the deadline passed before the request could be sent again")
	default:
		err = dispatcher.place(ticket)
	}
	dispatcher.mutex.Unlock()
	if err != nil {
		dispatcher.tellEnded(ticket)
		return nil, false, dispatcher.withdraw(ticket, err)
	}
	return nil, true, nil
}

// failed classifies the error of a send. given is the reason for which the
// holder itself gave the send up.
func (dispatcher *Dispatcher) failed(ctx context.Context, ticket *ticket, err, given error) (*carrier.Response, bool, *answerer.Error) {
	var unsent *NotStartedError
	if errors.As(err, &unsent) {
		return dispatcher.notSent(ticket, unsent, given)
	}
	ticket.mayHaveRun = true
	if !ticket.request.Idempotent {
		dispatcher.broke(ticket, nil)
		dispatcher.finishRequest(ticket, deduper.Unknown, 0)
		return nil, false, answerer.New(answerer.OutcomeUnknown, "%w", err)
	}
	if ctx.Err() != nil {
		dispatcher.broke(ticket, nil)
		return nil, false, answerer.New(answerer.UpstreamFailed, "the caller has left")
	}
	return dispatcher.retry(ctx, ticket, answerer.New(answerer.UpstreamFailed, "%w", err))
}

// notSent handles a request that the upstream has provably not started.
func (dispatcher *Dispatcher) notSent(ticket *ticket, unsent *NotStartedError, given error) (*carrier.Response, bool, *answerer.Error) {
	switch unsent.Reason {
	case ReasonDial, ReasonFenced:
		if given == nil {
			dispatcher.doubt(ticket.upstream)
		}
		return dispatcher.again(ticket, answerer.New(answerer.NotRunUnavailable, "upstream %s: %w", ticket.spec.Name, unsent))
	case ReasonShed:
		shed := answerer.New(answerer.NotRunShed, "upstream %s: %w", ticket.spec.Name, unsent).WithRetryAfter(unsent.RetryAfter)
		if !ticket.retried && dispatcher.mayRetry() {
			ticket.retried = true
			return dispatcher.again(ticket, shed)
		}
		dispatcher.free(ticket, -1)
		return nil, false, dispatcher.withdraw(ticket, shed)
	}
	dispatcher.free(ticket, -1)
	return nil, false, dispatcher.withdraw(ticket, answerer.New(answerer.Malformed, "%w", unsent))
}

func (dispatcher *Dispatcher) mayRetry() bool {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if !dispatcher.budget.take() {
		return false
	}
	retries.Inc()
	return true
}

// doubt stops the sends to an upstream until it confirms its grant again.
func (dispatcher *Dispatcher) doubt(upstream *upstream) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	upstream.validUntil = time.Time{}
	upstream.confirmedSeq = 0
	upstream.wake()
	dispatcher.reroute(upstream, func(*ticket) bool { return true })
}

// broke frees the slot of a request whose connection broke, and keeps its
// fingerprint until it is known whether the upstream survived.
func (dispatcher *Dispatcher) broke(ticket *ticket, verdict chan bool) {
	defer dispatcher.tellEnded(ticket)
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	upstream := ticket.upstream
	if dispatcher.tenure == ticket.tenure && !ticket.lost && upstream.health != lost {
		upstream.broken = append(upstream.broken, &breakage{ticket: ticket, at: dispatcher.Clock.Now(), verdict: verdict})
		upstream.wake()
	} else if verdict != nil {
		verdict <- false
	}
	dispatcher.release(ticket, -1)
	ticket.phase = ended
}

// suspected reports whether the ticket was in flight on a lost upstream.
func (dispatcher *Dispatcher) suspected(ticket *ticket) bool {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return ticket.lost || ticket.losses() > 0
}

// retry sends an idempotent request again, once, if the upstream has survived
// the first attempt and the budget allows it.
func (dispatcher *Dispatcher) retry(ctx context.Context, ticket *ticket, err *answerer.Error) (*carrier.Response, bool, *answerer.Error) {
	verdict := make(chan bool, 1)
	dispatcher.broke(ticket, verdict)
	if ticket.retried || !ticket.rewind() {
		return nil, false, err
	}
	timer := dispatcher.Clock.NewTimer(ticket.request.Deadline.Sub(dispatcher.Clock.Now()))
	defer timer.Stop()
	select {
	case survived := <-verdict:
		if !survived || dispatcher.suspected(ticket) {
			return nil, false, err
		}
	case <-ctx.Done():
		return nil, false, err
	case <-timer.C():
		return nil, false, err
	}
	if !dispatcher.mayRetry() {
		return nil, false, err
	}
	ticket.retried = true
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if dispatcher.tenure != ticket.tenure || dispatcher.place(ticket) != nil {
		return nil, false, err
	}
	return nil, true, nil
}
