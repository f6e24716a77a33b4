package courier

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cuminstream/cuminstream/internal/fronter"
	"github.com/cuminstream/cuminstream/internal/sender"
	"github.com/cuminstream/cuminstream/pkg/broker"
)

// attempt acquires a slot and sends the request once. It returns nil if the request
// is to be tried again.
func (exchange *exchange) attempt(ctx context.Context) *fronter.Response {
	if exchange.endsAfterStop() {
		return exchange.answerStopping()
	}
	slot, stopped := exchange.acquireSlot(ctx)
	exchange.logSlot(slot)
	if stopped {
		return exchange.answerStopping()
	}
	if slot.Refusal != "" {
		return exchange.answerRefusal(ctx, slot)
	}
	answer := exchange.reserveExpected()
	if exchange.endsAfterStop() {
		answer = exchange.answerStopping()
	}
	if answer != nil {
		exchange.Allocator.Release(exchange.service.Name, slot, broker.Result{Ticket: slot.Ticket, Outcome: broker.Abandoned})
		return answer
	}
	sent := exchange.Clock.Now()
	response, err := exchange.send(ctx, slot.Upstream)
	result := broker.Result{Ticket: slot.Ticket, Outcome: exchange.classifyOutcome(ctx, response, err), Elapsed: exchange.Clock.Now().Sub(sent)}
	if response != nil {
		result.Notice = broker.Notice{Leaving: response.Metadata.Leaving, BusyFor: response.Metadata.BusyFor}
		result.Warmup = response.Metadata.Warmup
		exchange.Allocator.Observe(slot.Upstream, result.Notice)
		exchange.Metrics.countNotice(exchange.service.Name, result.Notice)
		if load := response.Metadata.Load; load != nil {
			result.FreeSlot, result.Slowness = load.Running < slot.Upstream.Slots, load.Slowness
		}
	}
	release := func(broken error) {
		if broken != nil {
			result.Outcome = broker.Interrupted
			exchange.logBroken(slot, broken)
		}
		exchange.Allocator.Release(exchange.service.Name, slot, result)
		if now := exchange.Clock.Now(); response != nil {
			exchange.runTimes.add(exchange.route.Name, int64(now.Sub(sent)), now)
		}
	}
	if response == nil || response.Rest == nil {
		release(nil)
	} else {
		response.Rest = &slotReleasingBody{ReadCloser: response.Rest, callerCtx: exchange.callerCtx, release: release}
	}
	exchange.logSent(slot, result, response, err)
	exchange.Metrics.observeAttempt(exchange.service.Name, result)
	return exchange.answerOrRetry(ctx, slot.Upstream, result, response)
}

// slotRequest returns the request for a slot.
func (exchange *exchange) slotRequest() broker.Request {
	now := exchange.Clock.Now()
	return broker.Request{
		ID: exchange.id, VM: exchange.VM, Zone: exchange.Zone, Key: exchange.key, Rank: exchange.route.Rank,
		BodyBytes: max(exchange.request.ContentLength, int64(len(exchange.bufferedBody))), Retry: exchange.sentAttempts > 0, Exclude: exchange.excludedUpstreams,
		Target: exchange.target.Sub(now), Timeout: exchange.deadline.Sub(now), StopsIn: exchange.timeToStop(),
		Fingerprint: exchange.fingerprint(), Overflow: exchange.route.IsOverflow(exchange.service.Name), Returned: exchange.sentAgo > 0, MayHaveRun: exchange.mayHaveRun,
	}
}

// fingerprint returns a hash of the method, host, target and buffered body, which
// identifies a request that crashes upstreams when it is sent again.
func (exchange *exchange) fingerprint() uint64 {
	digest := xxhash.New()
	for _, part := range []string{exchange.request.Method, exchange.request.Host, exchange.request.Target} {
		_, _ = digest.WriteString(part + "\n") // never fails
	}
	_, _ = digest.Write(exchange.bufferedBody)
	return digest.Sum64()
}

