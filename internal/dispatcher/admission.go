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
	maxClockSkew = 5 * time.Second
	// convicted losses of a fingerprint refuse it.
	lossesToRefuse = 2
	// unavailableRetry is the time after which a key without an owner is
	// usually served again.
	unavailableRetryAfter = time.Second
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
	call, err := dispatcher.admit(request)
	if err != nil {
		return nil, err
	}
	for {
		if err := dispatcher.awaitSlot(ctx, call); err != nil {
			return nil, dispatcher.withdraw(call, err)
		}
		response, again, err := dispatcher.attempt(ctx, call)
		if again {
			continue
		}
		asserter.That(err == nil || !err.Kind.Answer().NotRun || !call.mayHaveRun, asserter.NotRunIsTrue,
			"request %s may have run and is answered with %v", call.id, err)
		return response, err
	}
}

// admit checks the lease, the request ID and the fingerprint, and queues the
// request.
func (dispatcher *Dispatcher) admit(request *carrier.Request) (*call, *answerer.Error) {
	leaseTerm := dispatcher.currentTerm()
	if leaseTerm == nil {
		return nil, answerer.New(answerer.NotRunUnavailable, "this VM does not hold group %s", dispatcher.Group)
	}
	if _, ok := leaseTerm.lease.Valid(); !ok {
		return nil, answerer.New(answerer.NotRunUnavailable, "the lease of group %s has expired", dispatcher.Group)
	}
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if dispatcher.leaseTerm != leaseTerm {
		return nil, answerer.New(answerer.NotRunUnavailable, "this VM does not hold group %s any more", dispatcher.Group)
	}
	call := dispatcher.newCall(leaseTerm, request)
	if !call.request.Deadline.After(dispatcher.Clock.Now()) {
		return nil, answerer.New(answerer.NotRunDeadline, "the deadline passed before the request arrived")
	}
	if err := call.checkFingerprint(); err != nil {
		return nil, err
	}
	if err := dispatcher.checkDuplicate(call); err != nil {
		return nil, err
	}
	if err := dispatcher.enqueue(call); err != nil {
		if !request.Idempotent {
			leaseTerm.requestIDs.Finish(call.id, deduper.Withdrawn, 0)
		}
		return nil, err
	}
	return call, nil
}

func (dispatcher *Dispatcher) currentTerm() *leaseTerm {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return dispatcher.leaseTerm
}

func (dispatcher *Dispatcher) newCall(leaseTerm *leaseTerm, request *carrier.Request) *call {
	requestCopy := *request
	requestCopy.Group = dispatcher.Group
	if requestCopy.Body != nil {
		if _, ok := requestCopy.Body.(io.Seeker); !ok {
			requestCopy.Body = &singleReadBody{Reader: requestCopy.Body}
		}
	}
	if requestCopy.Deadline.IsZero() {
		requestCopy.Deadline = dispatcher.Clock.Now().Add(dispatcher.requestTimeout())
	}
	id := request.ID
	if id == "" {
		dispatcher.generatedIDs++
		id = fmt.Sprintf("%s/%d/%d", dispatcher.Group, leaseTerm.term, dispatcher.generatedIDs)
	}
	return &call{request: &requestCopy, leaseTerm: leaseTerm, id: id, slotReady: make(chan *answerer.Error, 1)}
}

// checkSuspect refuses a request whose fingerprint has taken two upstreams
// down.
func (call *call) checkFingerprint() *answerer.Error {
	if losses := call.lossCount(); losses >= lossesToRefuse {
		return answerer.New(answerer.SuspectRefused, "%d upstreams were lost while they ran this request", losses)
	}
	return nil
}

func (call *call) lossCount() int {
	if call.request.Fingerprint == 0 {
		return 0
	}
	return call.leaseTerm.suspects.Losses(call.request.Fingerprint)
}

