package courier

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cuminstream/cuminstream/internal/fronter"
	"github.com/cuminstream/cuminstream/internal/sender"
	"github.com/cuminstream/cuminstream/pkg/broker"
)

// attempt gets a slot and sends the request once. It returns nil when another
// attempt may follow.
func (delivery *delivery) attempt(ctx context.Context) *fronter.Response {
	now := delivery.Clock.Now()
	slot := delivery.Allocator.Acquire(ctx, delivery.service.Name, broker.Request{
		ID: delivery.id, VM: delivery.VM, Zone: delivery.Zone, Key: delivery.key, Rank: delivery.route.Rank,
		BodyBytes: max(delivery.request.ContentLength, int64(len(delivery.body))), Retry: delivery.sent > 0, Exclude: delivery.exclude,
		Target: delivery.request.ReceivedAt.Add(delivery.route.TargetLatency).Sub(now), Timeout: delivery.end.Sub(now),
		Fingerprint: delivery.fingerprint(),
	})
	delivery.logSlot(slot)
	if slot.Refusal != "" {
		return delivery.refused(ctx, slot)
	}
	sent := delivery.Clock.Now()
	response, err := delivery.send(ctx, slot.Upstream)
	result := broker.Result{Ticket: slot.Ticket, Outcome: delivery.outcome(ctx, response, err), Elapsed: delivery.Clock.Now().Sub(sent)}
	if response != nil && response.Metadata.Load != nil {
		result.FreeSlot = response.Metadata.Load.Running < slot.Upstream.Slots
	}
	if response == nil || response.Rest == nil {
		delivery.Allocator.Release(delivery.service.Name, slot, result)
	} else {
		response.Rest = &finishing{ReadCloser: response.Rest, finish: func() { delivery.Allocator.Release(delivery.service.Name, slot, result) }}
	}
	delivery.logSent(slot, result, response, err)
	delivery.Metrics.attempt(delivery.service.Name, result)
	return delivery.conclude(ctx, slot.Upstream, result.Outcome, response)
}

// fingerprint identifies requests that do the same: a request that crashes
// upstreams comes again with the same method, target and body.
func (delivery *delivery) fingerprint() uint64 {
	digest := xxhash.New()
	for _, part := range []string{delivery.request.Method, delivery.request.Host, delivery.request.Target} {
		_, _ = digest.WriteString(part + "\n") // never fails
	}
	_, _ = digest.Write(delivery.body)
	return digest.Sum64()
}

// finishing ends the use of a slot when the rest of the body has been read.
type finishing struct {
	io.ReadCloser
	finish func()
}

func (finishing *finishing) Close() error {
	finishing.finish()
	return finishing.ReadCloser.Close()
}

// refused answers a request that got no slot.
func (delivery *delivery) refused(ctx context.Context, slot Slot) *fronter.Response {
	reason := "no slot: " + string(slot.Refusal)
	switch {
	case delivery.mayRun && ctx.Err() != nil:
		return delivery.unknown(http.StatusGatewayTimeout, reason)
	case delivery.mayRun:
		return delivery.unknown(http.StatusBadGateway, reason)
	case slot.Refusal == broker.Overloaded:
		return delivery.notRun(http.StatusTooManyRequests, reason, slot.RetryAfter)
	default:
		return delivery.notRun(http.StatusServiceUnavailable, reason, slot.RetryAfter)
	}
}

// send sends the request to the upstream.
func (delivery *delivery) send(ctx context.Context, upstream broker.Upstream) (*sender.Response, error) {
	header := fronter.WithoutHopByHop(delivery.request.Header)
	delete(header, "Expect")
	delete(header, "Content-Length")
	delivery.Protocol.SetUpstreamHeaders(header, upstream.ID, delivery.end.Sub(delivery.Clock.Now()))
	request := &sender.Request{
		ID: delivery.id, Method: delivery.request.Method, Target: delivery.request.Target, Host: delivery.request.Host,
		Header: header, Body: delivery.body,
	}
	if delivery.stream != nil {
		request.Stream, request.Length = io.MultiReader(bytes.NewReader(delivery.body), delivery.stream), delivery.request.ContentLength
	}
	return delivery.Sender.Send(ctx, sender.Upstream{ID: upstream.ID, Born: upstream.StartedAt, Address: upstream.Address}, request)
}