// slotReleasingBody is the unread rest of a response body. Closing it releases the
// slot, with the error if the upstream has not sent the whole body.
type slotReleasingBody struct {
	io.ReadCloser
	callerCtx context.Context
	release   func(broken error)
	once      sync.Once // it is closed by the reader of the body and at the end of the request
	broken    atomic.Pointer[error]
}

func (body *slotReleasingBody) Read(buffer []byte) (int, error) {
	count, err := body.ReadCloser.Read(buffer)
	if err != nil && err != io.EOF && body.callerCtx.Err() == nil {
		body.broken.Store(&err)
	}
	return count, err
}

func (body *slotReleasingBody) Close() error {
	body.once.Do(func() {
		var broken error
		if err := body.broken.Load(); err != nil {
			broken = *err
		}
		body.release(broken)
	})
	return body.ReadCloser.Close()
}

// answerRefusal returns the answer to a request that got no slot.
func (exchange *exchange) answerRefusal(ctx context.Context, slot Slot) *fronter.Response {
	reason := "no slot: " + string(slot.Refusal)
	if slot.Rule != "" {
		reason += ", rule " + string(slot.Rule)
	}
	switch {
	case exchange.mayHaveRun && ctx.Err() != nil:
		return exchange.answerOutcomeUnknown(http.StatusGatewayTimeout, reason)
	case exchange.mayHaveRun:
		return exchange.answerOutcomeUnknown(http.StatusBadGateway, reason)
	case slot.Refusal == broker.Overloaded, slot.Refusal == broker.WarmingUp:
		return exchange.answerNotRun(http.StatusTooManyRequests, reason, slot.RetryAfter)
	default:
		return exchange.answerNotRun(http.StatusServiceUnavailable, reason, slot.RetryAfter)
	}
}

// send sends the request to the upstream without its hop-by-hop headers, and without
// Expect and Content-Length, which belong to the caller's connection.
func (exchange *exchange) send(ctx context.Context, upstream broker.Upstream) (*sender.Response, error) {
	header := fronter.WithoutHopByHop(exchange.request.Header)
	delete(header, "Expect")
	delete(header, "Content-Length")
	exchange.Protocol.SetUpstreamHeaders(header, upstream.ID, exchange.deadline.Sub(exchange.Clock.Now()))
	request := &sender.Request{
		ID: exchange.id, Method: exchange.request.Method, Target: exchange.request.Target, Host: exchange.request.Host,
		Header: header, Body: exchange.bufferedBody, StreamContext: exchange.callerCtx, History: &exchange.history, CallerLeft: exchange.request.CallerLeft,
	}
	if exchange.bodyRest != nil {
		request.Stream, request.ContentLength = io.MultiReader(bytes.NewReader(exchange.bufferedBody), exchange.bodyRest), exchange.request.ContentLength
	}
	return exchange.Sender.Send(ctx, sender.Upstream{ID: upstream.ID, StartedAt: upstream.StartedAt, Address: upstream.Address}, request)
}

// classifyOutcome returns the outcome of an attempt from its response or error.
func (exchange *exchange) classifyOutcome(ctx context.Context, response *sender.Response, err error) broker.Outcome {
	var notSent *sender.NotSentError
	switch {
	case err == nil && response.Metadata.Misdirected:
		return broker.Misdirected
	case err == nil && response.Metadata.NotExecuted:
		return broker.Shed
	case err == nil && response.Status >= http.StatusInternalServerError, err == nil && !isUpstreamResponse(response):
		return broker.Failed
	case err == nil:
		return broker.Served
	case errors.As(err, &notSent) && ctx.Err() == nil && notSent.Connected:
		return broker.Reset
	case errors.As(err, &notSent) && ctx.Err() == nil:
		return broker.Unreachable
	case exchange.uploadFailed():
		return broker.Abandoned // not the upstream's fault
	case errors.Is(ctx.Err(), context.DeadlineExceeded), errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return broker.TimedOut
	case ctx.Err() != nil:
		return broker.Abandoned
	default:
		return broker.Interrupted
	}
}