// checkRepeat refuses a non-idempotent request that may have run, and records
// the intent to run any other one.
func (dispatcher *Dispatcher) checkDuplicate(call *call) *answerer.Error {
	if call.request.Idempotent {
		return nil
	}
	if call.request.ID == "" {
		return answerer.New(answerer.Malformed, "a non-idempotent request needs an ID")
	}
	entry, err := call.leaseTerm.requestIDs.Begin(call.id, call.leaseTerm.term)
	call.requestEntry = entry
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
	if call.leaseTerm.mayPredateStateLoss(call.id, dispatcher.Clock.Now()) {
		call.leaseTerm.requestIDs.Finish(call.id, deduper.Unknown, 0)
		return answerer.New(answerer.OutcomeUnknown, "group %s has lost its memory of request IDs; the request may be a repeat", dispatcher.Group)
	}
	return nil
}

// mayHaveForgotten reports whether the ID may belong to a request that ran
// before the group lost its memory. Only a UUIDv7 shows when it was issued.
func (leaseTerm *leaseTerm) mayPredateStateLoss(id string, now time.Time) bool {
	if leaseTerm.stateLostAt.IsZero() || now.Sub(leaseTerm.stateLostAt) >= requestWindow+maxClockSkew {
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
	return time.UnixMilli(millis).Before(leaseTerm.stateLostAt.Add(maxClockSkew))
}

// place queues the ticket at the owner of its key, parks it until there is one,
// or returns the refusal. The mutex must be held, as in all functions below
// except await and withdraw.
func (dispatcher *Dispatcher) enqueue(admitted *call) *answerer.Error {
	upstream, err := dispatcher.route(admitted)
	if err != nil {
		return err
	}
	if upstream == nil {
		return dispatcher.park(admitted)
	}
	item := queuer.Item[*call]{Value: admitted, Rank: admitted.request.Rank, Deadline: admitted.request.Deadline}
	if err := upstream.queue.Offer(item); err != nil {
		return queueRefusal(err)
	}
	admitted.phase, admitted.upstream, admitted.queue = phaseQueued, upstream, upstream.queue
	dispatcher.startQueued(upstream)
	return nil
}

func queueRefusal(err error) *answerer.Error {
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
func (dispatcher *Dispatcher) route(call *call) (*upstream, *answerer.Error) {
	request := call.request
	if !dispatcher.isHomeShard(request.Shard) {
		return nil, answerer.New(answerer.NotRunUnavailable, "shard %d is not homed at group %s", request.Shard, dispatcher.Group)
	}
	now := dispatcher.Clock.Now()
	unit, name := dispatcher.ownership.assignedOwner(request.Key, request.Shard)
	upstream := dispatcher.upstreams[name]
	switch {
	case upstream == nil || upstream.health == healthLost:
		return nil, dispatcher.noUpstreamError()
	case upstream.closedForDrain(now):
		return nil, answerer.New(answerer.NotRunUnavailable, "upstream %s is leaving and no other one can take the key", name)
	case dispatcher.ownership.runsElsewhere(request.Key, name),
		!dispatcher.leaseTerm.fenced, !upstream.servable(now), !upstream.grantCovers(unit),
		dispatcher.ownership.holders[unit] != name:
		return nil, nil
	}
	return upstream, nil
}

func (dispatcher *Dispatcher) isHomeShard(shard uint32) bool {
	if dispatcher.homeShards != nil {
		return dispatcher.homeShards[shard]
	}
	_, ok := dispatcher.ownership.assignment.Shards[shard]
	return ok
}

// hopeless returns a refusal when no upstream of the group can own a key.
func (dispatcher *Dispatcher) noUpstreamError() *answerer.Error {
	for _, upstream := range dispatcher.upstreams {
		if upstream.available() {
			return nil
		}
	}
	return answerer.New(answerer.NotRunUnavailable, "no upstream of group %s can be reached", dispatcher.Group).WithRetryAfter(unavailableRetryAfter)
}

func (dispatcher *Dispatcher) park(call *call) *answerer.Error {
	if len(dispatcher.parked) >= maxParked {
		return answerer.New(answerer.NotRunUnavailable, "too many requests wait for an owner of their key").WithRetryAfter(unavailableRetryAfter)
	}
	call.phase, call.parkedAt = phaseParked, dispatcher.Clock.Now()
	dispatcher.parked[call] = struct{}{}
	return nil
}

// unpark places the parked tickets for which the function returns true.
func (dispatcher *Dispatcher) retryParked(affected func(*call) bool) {
	now := dispatcher.Clock.Now()
	for _, call := range dispatcher.sortedParked() {
		if call.phase != phaseParked || !affected(call) {
			continue
		}
		upstream, err := dispatcher.route(call)
		if upstream == nil && err == nil {
			continue
		}
		delete(dispatcher.parked, call)
		keyUnavailable.Add(now.Sub(call.parkedAt).Seconds())
		if err == nil {
			err = dispatcher.enqueue(call)
		}
		if err != nil {
			dispatcher.refuse(call, err)
		}
	}
}

// await waits until the ticket has a slot or is refused.
func (dispatcher *Dispatcher) awaitSlot(ctx context.Context, call *call) *answerer.Error {
	timer := dispatcher.Clock.NewTimer(call.request.Deadline.Sub(dispatcher.Clock.Now()))
	defer timer.Stop()
	select {
	case err := <-call.slotReady:
		return err
	case <-ctx.Done():
		return dispatcher.abandon(call, answerer.New(answerer.NotRunDeadline, "the caller has left"))
	case <-timer.C():
		return dispatcher.abandon(call, answerer.New(answerer.NotRunDeadline, "the deadline passed in the queue"))
	}
}

// abandon ends a ticket whose caller does not wait any more.
func (dispatcher *Dispatcher) abandon(abandoned *call, err *answerer.Error) *answerer.Error {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	switch abandoned.phase {
	case phaseParked:
		delete(dispatcher.parked, abandoned)
		keyUnavailable.Add(dispatcher.Clock.Now().Sub(abandoned.parkedAt).Seconds())
	case phaseQueued:
		abandoned.queue.Remove(func(other *call) bool { return other == abandoned })
	case phaseAwaitingExclusive, phaseRunning:
		dispatcher.releaseSlot(abandoned, -1)
	case phaseEnded:
		return <-abandoned.slotReady
	}
	abandoned.phase = phaseEnded
	return err
}

// refuse answers a ticket that has no slot.
func (dispatcher *Dispatcher) refuse(call *call, err *answerer.Error) {
	if call.phase == phaseParked {
		delete(dispatcher.parked, call)
	}
	if call.phase == phaseAwaitingExclusive {
		dispatcher.releaseSlot(call, -1)
	}
	call.phase = phaseEnded
	call.notify(err)
}

// withdraw ends a request whose last attempt was provably not started. Where an
// earlier attempt may have run, the answer does not claim otherwise.
func (dispatcher *Dispatcher) withdraw(call *call, err *answerer.Error) *answerer.Error {
	if call.mayHaveRun && err.Kind.Answer().NotRun {
		return answerer.New(answerer.UpstreamFailed, "the first attempt failed, and the second one was not sent: %w", err)
	}
	if call.request.Idempotent {
		return err
	}
	entry, ok := call.leaseTerm.requestIDs.Finish(call.id, deduper.Withdrawn, 0)
	if ok && call.intentCopied {
		dispatcher.replicateWithdrawal(call.leaseTerm, entry)
	}
	return err
}

// passWithdrawal makes a withdrawal known. After a hand-over it waits until the
// present holder knows it: that one has the intent, and would answer the same
// request, which the router now sends to it, with "outcome unknown".
func (dispatcher *Dispatcher) replicateWithdrawal(leaseTerm *leaseTerm, entry deduper.Entry) {
	if dispatcher.currentTerm() == leaseTerm {
		dispatcher.copyRequestAsync(leaseTerm, entry, "withdrawal")
		return
	}
	ctx, cancel := clocker.WithTimeout(context.WithoutCancel(leaseTerm.ctx), dispatcher.Clock, copyTimeout)
	defer cancel()
	if err := dispatcher.replicate(ctx, leaseTerm, replicator.Entries{Requests: []deduper.Entry{entry}}); err != nil {
		copyFailures.WithLabelValues("withdrawal").Inc()
	}
}

// defaultTimeout applies where neither the request nor the service sets one.
const defaultTimeout = 30 * time.Second

func (dispatcher *Dispatcher) requestTimeout() time.Duration {
	if timeout := time.Duration(dispatcher.service.Timeout); timeout > 0 {
		return timeout
	}
	return defaultTimeout
}