// outcome classifies the end of an attempt.
func (delivery *delivery) outcome(ctx context.Context, response *sender.Response, err error) broker.Outcome {
	var notSent *sender.NotSentError
	switch {
	case err == nil && response.Metadata.Misdirected:
		return broker.Misdirected
	case err == nil && response.Metadata.NotExecuted:
		return broker.Shed
	case err == nil && response.Status >= http.StatusInternalServerError, err == nil && !usable(response):
		return broker.Failed
	case err == nil:
		return broker.Served
	case errors.As(err, &notSent) && ctx.Err() == nil:
		return broker.Unreachable
	case errors.Is(ctx.Err(), context.DeadlineExceeded), errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return broker.TimedOut
	case ctx.Err() != nil:
		return broker.Abandoned
	default:
		return broker.Interrupted
	}
}

// usable reports whether the response is one that the upstream's program made: a
// success without its seal, or with an encoding that nobody asked for, is not.
func usable(response *sender.Response) bool {
	success := response.Status >= http.StatusOK && response.Status < http.StatusMultipleChoices
	return !success || (response.Metadata.Sealed && response.Header.Get("Content-Encoding") == "")
}

// conclude decides whether the request is answered or tried again.
func (delivery *delivery) conclude(ctx context.Context, upstream broker.Upstream, outcome broker.Outcome, response *sender.Response) *fronter.Response {
	if outcome == broker.Unreachable {
		delivery.unsent++
		if delivery.key == broker.NoKey || delivery.unsent > 1 {
			// The owner of a key is tried once more: an opening packet may be lost.
			delivery.exclude = append(delivery.exclude, upstream.ID)
		}
		if delivery.unsent < maxUnsent {
			return nil
		}
		if delivery.mayRun {
			return delivery.unknown(http.StatusBadGateway, "no upstream could be reached")
		}
		return delivery.notRun(http.StatusServiceUnavailable, "no upstream could be reached", time.Second)
	}
	delivery.sent++
	if outcome != broker.Shed && outcome != broker.Misdirected {
		delivery.mayRun = true
	}
	again := delivery.sent < delivery.route.MaxAttempts && delivery.stream == nil && ctx.Err() == nil
	if delivery.key == broker.NoKey {
		delivery.exclude = append(delivery.exclude, upstream.ID)
	}
	switch outcome {
	case broker.Served:
		delivery.reason = "response of the upstream"
		return delivery.pass(response)
	case broker.Shed, broker.Misdirected:
		switch {
		case again:
			return nil
		case delivery.mayRun:
			return delivery.unknown(http.StatusBadGateway, "an earlier attempt may have run, the last was refused by the upstream")
		}
		return delivery.notRun(http.StatusServiceUnavailable, "refused by the upstream", refusedRetryAfter)
	case broker.Failed:
		if again && delivery.route.Idempotent {
			discard(response)
			return nil
		}
		if !usable(response) || (response.Status == http.StatusServiceUnavailable && !response.Metadata.Sealed) {
			discard(response)
			return delivery.unknown(http.StatusBadGateway, "the response is not one of the upstream's program")
		}
		delivery.reason = "failure of the upstream"
		return delivery.pass(response)
	case broker.TimedOut:
		return delivery.unknown(http.StatusGatewayTimeout, "the time limit passed during the run")
	case broker.Abandoned:
		return delivery.unknown(http.StatusBadGateway, "the caller has left")
	default:
		if again && delivery.route.Idempotent {
			return nil
		}
		return delivery.unknown(http.StatusBadGateway, "no complete response of the upstream")
	}
}

func discard(response *sender.Response) {
	if response.Rest != nil {
		_ = response.Rest.Close()
	}
}

// pass returns the upstream's response as the answer.
func (delivery *delivery) pass(response *sender.Response) *fronter.Response {
	return &fronter.Response{
		Status: response.Status, Header: fronter.WithoutHopByHop(response.Header),
		Body: response.Body, Rest: response.Rest, ContentLength: response.Length,
	}
}
