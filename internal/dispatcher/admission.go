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
	// maxParked limits the requests that wait for an owner of their key. At
	// 2,900 requests/s, the loss of one of 15 upstreams for 1.5 s parks about
	// 290 requests.
	maxParked = 1024
	// maxClockSkew is the largest tolerated difference between the clocks of
	// callers and VMs.
	maxClockSkew = 5 * time.Second
	// lossesToRefuse is the number of lost upstreams at which requests with the
	// same fingerprint are refused.
	lossesToRefuse = 2
	// unavailableRetryAfter is the time within which a key without an owner
	// usually gets one.
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

// handle admits the request and attempts it until there is a response or a
// final error.
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
		asserter.That(err == nil || !err.Kind.Response().NotRun || !call.mayHaveRun, asserter.NotRunIsTrue,
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

// currentTerm returns the current lease term, or nil if this VM does not hold
// the group.
func (dispatcher *Dispatcher) currentTerm() *leaseTerm {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return dispatcher.leaseTerm
}

// newCall copies the request, sets its default deadline and generates an ID if
// it has none.
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

// checkFingerprint refuses the request if two upstreams were lost while they
// ran requests with its fingerprint.
func (call *call) checkFingerprint() *answerer.Error {
	if losses := call.lossCount(); losses >= lossesToRefuse {
		return answerer.New(answerer.SuspectRefused, "%d upstreams were lost while they ran this request", losses)
	}
	return nil
}

// lossCount returns the number of upstreams that were lost while they ran a
// request with the fingerprint.
func (call *call) lossCount() int {
	if call.request.Fingerprint == 0 {
		return 0
	}
	return call.leaseTerm.suspects.Losses(call.request.Fingerprint)
}

// checkDuplicate refuses a non-idempotent request that may already have run,
// and otherwise records the intent to run it.
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

// mayPredateStateLoss reports whether the ID may belong to a request that ran
// before the group lost its record of request IDs. Only a UUIDv7 contains the
// time at which it was issued.
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

// enqueue queues the call at the owner of its key, parks it until there is an
// owner, or returns the refusal. The caller must hold the mutex.
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

// queueRefusal converts an error of the queue to the refusal of the request.
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

// route returns the upstream that may receive the request now, or nil if the
// request must wait for one. The caller must hold the mutex.
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

// isHomeShard reports whether the group is the home of the shard. The caller
// must hold the mutex.
func (dispatcher *Dispatcher) isHomeShard(shard uint32) bool {
	if dispatcher.homeShards != nil {
		return dispatcher.homeShards[shard]
	}
	_, ok := dispatcher.ownership.assignment.Shards[shard]
	return ok
}

// noUpstreamError returns a refusal if no upstream of the group can own a key,
// and nil otherwise. The caller must hold the mutex.
func (dispatcher *Dispatcher) noUpstreamError() *answerer.Error {
	for _, upstream := range dispatcher.upstreams {
		if upstream.available() {
			return nil
		}
	}
	return answerer.New(answerer.NotRunUnavailable, "no upstream of group %s can be reached", dispatcher.Group).WithRetryAfter(unavailableRetryAfter)
}

// park keeps the call until its key has an owner. The caller must hold the
// mutex.
func (dispatcher *Dispatcher) park(call *call) *answerer.Error {
	if len(dispatcher.parked) >= maxParked {
		return answerer.New(answerer.NotRunUnavailable, "too many requests wait for an owner of their key").WithRetryAfter(unavailableRetryAfter)
	}
	call.phase, call.parkedAt = phaseParked, dispatcher.Clock.Now()
	dispatcher.parked[call] = struct{}{}
	return nil
}

// retryParked routes the parked calls for which affected returns true again.
// The caller must hold the mutex.
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

// awaitSlot waits until the call has a slot or is refused.
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

// abandon ends a call whose caller has left or whose deadline has passed.
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

// refuse ends a call that was not started, with the given error. The caller
// must hold the mutex.
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

// withdraw ends a call whose last attempt was provably not started. If an
// earlier attempt may have run, the returned error does not say that the
// request did not run.
func (dispatcher *Dispatcher) withdraw(call *call, err *answerer.Error) *answerer.Error {
	if call.mayHaveRun && err.Kind.Response().NotRun {
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

// replicateWithdrawal replicates the withdrawal of a request. After a handover
// it waits until the current holder has it: that holder knows the intent and
// would answer the same request, which the router now sends there, with
// "outcome unknown".
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

// defaultTimeout applies if neither the request nor the service sets a timeout.
const defaultTimeout = 30 * time.Second

// requestTimeout returns the timeout of requests without a deadline. The caller
// must hold the mutex.
func (dispatcher *Dispatcher) requestTimeout() time.Duration {
	if timeout := time.Duration(dispatcher.service.Timeout); timeout > 0 {
		return timeout
	}
	return defaultTimeout
}
