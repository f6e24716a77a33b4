package router

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/cuminstream/cuminstream/internal/carrier"
	"github.com/cuminstream/cuminstream/internal/linker"
	"github.com/cuminstream/cuminstream/pkg/answerer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// retryInterval is the wait between two passes over the candidates of a group that
// has no holder at the moment.
const retryInterval = 20 * time.Millisecond

// ErrStopping is the cause with which the contexts of requests are cancelled that are still
// in progress at the end of a shutdown.
var ErrStopping = errors.New("the VM stops before the request could end")

// routedRequest is a request that is sent to the candidates of its group in turn.
type routedRequest struct {
	router     *Router
	request    *carrier.Request
	body       *trackedBody
	vms        []string // the reachable candidates in the order of this pass
	next       int
	retryUntil time.Time
	// mayHaveRun is set once the request may have reached a holder that was
	// then lost. A later refusal does not prove that the request has not run.
	mayHaveRun bool
	retried    bool // an idempotent request was sent to another holder
}

// newRoutedRequest tracks whether the request's body is read.
func newRoutedRequest(router *Router, request *carrier.Request) *routedRequest {
	routed := &routedRequest{router: router, request: request, retryUntil: router.Clock.Now().Add(router.TakeoverTimeout)}
	if request.Body != nil {
		routed.body = &trackedBody{reader: request.Body}
		request.Body = routed.body
	}
	return routed
}

// tryNext sends the request to the next VM of the pass, and begins a new pass if
// necessary.
func (routed *routedRequest) tryNext(ctx context.Context) (*carrier.Response, error) {
	if routed.next == 0 {
		routed.vms = routed.reachableVMs()
	}
	if len(routed.vms) == 0 {
		return nil, answerer.New(answerer.NotRunUnavailable, "group %s: %w", routed.request.Group, errNoReachableCandidate)
	}
	vm := routed.vms[routed.next]
	routed.next++
	if vm == routed.router.VM {
		return routed.router.Local.Handle(ctx, routed.request)
	}
	if routed.replayable() {
		cancellable, remove := routed.router.forwarded.add(ctx, vm)
		defer remove()
		ctx = cancellable
	}
	return routed.router.Forwarder.Forward(ctx, vm, routed.request)
}

// replayable reports whether the body can be read again. A request with a streamed
// body is not cancelled when its VM is suspected, because the suspicion may be false.
func (routed *routedRequest) replayable() bool {
	if routed.body == nil {
		return true
	}
	_, ok := routed.body.reader.(io.Seeker)
	return ok
}

// reachableVMs returns the VMs to try, in order. VMs that may not be reachable are
// left out, but never this VM.
func (routed *routedRequest) reachableVMs() []string {
	candidates := routed.router.Locator.ForwardingOrder(routed.request.Group)
	reachable := make([]string, 0, len(candidates))
	for _, vm := range candidates {
		if vm == routed.router.VM || routed.router.Liveness.Reachable(vm) {
			reachable = append(reachable, vm)
		}
	}
	return reachable
}

// prepareRetry reports whether the request is sent again after the error. It rewinds
// the body and waits between two passes.
func (routed *routedRequest) prepareRetry(ctx context.Context, err *answerer.Error) bool {
	if !routed.mayTryNext(err) || ctx.Err() != nil || !routed.rewind() {
		return false
	}
	if routed.next < len(routed.vms) {
		return true
	}
	routed.next = 0
	if !routed.router.Clock.Now().Before(routed.retryUntil) {
		return false
	}
	return clocker.Sleep(ctx, routed.router.Clock, retryInterval) == nil
}

// mayTryNext reports whether the error allows another attempt.
func (routed *routedRequest) mayTryNext(err *answerer.Error) bool {
	switch {
	case errors.Is(err, errNoReachableCandidate):
		return routed.router.Locator.Candidates(routed.request.Group) == nil
	case err.Kind == answerer.NotRunUnavailable, err.Kind == answerer.NotRunStopping:
		return true
	case routed.mayHaveRun && err.Kind == answerer.DuplicateInProgress:
		// The first attempt of this request is still running. The holder reports
		// the outcome to a later attempt.
		return true
	case !errors.Is(err, linker.ErrLinkLost):
		return false
	}
	routed.mayHaveRun = true
	// The successor of the holder of a non-idempotent request knows whether it was sent
	// to an upstream. An attempt with the same ID cannot run the request twice.
	return !routed.request.Idempotent || routed.takeRetry()
}

// takeRetry allows an idempotent request one retry if the budget has one left.
func (routed *routedRequest) takeRetry() bool {
	if routed.retried || !routed.router.retries.take() {
		return false
	}
	routed.retried = true
	routed.router.Metrics.Retries.Inc()
	return true
}

// finalError returns the error to report to the caller, given the last one.
func (routed *routedRequest) finalError(ctx context.Context, err *answerer.Error) error {
	if routed.mayHaveRun && (err.Kind.Response().NotRun || err.Kind == answerer.DuplicateInProgress) {
		kind := answerer.OutcomeUnknown
		if routed.request.Idempotent {
			kind = answerer.UpstreamFailed
		}
		return answerer.New(kind, "the holder was lost after the request was passed to it: %w", err)
	}
	if errors.Is(context.Cause(ctx), ErrStopping) && err.Kind.Response().NotRun {
		return answerer.New(answerer.NotRunStopping, "%w: %w", ErrStopping, err)
	}
	if ctx.Err() != nil && (err.Kind == answerer.NotRunUnavailable || err.Kind == answerer.NotRunStopping) {
		return answerer.New(answerer.NotRunDeadline, "no holder answered before the deadline: %w", err)
	}
	return err
}

// rewind resets the body for another attempt. A streamed body can be sent again only
// if nothing of it was read.
func (routed *routedRequest) rewind() bool {
	if routed.body == nil || !routed.body.read {
		return true
	}
	return routed.body.rewind()
}

// trackedBody records whether the body was read.
type trackedBody struct {
	reader io.Reader
	read   bool
}

func (body *trackedBody) Read(buffer []byte) (int, error) {
	body.read = true
	return body.reader.Read(buffer)
}

func (body *trackedBody) rewind() bool {
	seeker, ok := body.reader.(io.Seeker)
	if !ok {
		return false
	}
	_, err := seeker.Seek(0, io.SeekStart)
	body.read = err != nil
	return err == nil
}
