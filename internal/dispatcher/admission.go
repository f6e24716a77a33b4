package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/google/uuid"

	"github.com/cuminstream/cuminstream/internal/asserter"
	"github.com/cuminstream/cuminstream/internal/carrier"
	"github.com/cuminstream/cuminstream/internal/replicator"
	"github.com/cuminstream/cuminstream/pkg/answerer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/deduper"
	"github.com/cuminstream/cuminstream/pkg/queuer"
)

const (
	// maxParked bounds the requests that wait for an owner of their key. At
	// 2,900 requests/s and the loss of one of 15 upstreams for 1.5 s, about 290
	// wait.
	maxParked = 1024
	// clockDifference is the largest allowed difference between the clocks of
	// callers and VMs.
	clockDifference = 5 * time.Second
	// convicted losses of a fingerprint refuse it.
	convicted = 2
	// unavailableRetry is the time after which a key without an owner is
	// usually served again.
	unavailableRetry = time.Second
)

// Handle implements carrier.Handler.
func (dispatcher *Dispatcher) Handle(ctx context.Context, request *carrier.Request) (*carrier.Response, error) {
	response, err := dispatcher.handle(ctx, request)
	if err != nil {
		refusals.WithLabelValues(string(err.Kind), request.Rank.String()).Inc()
		return nil, err
	}
	served.WithLabelValues(request.Rank.String()).Inc()
	return response, nil
}

func (dispatcher *Dispatcher) handle(ctx context.Context, request *carrier.Request) (*carrier.Response, *answerer.Error) {
	ticket, err := dispatcher.admit(request)
	if err != nil {
		return nil, err
	}
	for {
		if err := dispatcher.await(ctx, ticket); err != nil {
			return nil, dispatcher.withdraw(ticket, err)
		}
		response, again, err := dispatcher.attempt(ctx, ticket)
		if again {
			continue
		}
		asserter.That(err == nil || !err.Kind.Response().NotRun || !ticket.mayHaveRun, asserter.NotRunIsTrue,
			"request %s may have run and is answered with %v", ticket.id, err)
		return response, err
	}
}

// admit checks the lease, the request ID and the fingerprint, and queues the
// request.
func (dispatcher *Dispatcher) admit(request *carrier.Request) (*ticket, *answerer.Error) {
	tenure := dispatcher.current()
	if tenure == nil {
		return nil, answerer.New(answerer.NotRunUnavailable, "this VM does not hold group %s", dispatcher.Group)
	}
	if _, ok := tenure.lease.Valid(); !ok {
		return nil, answerer.New(answerer.NotRunUnavailable, "the lease of group %s has expired", dispatcher.Group)
	}
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if dispatcher.tenure != tenure {
		return nil, answerer.New(answerer.NotRunUnavailable, "this VM does not hold group %s any more", dispatcher.Group)
	}
	ticket := dispatcher.newTicket(tenure, request)
	if !ticket.request.Deadline.After(dispatcher.Clock.Now()) {
		return nil, answerer.New(answerer.NotRunDeadline, "the deadline passed before the request arrived")
	}
	if err := ticket.checkSuspect(); err != nil {
		return nil, err
	}
	if err := dispatcher.checkRepeat(ticket); err != nil {
		return nil, err
	}
	if err := dispatcher.place(ticket); err != nil {
		if !request.Idempotent {
			tenure.requests.Finish(ticket.id, deduper.Withdrawn, 0)
		}
		return nil, err
	}
	return ticket, nil
}

func (dispatcher *Dispatcher) current() *tenure {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return dispatcher.tenure
}

func (dispatcher *Dispatcher) newTicket(tenure *tenure, request *carrier.Request) *ticket {
	own := *request
	own.Group = dispatcher.Group
	if own.Body != nil {
		if _, ok := own.Body.(io.Seeker); !ok {
			own.Body = &touchedBody{Reader: own.Body}
		}
	}
	if own.Deadline.IsZero() {
		own.Deadline = dispatcher.Clock.Now().Add(dispatcher.timeout())
	}
	id := request.ID
	if id == "" {
		dispatcher.generated++
		id = fmt.Sprintf("%s/%d/%d", dispatcher.Group, tenure.term, dispatcher.generated)
	}
	return &ticket{request: &own, tenure: tenure, id: id, ready: make(chan *answerer.Error, 1)}
}

// checkSuspect refuses a request whose fingerprint has taken two upstreams
// down.
func (ticket *ticket) checkSuspect() *answerer.Error {
	if losses := ticket.losses(); losses >= convicted {
		return answerer.New(answerer.SuspectRefused, "%d upstreams were lost while they ran this request", losses)
	}
	return nil
}

func (ticket *ticket) losses() int {
	if ticket.request.Fingerprint == 0 {
		return 0
	}
	return ticket.tenure.suspects.Losses(ticket.request.Fingerprint)
}

