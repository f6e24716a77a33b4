package courier

import (
	"net/http"

	"github.com/cuminstream/cuminstream/internal/accountant"
	"github.com/cuminstream/cuminstream/internal/fronter"
)

const (
	// usualResponse is reserved for the response of a request that waits for a slot.
	usualResponse = 16 << 10
	// largeResponse is what the sender buffers of a response at most. It is reserved on
	// routes with large responses while no size is known.
	largeResponse = 256 << 10
)

// reserveResponse reserves what a usual response takes, before the request waits for a slot.
// It returns an answer if there is no room.
func (exchange *exchange) reserveResponse() *fronter.Response { return exchange.allow(usualResponse) }

// reserveExpected reserves what the largest recent response of the route takes, right before
// the request is sent: a response that arrives cannot be refused any more. It returns an
// answer if there is no room.
func (exchange *exchange) reserveExpected() *fronter.Response {
	expected := exchange.responseSizes.largest(exchange.route.Name, exchange.Clock.Now())
	if expected == 0 && exchange.route.Download {
		expected = largeResponse
	}
	return exchange.allow(min(expected, largeResponse))
}

// allow raises what is reserved for the response.
func (exchange *exchange) allow(size int64) *fronter.Response {
	if size <= exchange.allowance {
		return nil
	}
	reason := exchange.request.Holder.Reserve(accountant.Responses, size-exchange.allowance)
	switch text := "the account of bytes has no room for the response: " + string(reason); {
	case reason == "":
		exchange.allowance = size
		return nil
	case exchange.mayHaveRun:
		return exchange.answerOutcomeUnknown(http.StatusBadGateway, text)
	default:
		return exchange.answerNotRun(http.StatusServiceUnavailable, text, shortRetryAfter)
	}
}

// holdResponse replaces what is reserved for the response by what it takes.
func (exchange *exchange) holdResponse(body []byte) {
	size := int64(cap(body))
	exchange.responseSizes.add(exchange.route.Name, size, exchange.Clock.Now())
	exchange.request.Holder.Force(accountant.Responses, size)
	exchange.request.Holder.Release(accountant.Responses, exchange.allowance)
	exchange.allowance = 0
}
