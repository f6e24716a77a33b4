package dispatcher

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/cuminstream/cuminstream/internal/carrier"
	"github.com/cuminstream/cuminstream/internal/replicator"
	"github.com/cuminstream/cuminstream/pkg/answerer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/deduper"
	"github.com/cuminstream/cuminstream/pkg/suspecter"
)

// wrapResponse returns the upstream's response with a body whose end releases
// the slot of the call.
func (dispatcher *Dispatcher) wrapResponse(call *call, response *carrier.Response, cancel context.CancelFunc) *carrier.Response {
	if response.Header.Get(headerDraining) != "" {
		response.Header.Del(headerDraining)
		dispatcher.handleDrainHeader(call.upstream)
	}
	wrapped := *response
	wrapped.Body = &responseBody{
		dispatcher: dispatcher, call: call, body: response.Body, cancel: cancel,
		status: response.Status, remaining: response.ContentLength,
		serviceTime: dispatcher.Clock.Now().Sub(call.slotTakenAt),
	}
	return &wrapped
}

// responseBody is the body of an upstream's response. It ends the call when the
// body ends, breaks or is closed.
type responseBody struct {
	dispatcher  *Dispatcher
	call        *call
	body        io.ReadCloser
	cancel      context.CancelFunc
	status      int
	remaining   int64         // bytes until the end, negative if unknown
	serviceTime time.Duration // until the header of the response
	once        sync.Once
}

// Read reads the body. If the body ends early, the error has the kind CutBody.
func (body *responseBody) Read(buffer []byte) (int, error) {
	count, err := body.body.Read(buffer)
	if body.remaining > 0 {
		body.remaining -= int64(count)
	}
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		body.finishOnce(func() { body.dispatcher.complete(body.call, body.status, body.serviceTime) })
	default:
		body.finishOnce(func() { body.dispatcher.handleTruncated(body.call) })
		err = truncationError(err)
	}
	return count, err
}

// truncationError returns err as an error of kind CutBody.
func truncationError(err error) error {
	var known *answerer.Error
	if errors.As(err, &known) && known.Kind == answerer.CutBody {
		return err
	}
	return answerer.New(answerer.CutBody, "the answer ended early: %w", err)
}

// Close closes the body. The caller may have left before its end.
func (body *responseBody) Close() error {
	body.finishOnce(func() {
		if body.remaining == 0 {
			body.dispatcher.complete(body.call, body.status, body.serviceTime)
			return
		}
		body.dispatcher.recordOutcome(body.call, deduper.Done, body.status)
		body.dispatcher.finishAttempt(body.call, -1)
	})
	return body.body.Close()
}

// finishOnce calls the function that ends the call, unless the call has ended.
func (body *responseBody) finishOnce(function func()) {
	body.once.Do(func() {
		function()
		body.cancel()
	})
}

// complete ends a call whose response was read to its end.
func (dispatcher *Dispatcher) complete(call *call, status int, serviceTime time.Duration) {
	dispatcher.recordOutcome(call, deduper.Done, status)
	defer dispatcher.replicateEnded(call)
	if entry, ok := call.leaseTerm.suspects.Clear(call.request.Fingerprint); ok {
		dispatcher.copyAsync(call.leaseTerm, replicator.Entries{Suspects: []suspecter.Entry{entry}}, "suspect")
	}
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	upstream := call.upstream
	slotTime := dispatcher.Clock.Now().Sub(call.slotTakenAt)
	if dispatcher.leaseTerm == call.leaseTerm {
		dispatcher.retryBudget.addSuccess()
		dispatcher.loads.add(call.request.Key, call.request.Shard, slotTime.Seconds()*upstream.relativeSpeed)
		if serviceTimeComparable(call.request) {
			upstream.serviceTimes.add(call.request.Rank, serviceTime, dispatcher.Clock.Now())
		}
	}
	dispatcher.releaseSlot(call, slotTime)
	call.phase = phaseEnded
}

// maxMeasuredBody is the largest request body with which the service time
// depends more on the upstream than on the caller's connection.
const maxMeasuredBody = 64 << 10

// serviceTimeComparable reports whether the service time of the request shows
// the speed of the upstream.
func serviceTimeComparable(request *carrier.Request) bool {
	return request.Body == nil || request.ContentLength >= 0 && request.ContentLength <= maxMeasuredBody
}

// handleTruncated ends a call whose response ended early.
func (dispatcher *Dispatcher) handleTruncated(call *call) {
	dispatcher.recordOutcome(call, deduper.Unknown, 0)
	dispatcher.handleBrokenConnection(call, nil)
}

// replicateEnded informs the next holder that a request which was still in
// flight at the handover has ended.
func (dispatcher *Dispatcher) replicateEnded(call *call) {
	if call.sent && dispatcher.currentTerm() != call.leaseTerm {
		dispatcher.copyAsync(call.leaseTerm, replicator.Entries{Ended: []string{call.id}}, "ended")
	}
}

// recordOutcome records and replicates the outcome of a non-idempotent request.
func (dispatcher *Dispatcher) recordOutcome(call *call, status deduper.Status, httpStatus int) {
	if call.request.Idempotent {
		return
	}
	if entry, ok := call.leaseTerm.requestIDs.Finish(call.id, status, httpStatus); ok {
		dispatcher.copyRequestAsync(call.leaseTerm, entry, "outcome")
	}
}

// copyRequestAsync replicates the entry of a request without waiting for the
// result.
func (dispatcher *Dispatcher) copyRequestAsync(leaseTerm *leaseTerm, entry deduper.Entry, content string) {
	dispatcher.copyAsync(leaseTerm, replicator.Entries{Requests: []deduper.Entry{entry}}, content)
}

// replicate copies the entries to a majority during the lease term, and sends
// them to the current holder after the term has ended.
func (dispatcher *Dispatcher) replicate(ctx context.Context, leaseTerm *leaseTerm, entries replicator.Entries) error {
	switch current := dispatcher.currentTerm(); {
	case current == leaseTerm:
		return leaseTerm.lease.Replicate(ctx, entries)
	case current != nil:
		return dispatcher.MergeOutcomes(ctx, entries)
	case dispatcher.ReportOutcomes != nil:
		return dispatcher.ReportOutcomes(ctx, entries)
	}
	return leaseTerm.lease.Replicate(ctx, entries)
}

// copyAsync replicates entries without waiting for the result.
func (dispatcher *Dispatcher) copyAsync(leaseTerm *leaseTerm, entries replicator.Entries, content string) {
	dispatcher.spawn(func() {
		ctx, cancel := clocker.WithTimeout(context.WithoutCancel(leaseTerm.ctx), dispatcher.Clock, copyTimeout)
		defer cancel()
		if err := dispatcher.replicate(ctx, leaseTerm, entries); err != nil {
			copyFailures.WithLabelValues(content).Inc()
		}
	})
}