// isUpstreamResponse reports whether the upstream's program may have generated the
// response. A success without the seal header, or with a Content-Encoding that nobody
// requested, comes from another program.
func isUpstreamResponse(response *sender.Response) bool {
	success := response.Status >= http.StatusOK && response.Status < http.StatusMultipleChoices
	return !success || (response.Metadata.Sealed && response.Header.Get("Content-Encoding") == "")
}

// answerOrRetry returns the answer after an attempt, or nil if the request is to be
// tried again. A request that may have run is retried only on idempotent routes.
func (exchange *exchange) answerOrRetry(ctx context.Context, upstream broker.Upstream, result broker.Result, response *sender.Response) *fronter.Response {
	outcome := result.Outcome
	if outcome == broker.Unreachable || outcome == broker.Reset {
		exchange.unsentAttempts++
		if exchange.key == broker.NoKey || exchange.unsentAttempts > 1 {
			// The owner of a key gets a second attempt: a lost SYN packet may have
			// caused the failure.
			exchange.excludedUpstreams = append(exchange.excludedUpstreams, upstream.ID)
		}
		if exchange.unsentAttempts < maxUnsentAttempts {
			return nil
		}
		if exchange.mayHaveRun {
			return exchange.answerOutcomeUnknown(http.StatusBadGateway, "no upstream could be reached")
		}
		return exchange.answerNotRun(http.StatusServiceUnavailable, "no upstream could be reached", time.Second)
	}
	exchange.sentAttempts++
	if outcome != broker.Shed && outcome != broker.Misdirected {
		exchange.mayHaveRun = true
	}
	mayRetry := exchange.sentAttempts < exchange.route.MaxAttempts && exchange.bodyRest == nil && ctx.Err() == nil
	if exchange.key == broker.NoKey {
		exchange.excludedUpstreams = append(exchange.excludedUpstreams, upstream.ID)
	}
	switch outcome {
	case broker.Served:
		exchange.reason = "response of the upstream"
		return exchange.answerWithResponse(response)
	case broker.Shed, broker.Misdirected:
		switch {
		case mayRetry:
			return nil
		case exchange.mayHaveRun:
			return exchange.answerOutcomeUnknown(http.StatusBadGateway, "an earlier attempt may have run, the last was refused by the upstream")
		}
		retryAfter := exchange.refusedRetryAfter()
		if exchange.key != broker.NoKey {
			retryAfter = max(retryAfter, result.BusyFor) // no other upstream can serve the key
		}
		return exchange.answerNotRun(http.StatusServiceUnavailable, "refused by the upstream", retryAfter)
	case broker.Failed:
		if mayRetry && exchange.route.Idempotent {
			closeRest(response)
			return nil
		}
		if !isUpstreamResponse(response) || (response.Status == http.StatusServiceUnavailable && !response.Metadata.Sealed) {
			closeRest(response)
			return exchange.answerOutcomeUnknown(http.StatusBadGateway, "the response is not one of the upstream's program")
		}
		exchange.reason = "failure of the upstream"
		return exchange.answerWithResponse(response)
	case broker.TimedOut:
		return exchange.answerOutcomeUnknown(http.StatusGatewayTimeout, "the time limit passed during the run")
	case broker.Abandoned:
		if exchange.uploadFailed() {
			return exchange.answerOutcomeUnknown(http.StatusBadGateway, "the caller did not send the rest of the body")
		}
		return exchange.answerOutcomeUnknown(http.StatusBadGateway, "the caller has left")
	default:
		if mayRetry && exchange.route.Idempotent {
			return nil
		}
		return exchange.answerOutcomeUnknown(http.StatusBadGateway, "no complete response of the upstream")
	}
}

func closeRest(response *sender.Response) {
	if response.Rest != nil {
		_ = response.Rest.Close()
	}
}

// answerWithResponse returns the upstream's response without its hop-by-hop headers
// as the answer.
func (exchange *exchange) answerWithResponse(response *sender.Response) *fronter.Response {
	exchange.holdResponse(response.Body)
	return &fronter.Response{
		Status: response.Status, Header: fronter.WithoutHopByHop(response.Header),
		Body: response.Body, Rest: response.Rest, ContentLength: response.ContentLength,
	}
}
