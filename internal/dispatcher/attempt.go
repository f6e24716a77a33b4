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

// copyTimeout limits the replication of an entry that no caller waits for.
const copyTimeout = time.Second

// headerDraining may be set on any response by an upstream that is draining.
const headerDraining = "Cuminstream-Draining"

// attempt sends a call that has a slot. It returns true if the call was queued
// again and has to wait for another slot.
func (dispatcher *Dispatcher) attempt(ctx context.Context, call *call) (*carrier.Response, bool, *answerer.Error) {
	if err := dispatcher.copyIntent(call); err != nil {
		dispatcher.finishAttempt(call, -1)
		return nil, false, dispatcher.withdraw(call, err)
	}
	sendCtx, cancel := dispatcher.sendContext(ctx, call)
	ownerUnchanged, refusal := dispatcher.prepareSend(call, cancel)
	if refusal == nil && !ownerUnchanged {
		cancel()
		return dispatcher.requeue(call, answerer.New(answerer.NotRunUnavailable, "the key changed its owner before the send"))
	}
	if refusal == nil {
		if _, ok := call.leaseTerm.lease.Valid(); !ok {
			refusal = answerer.New(answerer.NotRunUnavailable, "the lease of group %s expired before the send", dispatcher.Group)
		}
	}
	if refusal != nil {
		cancel()
		dispatcher.finishAttempt(call, -1)
		return nil, false, dispatcher.withdraw(call, refusal)
	}
	asserter.That(call.request.Idempotent || !call.mayHaveRun, asserter.AtMostOnce, "request %s may have run and is sent again", call.id)
	call.attempts++
	response, err := dispatcher.UpstreamClient.Send(sendCtx, call.spec, call.request, call.leaseTerm.term)
	if err == nil {
		return dispatcher.wrapResponse(call, response, cancel), false, nil
	}
	ctxErr := sendCtx.Err()
	cancel()
	return dispatcher.handleSendError(ctx, call, err, ctxErr)
}

// copyIntent replicates the intent to run a non-idempotent request to a
// majority.
func (dispatcher *Dispatcher) copyIntent(call *call) *answerer.Error {
	if call.request.Idempotent || call.intentCopied {
		return nil
	}
	call.intentCopied = true
	ctx, cancel := clocker.WithTimeout(call.leaseTerm.ctx, dispatcher.Clock, call.request.Deadline.Sub(dispatcher.Clock.Now()))
	defer cancel()
	if err := call.leaseTerm.lease.Replicate(ctx, replicator.Entries{Requests: []deduper.Entry{call.requestEntry}}); err != nil {
		copyFailures.WithLabelValues("intent").Inc()
		return answerer.New(dispatcher.refusalKind(call), "the intent did not reach a majority: %w", err)
	}
	return nil
}

// refusalKind returns the error kind with which the call's lease term ended, or
// NotRunUnavailable if the term has not ended.
func (dispatcher *Dispatcher) refusalKind(call *call) answerer.Kind {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if call.leaseTerm.endKind != "" {
		return call.leaseTerm.endKind
	}
	return answerer.NotRunUnavailable
}

// sendContext returns the context of the send. A non-idempotent request is not
// cancelled when its caller leaves, so that its outcome becomes known.
func (dispatcher *Dispatcher) sendContext(ctx context.Context, call *call) (context.Context, context.CancelFunc) {
	if !call.request.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	return clocker.WithTimeout(ctx, dispatcher.Clock, call.request.Deadline.Sub(dispatcher.Clock.Now()))
}

// prepareSend checks that the call may still be sent to its upstream, and marks
// it as sent. It returns false without an error if the call has to be routed
// again.
func (dispatcher *Dispatcher) prepareSend(call *call, cancel context.CancelFunc) (bool, *answerer.Error) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	now := dispatcher.Clock.Now()
	if dispatcher.leaseTerm != call.leaseTerm {
		return false, answerer.New(call.leaseTerm.endKind, "this VM does not hold group %s any more", dispatcher.Group)
	}
	if !call.request.Deadline.After(now) {
		return false, answerer.New(answerer.NotRunDeadline, "the deadline passed before the send")
	}
	if err := call.checkFingerprint(); err != nil {
		return false, err
	}
	if owner, err := dispatcher.route(call); err != nil || owner != call.upstream {
		return false, err
	}
	asserter.That(!call.upstream.draining() || now.Sub(call.upstream.drainSince) < drainSendBound, asserter.DrainedGetsNothing,
		"upstream %s has been draining since %v and gets request %s", call.upstream.spec.Name, call.upstream.drainSince, call.id)
	unit, _ := dispatcher.ownership.assignedOwner(call.request.Key, call.request.Shard)
	asserter.That(dispatcher.ownership.holders[unit] == call.upstream.spec.Name, asserter.SoleOwner,
		"request %s is sent to %s, which does not hold its key", call.id, call.upstream.spec.Name)
	call.sent, call.cancel = true, cancel
	return true, nil
}

// finishAttempt ends the call and releases its slot. A negative service time is
// not counted.
func (dispatcher *Dispatcher) finishAttempt(call *call, serviceTime time.Duration) {
	dispatcher.mutex.Lock()
	dispatcher.releaseSlot(call, serviceTime)
	call.phase = phaseEnded
	dispatcher.mutex.Unlock()
	dispatcher.replicateEnded(call)
}

