package courier_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/courier"
	"github.com/cuminstream/cuminstream/internal/fronter"
	"github.com/cuminstream/cuminstream/internal/sender"
	"github.com/cuminstream/cuminstream/pkg/broker"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/matcher"
)

type protocol struct{}

func (protocol) RequestID(header http.Header) string { return header.Get("Id") }

func (protocol) TimeLeft(header http.Header) (time.Duration, bool) {
	d, err := time.ParseDuration(header.Get("Left"))
	return d, err == nil
}

func (protocol) Key(header http.Header) (int, bool) {
	key, err := strconv.Atoi(header.Get("Key"))
	return key, err == nil
}

func (protocol) SetUpstreamHeaders(header http.Header, upstream string, left time.Duration) {
	header["Left"] = []string{left.String()}
	header["Target"] = []string{upstream}
}

// fakeBackend is an allocator and a sender with scripted results.
type fakeBackend struct {
	refusal      broker.RefusalReason
	acquireDelay time.Duration
	// ignoresContext makes Acquire return a slot although the wait for it has ended.
	ignoresContext bool
	slotRequests   []broker.Request
	results        []broker.Result
	requests       []*sender.Request
	notices        []broker.Notice
	// responses are used in order; the last one is repeated.
	responses []func(ctx context.Context, request *sender.Request) (*sender.Response, error)
}

func (backend *fakeBackend) Acquire(ctx context.Context, _ string, request broker.Request) courier.Slot {
	backend.slotRequests = append(backend.slotRequests, request)
	if backend.ignoresContext {
		ctx = context.WithoutCancel(ctx)
	}
	select {
	case <-time.After(backend.acquireDelay):
	case <-ctx.Done():
		return courier.Slot{Decision: broker.Decision{Refusal: broker.TooLate}}
	}
	if backend.refusal != "" {
		return courier.Slot{Decision: broker.Decision{Refusal: backend.refusal, RetryAfter: 250 * time.Millisecond}}
	}
	return courier.Slot{Decision: broker.Decision{Ticket: uint64(len(backend.slotRequests)), Upstream: broker.Upstream{ID: "u" + strconv.Itoa(len(backend.slotRequests)), Slots: 2}}}
}

func (backend *fakeBackend) Observe(_ broker.Upstream, notice broker.Notice) {
	if notice != (broker.Notice{}) {
		backend.notices = append(backend.notices, notice)
	}
}

func (backend *fakeBackend) Release(_ string, _ courier.Slot, result broker.Result) {
	backend.results = append(backend.results, result)
}

func (backend *fakeBackend) Send(ctx context.Context, _ sender.Upstream, request *sender.Request) (*sender.Response, error) {
	backend.requests = append(backend.requests, request)
	index := min(len(backend.requests), len(backend.responses)) - 1
	return backend.responses[index](ctx, request)
}

type sendFunc = func(ctx context.Context, request *sender.Request) (*sender.Response, error)

func respond(status int, metadata sender.Metadata) sendFunc {
	return func(context.Context, *sender.Request) (*sender.Response, error) {
		return &sender.Response{Status: status, Header: http.Header{"Seal": {"s"}}, Body: []byte("body"), Metadata: metadata, ContentLength: 4}, nil
	}
}

func fail(err error) sendFunc {
	return func(context.Context, *sender.Request) (*sender.Response, error) { return nil, err }
}

// hangUntilDone sends no response until ctx is done.
func hangUntilDone(ctx context.Context, _ *sender.Request) (*sender.Response, error) {
	<-ctx.Done()
	return nil, &sender.IncompleteResponseError{Cause: ctx.Err()}
}

var (
	served  = respond(200, sender.Metadata{Sealed: true})
	shed    = respond(503, sender.Metadata{NotExecuted: true})
	failed  = respond(500, sender.Metadata{Sealed: true})
	broken  = fail(&sender.IncompleteResponseError{Cause: io.ErrUnexpectedEOF})
	notSent = fail(&sender.NotSentError{Cause: errors.New("refused")})
)