// checkRepeat refuses a non-idempotent request that may have run, and records
// the intent to run any other one.
func (dispatcher *Dispatcher) checkRepeat(ticket *ticket) *answerer.Error {
	if ticket.request.Idempotent {
		return nil
	}
	if ticket.request.ID == "" {
		return answerer.New(answerer.Malformed, "a non-idempotent request needs an ID")
	}
	entry, err := ticket.tenure.requests.Begin(ticket.id, ticket.tenure.term)
	ticket.entry = entry
	var inProgress *deduper.InProgressError
	var done *deduper.DoneError
	switch {
	case err == nil:
	case errors.As(err, &inProgress):
		return answerer.New(answerer.DuplicateInProgress, "%w", err)
	case errors.As(err, &done):
		return answerer.New(answerer.DuplicateDone, "%w", err)
	default:
		return answerer.New(answerer.OutcomeUnknown, "%w", err)
	}
	if ticket.tenure.mayHaveForgotten(ticket.id, dispatcher.Clock.Now()) {
		ticket.tenure.requests.Finish(ticket.id, deduper.Unknown, 0)
		return answerer.New(answerer.OutcomeUnknown, "group %s has lost its memory of request IDs; the request may be a repeat", dispatcher.Group)
	}
	return nil
}

// mayHaveForgotten reports whether the ID may belong to a request that ran
// before the group lost its memory. Only a UUIDv7 shows when it was issued.
func (tenure *tenure) mayHaveForgotten(id string, now time.Time) bool {
	if tenure.memoryLost.IsZero() || now.Sub(tenure.memoryLost) >= requestWindow+clockDifference {
		return false
	}
	parsed, err := uuid.Parse(id)
	if err != nil || parsed.Version() != 7 {
		return true
	}
	var millis int64
	for _, octet := range parsed[:6] {
		millis = millis<<8 | int64(octet)
	}
	return time.UnixMilli(millis).Before(tenure.memoryLost.Add(clockDifference))
}

// place queues the ticket at the owner of its key, parks it until there is one,
// or returns the refusal. The mutex must be held, as in all functions below
// except await and withdraw.
func (dispatcher *Dispatcher) place(placed *ticket) *answerer.Error {
	upstream, err := dispatcher.route(placed)
	if err != nil {
		return err
	}
	if upstream == nil {
		return dispatcher.park(placed)
	}
	item := queuer.Item[*ticket]{Value: placed, Rank: placed.request.Rank, Deadline: placed.request.Deadline}
	if err := upstream.queue.Offer(item); err != nil {
		return refusal(err)
	}
	placed.phase, placed.upstream, placed.queue = queued, upstream, upstream.queue
	dispatcher.pump(upstream)
	return nil
}

func refusal(err error) *answerer.Error {
	var refused *queuer.Refusal
	if !errors.As(err, &refused) {
		return answerer.New(answerer.Malformed, "%w", err)
	}
	if refused.Reason == queuer.DeadlinePassed {
		return answerer.New(answerer.NotRunDeadline, "%w", err)
	}
	return answerer.New(answerer.NotRunOverloaded, "%w", err).WithRetryAfter(refused.RetryAfter)
}

// route returns the upstream that may receive the request now, or nil when the
// request must wait for one.
func (dispatcher *Dispatcher) route(ticket *ticket) (*upstream, *answerer.Error) {
	request := ticket.request
	if !dispatcher.homed(request.Shard) {
		return nil, answerer.New(answerer.NotRunUnavailable, "shard %d is not homed at group %s", request.Shard, dispatcher.Group)
	}
	now := dispatcher.Clock.Now()
	place, name := dispatcher.ownership.target(request.Key, request.Shard)
	upstream := dispatcher.upstreams[name]
	switch {
	case upstream == nil || upstream.health == lost:
		return nil, dispatcher.hopeless()
	case upstream.closed(now):
		return nil, answerer.New(answerer.NotRunUnavailable, "upstream %s is leaving and no other one can take the key", name)
	case dispatcher.ownership.runsElsewhere(request.Key, name),
		!dispatcher.tenure.fenced, !upstream.servable(now), !upstream.serves(place),
		dispatcher.ownership.held[place] != name:
		return nil, nil
	}
	return upstream, nil
}

func (dispatcher *Dispatcher) homed(shard uint32) bool {
	if dispatcher.homes != nil {
		return dispatcher.homes[shard]
	}
	_, ok := dispatcher.ownership.assignment.Shards[shard]
	return ok
}

// hopeless returns a refusal when no upstream of the group can own a key.
func (dispatcher *Dispatcher) hopeless() *answerer.Error {
	for _, upstream := range dispatcher.upstreams {
		if upstream.available() {
			return nil
		}
	}
	return answerer.New(answerer.NotRunUnavailable, "no upstream of group %s can be reached", dispatcher.Group).WithRetryAfter(unavailableRetry)
}

