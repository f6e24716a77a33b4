package courier

import (
	"net/http"
	"sync"
	"time"

	"github.com/cuminstream/cuminstream/internal/accountant"
	"github.com/cuminstream/cuminstream/internal/fronter"
)

const (
	// usualResponse is reserved for the response of a request that waits for a slot.
	usualResponse = 16 << 10
	// largeResponse is what the sender buffers of a response at most. It is reserved on
	// routes with large responses while no size is known.
	largeResponse = 256 << 10
	// sizeWindow is the time for which the largest response of a route is remembered, at
	// least; at most twice as long.
	sizeWindow = 30 * time.Second
)

// responseSizes remembers the sizes of the largest recent responses of routes.
type responseSizes struct {
	mutex  sync.Mutex
	routes map[string]*routeSizes
}

type routeSizes struct {
	since             time.Time // begin of the current window
	current, previous int64     // largest of the current and of the previous window
}

// window returns the sizes of a route after their windows have moved on. The mutex is held.
func (sizes *responseSizes) window(route string, now time.Time) *routeSizes {
	if sizes.routes == nil {
		sizes.routes = map[string]*routeSizes{}
	}
	known := sizes.routes[route]
	if known == nil {
		known = &routeSizes{since: now}
		sizes.routes[route] = known
	}
	if age := now.Sub(known.since); age >= 2*sizeWindow {
		*known = routeSizes{since: now}
	} else if age >= sizeWindow {
		*known = routeSizes{since: now, previous: known.current}
	}
	return known
}

// add records the size of a response.
func (sizes *responseSizes) add(route string, size int64, now time.Time) {
	sizes.mutex.Lock()
	defer sizes.mutex.Unlock()
	known := sizes.window(route, now)
	known.current = max(known.current, size)
}

// largest returns the size of the largest recent response; 0 if there was none.
func (sizes *responseSizes) largest(route string, now time.Time) int64 {
	sizes.mutex.Lock()
	defer sizes.mutex.Unlock()
	known := sizes.window(route, now)
	return max(known.current, known.previous)
}

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