func newForwarder(backend *fakeBackend) *courier.Forwarder {
	forwarder := &courier.Forwarder{
		VM: "vm", Zone: "a", Clock: clocker.System{}, Protocol: protocol{}, Allocator: backend, Sender: backend,
		Log: slog.New(slog.DiscardHandler), Metrics: courier.NewMetrics(prometheus.NewRegistry()),
		Random: func() float64 { return 0.5 },
	}
	onlyService := func(service string) []matcher.WeightedService {
		return []matcher.WeightedService{{Service: service, Weight: 1}}
	}
	forwarder.SetTable(matcher.New(&matcher.Config{
		Version:  5,
		Services: map[string]matcher.Service{"quotes": {Name: "quotes", Keyed: true}, "bookings": {Name: "bookings"}},
		Limits:   matcher.Limits{BodyBytes: 2 << 20},
		Routes: []matcher.Route{
			{Name: "read", Host: "h", PathPrefix: "/read/", Idempotent: true, Timeout: time.Second, TargetLatency: 300 * time.Millisecond, MaxAttempts: 2, Services: onlyService("bookings")},
			{Name: "book", Host: "h", PathPrefix: "/book/", Timeout: time.Second, TargetLatency: 300 * time.Millisecond, MaxAttempts: 2, Services: onlyService("bookings")},
			{Name: "long", Host: "h", PathPrefix: "/long/", Timeout: 8 * time.Second, TargetLatency: time.Second, MaxAttempts: 2, Services: onlyService("bookings")},
			{Name: "keyed", Host: "h", PathPrefix: "/keyed/", Idempotent: true, Timeout: time.Second, MaxAttempts: 2, Services: onlyService("quotes")},
			{Name: "unusable", Host: "h", PathPrefix: "/unusable/", Fault: errors.New("kind")},
		},
	}))
	return forwarder
}

// Guards against 404 for a route that the configuration has, but that this version cannot
// serve: callers do not repeat a request after 404.
func TestUnusableRoute(t *testing.T) {
	answer := newForwarder(&fakeBackend{}).Serve(t.Context(), request("/unusable/1"))
	assert.Equal(t, answer.Status, http.StatusServiceUnavailable)
	assert.Assert(t, answer.Header.Get("Retry-After") != "")
}

func request(target string, header ...string) *fronter.Request {
	created := &fronter.Request{Method: "GET", Target: target, Host: "h", Header: http.Header{"Id": {"r1"}, "Left": {"2s"}}, ReceivedAt: time.Now()}
	for i := 0; i+1 < len(header); i += 2 {
		created.Header.Set(header[i], header[i+1])
	}
	return created
}

// Guards against 429 and 503 for a request that may have run: both statuses promise
// the caller that it has not. Checks the status for each sequence of outcomes.
func TestAnswers(t *testing.T) {
	for name, test := range map[string]struct {
		target    string
		responses []sendFunc
		status    int
		requests  int
	}{
		"served":                   {"/book/1", []sendFunc{served}, 200, 1},
		"shed, then served":        {"/book/1", []sendFunc{shed, served}, 200, 2},
		"shed twice":               {"/book/1", []sendFunc{shed}, 503, 2},
		"booking broken":           {"/book/1", []sendFunc{broken, served}, 502, 1},
		"shed, then broken":        {"/book/1", []sendFunc{shed, broken}, 502, 2},
		"booking failed":           {"/book/1", []sendFunc{failed}, 500, 1},
		"not sent, then served":    {"/book/1", []sendFunc{notSent, served}, 200, 2},
		"never sent":               {"/book/1", []sendFunc{notSent}, 503, 4},
		"read broken, then served": {"/read/1", []sendFunc{broken, served}, 200, 2},
		"read broken, then shed":   {"/read/1", []sendFunc{broken, shed}, 502, 2},
		"read broken twice":        {"/read/1", []sendFunc{broken}, 502, 2},
		"read failed, then served": {"/read/1", []sendFunc{failed, served}, 200, 2},
		"read failed twice":        {"/read/1", []sendFunc{failed}, 500, 2},
		"booking timed out":        {"/book/1", []sendFunc{hangUntilDone}, 504, 1},
		"no seal":                  {"/book/1", []sendFunc{respond(200, sender.Metadata{})}, 502, 1},
		"503 of another program":   {"/book/1", []sendFunc{respond(503, sender.Metadata{})}, 502, 1},
		"misdirected, then served": {"/keyed/1", []sendFunc{respond(421, sender.Metadata{NotExecuted: true, Misdirected: true}), served}, 200, 2},
		"client error":             {"/book/1", []sendFunc{respond(404, sender.Metadata{Sealed: true})}, 404, 1},
		"no route":                 {"/other/1", []sendFunc{served}, 404, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backend := &fakeBackend{responses: test.responses}
				answer := newForwarder(backend).Serve(t.Context(), request(test.target, "Key", "7"))
				assert.Equal(t, answer.Status, test.status)
				assert.Equal(t, len(backend.requests), test.requests)
				assert.Equal(t, len(backend.results), test.requests, "every slot is released")
				if answer.Status == 503 {
					assert.Assert(t, answer.Header.Get("Retry-After") != "")
				}
			})
		})
	}
}