func (dispatcher *Dispatcher) park(ticket *ticket) *answerer.Error {
	if len(dispatcher.parked) >= maxParked {
		return answerer.New(answerer.NotRunUnavailable, "too many requests wait for an owner of their key").WithRetryAfter(unavailableRetry)
	}
	ticket.phase, ticket.parkedAt = parked, dispatcher.Clock.Now()
	dispatcher.parked[ticket] = struct{}{}
	return nil
}

// unpark places the parked tickets for which the function returns true.
func (dispatcher *Dispatcher) unpark(concerns func(*ticket) bool) {
	now := dispatcher.Clock.Now()
	for _, ticket := range dispatcher.parkedInOrder() {
		if ticket.phase != parked || !concerns(ticket) {
			continue
		}
		upstream, err := dispatcher.route(ticket)
		if upstream == nil && err == nil {
			continue
		}
		delete(dispatcher.parked, ticket)
		unavailable.Add(now.Sub(ticket.parkedAt).Seconds())
		if err == nil {
			err = dispatcher.place(ticket)
		}
		if err != nil {
			dispatcher.refuse(ticket, err)
		}
	}
}

// await waits until the ticket has a slot or is refused.
func (dispatcher *Dispatcher) await(ctx context.Context, ticket *ticket) *answerer.Error {
	timer := dispatcher.Clock.NewTimer(ticket.request.Deadline.Sub(dispatcher.Clock.Now()))
	defer timer.Stop()
	select {
	case err := <-ticket.ready:
		return err
	case <-ctx.Done():
		return dispatcher.abandon(ticket, answerer.New(answerer.NotRunDeadline, "the caller has left"))
	case <-timer.C():
		return dispatcher.abandon(ticket, answerer.New(answerer.NotRunDeadline, "the deadline passed in the queue"))
	}
}

// abandon ends a ticket whose caller does not wait any more.
func (dispatcher *Dispatcher) abandon(abandoned *ticket, err *answerer.Error) *answerer.Error {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	switch abandoned.phase {
	case parked:
		delete(dispatcher.parked, abandoned)
		unavailable.Add(dispatcher.Clock.Now().Sub(abandoned.parkedAt).Seconds())
	case queued:
		abandoned.queue.Remove(func(other *ticket) bool { return other == abandoned })
	case solo, running:
		dispatcher.release(abandoned, -1)
	case ended:
		return <-abandoned.ready
	}
	abandoned.phase = ended
	return err
}

// refuse answers a ticket that has no slot.
func (dispatcher *Dispatcher) refuse(ticket *ticket, err *answerer.Error) {
	if ticket.phase == parked {
		delete(dispatcher.parked, ticket)
	}
	if ticket.phase == solo {
		dispatcher.release(ticket, -1)
	}
	ticket.phase = ended
	ticket.answer(err)
}

// withdraw ends a request whose last attempt was provably not started. Where an
// earlier attempt may have run, the answer does not claim otherwise.
func (dispatcher *Dispatcher) withdraw(ticket *ticket, err *answerer.Error) *answerer.Error {
	if ticket.mayHaveRun && err.Kind.Response().NotRun {
		return answerer.New(answerer.UpstreamFailed, "the first attempt failed, and the second one was not sent: %w", err)
	}
	if ticket.request.Idempotent {
		return err
	}
	entry, ok := ticket.tenure.requests.Finish(ticket.id, deduper.Withdrawn, 0)
	if ok && ticket.intent {
		dispatcher.passWithdrawal(ticket.tenure, entry)
	}
	return err
}

// passWithdrawal makes a withdrawal known. After a hand-over it waits until the
// present holder knows it: that one has the intent, and would answer the same
// request, which the router now sends to it, with "outcome unknown".
func (dispatcher *Dispatcher) passWithdrawal(tenure *tenure, entry deduper.Entry) {
	if dispatcher.current() == tenure {
		dispatcher.copyRequest(tenure, entry, "withdrawal")
		return
	}
	ctx, cancel := clocker.WithTimeout(context.WithoutCancel(tenure.ctx), dispatcher.Clock, copyTimeout)
	defer cancel()
	if err := dispatcher.pass(ctx, tenure, replicator.Entries{Requests: []deduper.Entry{entry}}); err != nil {
		copyFailures.WithLabelValues("withdrawal").Inc()
	}
}

// defaultTimeout applies where neither the request nor the service sets one.
const defaultTimeout = 30 * time.Second

func (dispatcher *Dispatcher) timeout() time.Duration {
	if timeout := time.Duration(dispatcher.service.Timeout); timeout > 0 {
		return timeout
	}
	return defaultTimeout
}
