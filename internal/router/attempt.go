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

// retryPause is the wait between two rounds over the candidates of a group that
// has no holder at the moment.
const retryPause = 20 * time.Millisecond

// attempt is one request on its way through the candidates of its group.
type attempt struct {
	router  *Router
	request *carrier.Request
	body    *trackedBody
	order   []string
	next    int
	giveUp  time.Time
	// sentUnknown is set once the request may have reached a holder that was
	// then lost. A refusal after that is not a proof that nothing ran.
	sentUnknown bool
	retried     bool
}

func newAttempt(router *Router, request *carrier.Request) *attempt {
	attempt := &attempt{router: router, request: request, giveUp: router.Clock.Now().Add(router.TakeoverTimeout)}
	if request.Body != nil {
		attempt.body = &trackedBody{reader: request.Body}
		request.Body = attempt.body
	}
	return attempt
}

// once sends the request to the next VM in the order.
func (attempt *attempt) once(ctx context.Context) (*carrier.Response, error) {
	if attempt.next == 0 {
		attempt.order = attempt.reachable()
	}
	if len(attempt.order) == 0 {
		return nil, answerer.New(answerer.NotRunUnavailable, "group %s: %w", attempt.request.Group, errNoCandidate)
	}
	vm := attempt.order[attempt.next]
	attempt.next++
	if vm == attempt.router.VM {
		return attempt.router.Local.Handle(ctx, attempt.request)
	}
	if attempt.repeatable() {
		child, arrived := attempt.router.waiting.add(ctx, vm)
		defer arrived()
		ctx = child
	}
	return attempt.router.Forwarder.Forward(ctx, vm, attempt.request)
}

// repeatable reports whether the body can be read again. A streamed body is not
// given up on a suspicion, which may be false.
func (attempt *attempt) repeatable() bool {
	if attempt.body == nil {
		return true
	}
	_, ok := attempt.body.reader.(io.Seeker)
	return ok
}

// reachable returns the order of VMs to try. The reported holder is tried even
// while it is suspected, unless every candidate is.
func (attempt *attempt) reachable() []string {
	order := attempt.router.Locator.ForwardingOrder(attempt.request.Group)
	alive := make([]string, 0, len(order))
	for _, vm := range order {
		if vm == attempt.router.VM || attempt.router.Liveness.Reachable(vm) {
			alive = append(alive, vm)
		}
	}
	return alive
}

// again decides whether the request is sent once more after the error, and
// waits between rounds.
func (attempt *attempt) again(ctx context.Context, err *answerer.Error) bool {
	if !attempt.allowed(err) || ctx.Err() != nil || !attempt.rewind() {
		return false
	}
	if attempt.next < len(attempt.order) {
		return true
	}
	attempt.next = 0
	if !attempt.router.Clock.Now().Before(attempt.giveUp) {
		return false
	}
	return clocker.Sleep(ctx, attempt.router.Clock, retryPause) == nil
}

func (attempt *attempt) allowed(err *answerer.Error) bool {
	switch {
	case errors.Is(err, errNoCandidate):
		return attempt.router.Locator.Candidates(attempt.request.Group) == nil
	case err.Kind == answerer.NotRunUnavailable, err.Kind == answerer.NotRunStopping:
		return true
	case attempt.sentUnknown && err.Kind == answerer.DuplicateInProgress:
		// The first copy of this request is still running; its outcome follows.
		return true
	case !errors.Is(err, linker.ErrLinkLost):
		return false
	case !attempt.request.Idempotent:
		// The holder's successor knows whether the request was sent; asking it
		// with the same ID can never run the request twice.
		attempt.sentUnknown = true
		return true
	default:
		return attempt.mayRetry()
	}
}

// mayRetry allows an idempotent request one retry within the budget.
func (attempt *attempt) mayRetry() bool {
	if attempt.retried || !attempt.router.retries.spend() {
		return false
	}
	attempt.retried = true
	attempt.router.Metrics.Retries.Inc()
	return true
}

// final turns the last error into the answer for the caller.
func (attempt *attempt) final(ctx context.Context, err *answerer.Error) error {
	if attempt.sentUnknown && (err.Kind.Response().NotRun || err.Kind == answerer.DuplicateInProgress) {
		return answerer.New(answerer.OutcomeUnknown, "the holder was lost after the request was passed to it: %w", err)
	}
	if ctx.Err() != nil && (err.Kind == answerer.NotRunUnavailable || err.Kind == answerer.NotRunStopping) {
		return answerer.New(answerer.NotRunDeadline, "no holder answered before the deadline: %w", err)
	}
	return err
}

// rewind prepares the body for another attempt. A streamed body can be sent
// again only if nothing of it was read.
func (attempt *attempt) rewind() bool {
	if attempt.body == nil || !attempt.body.read {
		return true
	}
	return attempt.body.rewind()
}

// trackedBody notes whether the body was read.
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