// A refused request gets the status for the reason, and the broker's Retry-After time.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for reason, status := range map[broker.RefusalReason]int{broker.Overloaded: 429, broker.Unavailable: 503, broker.RetryBudgetExhausted: 503, broker.WarmingUp: 429, broker.Evacuated: 503} {
			backend := &fakeBackend{refusal: reason, responses: []sendFunc{served}}
			answer := newForwarder(backend).Serve(t.Context(), request("/book/1"))
			assert.Equal(t, answer.Status, status)
			assert.Equal(t, answer.Header.Get("Retry-After"), "0.250")
		}
	})
}

// A request whose deadline passes in the queue has not run and gets 503 in time.
func TestDeadlinePassesInQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &fakeBackend{acquireDelay: 5 * time.Second}
		began := time.Now()
		answer := newForwarder(backend).Serve(t.Context(), request("/book/1", "Left", "400ms"))
		assert.Equal(t, answer.Status, 503)
		assert.Equal(t, time.Since(began), 400*time.Millisecond)
	})
}

// The shorter of the caller's and the route's timeout applies, and the upstream is
// told the time that is left of it.
func TestShorterTimeoutApplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for left, want := range map[string]time.Duration{"300ms": 300 * time.Millisecond, "9s": time.Second, "soon": time.Second} {
			backend := &fakeBackend{acquireDelay: 100 * time.Millisecond, responses: []sendFunc{hangUntilDone}}
			began := time.Now()
			newForwarder(backend).Serve(t.Context(), request("/book/1", "Left", left))
			assert.Equal(t, time.Since(began), want)
			assert.Equal(t, backend.requests[0].Header.Get("Left"), (want - 100*time.Millisecond).String())
			assert.Equal(t, backend.slotRequests[0].Timeout, want)
		}
	})
}

func TestKeyedServiceNeedsKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &fakeBackend{responses: []sendFunc{served}}
		assert.Equal(t, newForwarder(backend).Serve(t.Context(), request("/keyed/1", "Key", "17")).Status, 200)
		assert.Equal(t, backend.slotRequests[0].Key, 17)
		assert.Equal(t, newForwarder(backend).Serve(t.Context(), request("/keyed/1")).Status, 400)
		newForwarder(backend).Serve(t.Context(), request("/book/1", "Key", "17"))
		assert.Equal(t, backend.slotRequests[1].Key, broker.NoKey)
	})
}

// A second attempt is marked as a retry and excludes the upstream of the failed attempt.
func TestRetriesExcludeFailedUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &fakeBackend{responses: []sendFunc{broken, served}}
		newForwarder(backend).Serve(t.Context(), request("/read/1"))
		assert.Assert(t, !backend.slotRequests[0].Retry && backend.slotRequests[1].Retry)
		assert.DeepEqual(t, backend.slotRequests[1].Exclude, []string{"u1"})
	})
}

// The attempts of one request share a history, so that the sender uses another connection
// for the second one. Requests do not share it with each other.
func TestAttemptsShareAHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &fakeBackend{responses: []sendFunc{shed}}
		forwarder := newForwarder(backend)
		forwarder.Serve(t.Context(), request("/book/1"))
		forwarder.Serve(t.Context(), request("/book/1"))
		assert.Equal(t, len(backend.requests), 4)
		assert.Assert(t, backend.requests[0].History != nil && backend.requests[0].History == backend.requests[1].History)
		assert.Assert(t, backend.requests[1].History != backend.requests[2].History)
	})
}