// requeue queues a call again that was provably not started, if it has attempts
// left and its body can be sent again. Otherwise it ends the call with err.
func (dispatcher *Dispatcher) requeue(call *call, err *answerer.Error) (*carrier.Response, bool, *answerer.Error) {
	rewound := call.rewindBody()
	dispatcher.mutex.Lock()
	dispatcher.releaseSlot(call, -1)
	call.phase = phaseEnded
	switch {
	case dispatcher.leaseTerm != call.leaseTerm || call.attempts >= maxAttempts || !rewound:
	case !call.request.Deadline.After(dispatcher.Clock.Now()):
		err = answerer.New(answerer.NotRunDeadline, "the deadline passed before the request could be sent again")
	default:
		err = dispatcher.enqueue(call)
	}
	dispatcher.mutex.Unlock()
	if err != nil {
		dispatcher.replicateEnded(call)
		return nil, false, dispatcher.withdraw(call, err)
	}
	return nil, true, nil
}

// handleSendError decides how the call continues after a failed send. ctxErr is
// the error of the send's context, set if the send was cancelled here or its
// deadline had passed.
func (dispatcher *Dispatcher) handleSendError(ctx context.Context, call *call, err, ctxErr error) (*carrier.Response, bool, *answerer.Error) {
	var notStarted *NotStartedError
	if errors.As(err, &notStarted) {
		return dispatcher.handleNotStarted(call, notStarted, ctxErr)
	}
	call.mayHaveRun = true
	if !call.request.Idempotent {
		dispatcher.handleBrokenConnection(call, nil)
		dispatcher.recordOutcome(call, deduper.Unknown, 0)
		return nil, false, answerer.New(answerer.OutcomeUnknown, "%w", err)
	}
	if ctx.Err() != nil {
		dispatcher.handleBrokenConnection(call, nil)
		return nil, false, answerer.New(answerer.UpstreamFailed, "the caller has left")
	}
	return dispatcher.retry(ctx, call, answerer.New(answerer.UpstreamFailed, "%w", err))
}

// handleNotStarted handles a request that the upstream has provably not
// started.
func (dispatcher *Dispatcher) handleNotStarted(call *call, notStarted *NotStartedError, ctxErr error) (*carrier.Response, bool, *answerer.Error) {
	switch notStarted.Reason {
	case ReasonDial, ReasonFenced:
		if ctxErr == nil {
			dispatcher.suspendSends(call.upstream)
		}
		return dispatcher.requeue(call, answerer.New(answerer.NotRunUnavailable, "upstream %s: %w", call.spec.Name, notStarted))
	case ReasonShed:
		shed := answerer.New(answerer.NotRunShed, "upstream %s: %w", call.spec.Name, notStarted).WithRetryAfter(notStarted.RetryAfter)
		if !call.retried && dispatcher.takeRetry() {
			call.retried = true
			return dispatcher.requeue(call, shed)
		}
		dispatcher.finishAttempt(call, -1)
		return nil, false, dispatcher.withdraw(call, shed)
	}
	dispatcher.finishAttempt(call, -1)
	return nil, false, dispatcher.withdraw(call, answerer.New(answerer.Malformed, "%w", notStarted))
}

// takeRetry reports whether the budget allows a retry, and counts it.
func (dispatcher *Dispatcher) takeRetry() bool {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if !dispatcher.retryBudget.take() {
		return false
	}
	retries.Inc()
	return true
}

// suspendSends stops sending to the upstream until it confirms its grant again.
func (dispatcher *Dispatcher) suspendSends(upstream *upstream) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	upstream.validUntil = time.Time{}
	upstream.confirmedSeq = 0
	upstream.requestRenewal()
	dispatcher.reroute(upstream, func(*call) bool { return true })
}

// handleBrokenConnection ends a call whose connection broke, and keeps its
// fingerprint until it is known whether the upstream survived. The result is
// then sent to upstreamSurvived, unless that is nil.
func (dispatcher *Dispatcher) handleBrokenConnection(call *call, upstreamSurvived chan bool) {
	defer dispatcher.replicateEnded(call)
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	upstream := call.upstream
	if dispatcher.leaseTerm == call.leaseTerm && !call.upstreamLost && upstream.health != healthLost {
		upstream.connectionFailures = append(upstream.connectionFailures, &connectionFailure{call: call, at: dispatcher.Clock.Now(), upstreamSurvived: upstreamSurvived})
		upstream.requestRenewal()
	} else if upstreamSurvived != nil {
		upstreamSurvived <- false
	}
	dispatcher.releaseSlot(call, -1)
	call.phase = phaseEnded
}

// mayHaveCausedLoss reports whether an upstream was lost while it ran the call
// or another request with its fingerprint.
func (dispatcher *Dispatcher) mayHaveCausedLoss(call *call) bool {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return call.upstreamLost || call.lossCount() > 0
}

// retry queues an idempotent request again, at most once, if the upstream
// survived the first attempt and the budget allows it.
func (dispatcher *Dispatcher) retry(ctx context.Context, call *call, err *answerer.Error) (*carrier.Response, bool, *answerer.Error) {
	upstreamSurvived := make(chan bool, 1)
	dispatcher.handleBrokenConnection(call, upstreamSurvived)
	if call.retried || !call.rewindBody() {
		return nil, false, err
	}
	timer := dispatcher.Clock.NewTimer(call.request.Deadline.Sub(dispatcher.Clock.Now()))
	defer timer.Stop()
	select {
	case survived := <-upstreamSurvived:
		if !survived || dispatcher.mayHaveCausedLoss(call) {
			return nil, false, err
		}
	case <-ctx.Done():
		return nil, false, err
	case <-timer.C():
		return nil, false, err
	}
	if !dispatcher.takeRetry() {
		return nil, false, err
	}
	call.retried = true
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if dispatcher.leaseTerm != call.leaseTerm || dispatcher.enqueue(call) != nil {
		return nil, false, err
	}
	return nil, true, nil
}