// A response that is still being streamed when Serve returns must not be cut off: it ends
// with the caller's connection, and not with the request's time limit.
func TestStreamEndsWithTheCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &fakeBackend{responses: []sendFunc{served}}
		ctx, leave := context.WithCancel(t.Context())
		newForwarder(backend).Serve(ctx, request("/read/1"))
		time.Sleep(10 * time.Second)
		assert.NilError(t, backend.requests[0].StreamContext.Err())
		leave()
		assert.Assert(t, backend.requests[0].StreamContext.Err() != nil)
	})
}

// What an upstream says of itself must reach the allocator at once, and a caller whose key
// only a busy upstream can serve must be told when that takes requests again.
func TestNoticesOfUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &fakeBackend{responses: []sendFunc{respond(503, sender.Metadata{NotExecuted: true, Leaving: true, BusyFor: 3 * time.Second})}}
		answer := newForwarder(backend).Serve(t.Context(), request("/keyed/1", "Key", "7"))
		assert.Equal(t, answer.Status, 503)
		assert.Equal(t, answer.Header.Get("Retry-After"), "3.000")
		assert.DeepEqual(t, backend.notices[0], broker.Notice{Leaving: true, BusyFor: 3 * time.Second})
		assert.DeepEqual(t, backend.results[0].Notice, backend.notices[0])
		answer = newForwarder(backend).Serve(t.Context(), request("/book/1"))
		assert.Equal(t, answer.Header.Get("Retry-After"), "0.037", "another upstream may serve it: an eighth of the target")
	})
}

func TestNoConfiguration(t *testing.T) {
	empty := &courier.Forwarder{Clock: clocker.System{}, Protocol: protocol{}, Log: slog.New(slog.DiscardHandler)}
	assert.Equal(t, empty.Serve(t.Context(), request("/book/1")).Status, 503)
}

func TestVersionsNeverGoBack(t *testing.T) {
	forwarder := newForwarder(&fakeBackend{})
	assert.Assert(t, !forwarder.SetTable(matcher.New(&matcher.Config{Version: 4})))
	assert.Equal(t, forwarder.Table().Config.Version, uint64(5))
	assert.Assert(t, forwarder.SetTable(matcher.New(&matcher.Config{Version: 6})))
}

// A small body is buffered and can be sent again. A large one is streamed, so its
// request gets one attempt.
func TestBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for size, requests := range map[int]int{1000: 2, 1<<20 + 5: 1} {
			backend := &fakeBackend{responses: []sendFunc{shed}}
			upload := request("/book/1")
			upload.Method, upload.Body, upload.ContentLength = "POST", strings.NewReader(strings.Repeat("x", size)), int64(size)
			assert.Equal(t, newForwarder(backend).Serve(t.Context(), upload).Status, 503)
			assert.Equal(t, len(backend.requests), requests)
		}
		upload := request("/book/1")
		upload.Body, upload.ContentLength = strings.NewReader(""), 3<<20
		assert.Equal(t, newForwarder(&fakeBackend{}).Serve(t.Context(), upload).Status, 413)
	})
}

func TestHeadersAreForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &fakeBackend{responses: []sendFunc{served}}
		answer := newForwarder(backend).Serve(t.Context(), request("/book/1", "X-Own", "1", "Connection", "close, X-Hop", "X-Hop", "2", "Target", "forged"))
		got := backend.requests[0].Header
		assert.Equal(t, got.Get("X-Own"), "1")
		assert.Equal(t, got.Get("X-Hop")+got.Get("Connection"), "")
		assert.Equal(t, got.Get("Target"), "u1")
		assert.Equal(t, got.Get("Id"), "r1")
		assert.Equal(t, answer.Header.Get("Seal"), "s")
	})
}

// Guards against a repeated request that competes like a new one: its caller has waited
// for a part of its target already, which only the time that it states shows.
func TestRepeatedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &fakeBackend{responses: []sendFunc{served}}
		forwarder := newForwarder(backend)
		for range 30 {
			forwarder.Serve(t.Context(), request("/read/1"))
		}
		forwarder.Serve(t.Context(), request("/read/1", "Left", "1.9s"))
		first, repeated := backend.slotRequests[29], backend.slotRequests[30]
		assert.Assert(t, !first.Returned && repeated.Returned)
		assert.Equal(t, first.Target, 300*time.Millisecond)
		assert.Equal(t, repeated.Target, 200*time.Millisecond)
	})
}
