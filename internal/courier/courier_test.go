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

// world answers for the allocator and the upstreams.
type world struct {
	refuse  broker.RefusalReason
	wait    time.Duration
	asks    []broker.Request
	results []broker.Result
	sends   []*sender.Request
	// answers are used one after the other; the last one is used again.
	answers []func(ctx context.Context, request *sender.Request) (*sender.Response, error)
}

func (world *world) Acquire(ctx context.Context, _ string, ask broker.Request) courier.Slot {
	world.asks = append(world.asks, ask)
	select {
	case <-time.After(world.wait):
	case <-ctx.Done():
		return courier.Slot{Decision: broker.Decision{Refusal: broker.TooLate}}
	}
	if world.refuse != "" {
		return courier.Slot{Decision: broker.Decision{Refusal: world.refuse, RetryAfter: 250 * time.Millisecond}}
	}
	return courier.Slot{Decision: broker.Decision{Ticket: uint64(len(world.asks)), Upstream: broker.Upstream{ID: "u" + strconv.Itoa(len(world.asks)), Slots: 2}}}
}

func (world *world) Release(_ string, _ courier.Slot, result broker.Result) {
	world.results = append(world.results, result)
}

func (world *world) Send(ctx context.Context, _ sender.Upstream, request *sender.Request) (*sender.Response, error) {
	world.sends = append(world.sends, request)
	index := min(len(world.sends), len(world.answers)) - 1
	return world.answers[index](ctx, request)
}

type answerFunc = func(ctx context.Context, request *sender.Request) (*sender.Response, error)

func respond(status int, verdict sender.Metadata) answerFunc {
	return func(context.Context, *sender.Request) (*sender.Response, error) {
		return &sender.Response{Status: status, Header: http.Header{"Seal": {"s"}}, Body: []byte("body"), Metadata: verdict, Length: 4}, nil
	}
}

func fail(err error) answerFunc {
	return func(context.Context, *sender.Request) (*sender.Response, error) { return nil, err }
}

// hang waits until the request's time is over.
func hang(ctx context.Context, _ *sender.Request) (*sender.Response, error) {
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

func newForwarder(world *world) *courier.Forwarder {
	created := &courier.Forwarder{
		VM: "vm", Zone: "a", Clock: clocker.System{}, Protocol: protocol{}, Allocator: world, Sender: world,
		Log: slog.New(slog.DiscardHandler), Metrics: courier.NewMetrics(prometheus.NewRegistry()), MaxBufferedBytes: 1 << 20,
	}
	part := func(service string) []matcher.WeightedService {
		return []matcher.WeightedService{{Service: service, Weight: 1}}
	}
	created.SetTable(matcher.New(&matcher.Config{
		Version:  5,
		Services: map[string]matcher.Service{"quotes": {Name: "quotes", Keyed: true}, "bookings": {Name: "bookings"}},
		Limits:   matcher.Limits{BodyBytes: 2 << 20},
		Routes: []matcher.Route{
			{Name: "read", Host: "h", PathPrefix: "/read/", Idempotent: true, Timeout: time.Second, TargetLatency: 300 * time.Millisecond, MaxAttempts: 2, Services: part("bookings")},
			{Name: "book", Host: "h", PathPrefix: "/book/", Timeout: time.Second, TargetLatency: 300 * time.Millisecond, MaxAttempts: 2, Services: part("bookings")},
			{Name: "keyed", Host: "h", PathPrefix: "/keyed/", Idempotent: true, Timeout: time.Second, MaxAttempts: 2, Services: part("quotes")},
		},
	}))
	return created
}

func request(target string, header ...string) *fronter.Request {
	made := &fronter.Request{Method: "GET", Target: target, Host: "h", Header: http.Header{"Id": {"r1"}, "Left": {"2s"}}, ReceivedAt: time.Now()}
	for i := 0; i+1 < len(header); i += 2 {
		made.Header.Set(header[i], header[i+1])
	}
	return made
}

// What callers are told for each way in which attempts can end. An answer of 429
// or 503 promises that the request has not run, so that it must not follow any
// attempt that may have.
func TestAnswers(t *testing.T) {
	for name, test := range map[string]struct {
		target  string
		answers []answerFunc
		status  int
		sends   int
	}{
		"served":                       {"/book/1", []answerFunc{served}, 200, 1},
		"shed, then served":            {"/book/1", []answerFunc{shed, served}, 200, 2},
		"shed twice":                   {"/book/1", []answerFunc{shed}, 503, 2},
		"booking broken":               {"/book/1", []answerFunc{broken, served}, 502, 1},
		"shed, then broken":            {"/book/1", []answerFunc{shed, broken}, 502, 2},
		"booking failed":               {"/book/1", []answerFunc{failed}, 500, 1},
		"not sent, then served":        {"/book/1", []answerFunc{notSent, served}, 200, 2},
		"never sent":                   {"/book/1", []answerFunc{notSent}, 503, 4},
		"read broken, then served":     {"/read/1", []answerFunc{broken, served}, 200, 2},
		"read broken, then shed":       {"/read/1", []answerFunc{broken, shed}, 502, 2},
		"read broken twice":            {"/read/1", []answerFunc{broken}, 502, 2},
		"read failed, then served":     {"/read/1", []answerFunc{failed, served}, 200, 2},
		"read failed twice":            {"/read/1", []answerFunc{failed}, 500, 2},
		"booking takes too long":       {"/book/1", []answerFunc{hang}, 504, 1},
		"no seal":                      {"/book/1", []answerFunc{respond(200, sender.Metadata{})}, 502, 1},
		"503 of another program":       {"/book/1", []answerFunc{respond(503, sender.Metadata{})}, 502, 1},
		"misdirected, then served":     {"/keyed/1", []answerFunc{respond(421, sender.Metadata{NotExecuted: true, Misdirected: true}), served}, 200, 2},
		"a failure that callers cause": {"/book/1", []answerFunc{respond(404, sender.Metadata{Sealed: true})}, 404, 1},
		"no route":                     {"/other/1", []answerFunc{served}, 404, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				world := &world{answers: test.answers}
				answer := newForwarder(world).Serve(t.Context(), request(test.target, "Key", "7"))
				assert.Equal(t, answer.Status, test.status)
				assert.Equal(t, len(world.sends), test.sends)
				assert.Equal(t, len(world.results), test.sends, "every slot is given back")
				if answer.Status == 503 {
					assert.Assert(t, answer.Header.Get("Retry-After") != "")
				}
			})
		})
	}
}

func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for reason, status := range map[broker.RefusalReason]int{broker.Overloaded: 429, broker.Unavailable: 503, broker.RetryBudgetExhausted: 503} {
			world := &world{refuse: reason, answers: []answerFunc{served}}
			answer := newForwarder(world).Serve(t.Context(), request("/book/1"))
			assert.Equal(t, answer.Status, status)
			assert.Equal(t, answer.Header.Get("Retry-After"), "0.250")
		}
	})
}

// A request whose time passes in the queue has not run.
func TestTimeLimitInTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := &world{wait: 5 * time.Second}
		began := time.Now()
		answer := newForwarder(world).Serve(t.Context(), request("/book/1", "Left", "400ms"))
		assert.Equal(t, answer.Status, 503)
		assert.Equal(t, time.Since(began), 400*time.Millisecond)
	})
}

// The shorter of the caller's time and the route's applies, and upstreams get
// what is left of it.
func TestTimeLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for left, want := range map[string]time.Duration{"300ms": 300 * time.Millisecond, "9s": time.Second, "soon": time.Second} {
			world := &world{wait: 100 * time.Millisecond, answers: []answerFunc{hang}}
			began := time.Now()
			newForwarder(world).Serve(t.Context(), request("/book/1", "Left", left))
			assert.Equal(t, time.Since(began), want)
			assert.Equal(t, world.sends[0].Header.Get("Left"), (want - 100*time.Millisecond).String())
			assert.Equal(t, world.asks[0].Timeout, want)
		}
	})
}

func TestKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := &world{answers: []answerFunc{served}}
		assert.Equal(t, newForwarder(world).Serve(t.Context(), request("/keyed/1", "Key", "17")).Status, 200)
		assert.Equal(t, world.asks[0].Key, 17)
		assert.Equal(t, newForwarder(world).Serve(t.Context(), request("/keyed/1")).Status, 400)
		newForwarder(world).Serve(t.Context(), request("/book/1", "Key", "17"))
		assert.Equal(t, world.asks[1].Key, broker.NoKey)
	})
}

// Later attempts say that they are repeats, and keep away from the upstream that
// failed.
func TestRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := &world{answers: []answerFunc{broken, served}}
		newForwarder(world).Serve(t.Context(), request("/read/1"))
		assert.Assert(t, !world.asks[0].Retry && world.asks[1].Retry)
		assert.DeepEqual(t, world.asks[1].Exclude, []string{"u1"})
	})
}

func TestNoConfiguration(t *testing.T) {
	empty := &courier.Forwarder{Clock: clocker.System{}, Protocol: protocol{}, Log: slog.New(slog.DiscardHandler)}
	assert.Equal(t, empty.Serve(t.Context(), request("/book/1")).Status, 503)
}

func TestVersionsNeverGoBack(t *testing.T) {
	held := newForwarder(&world{})
	assert.Assert(t, !held.SetTable(matcher.New(&matcher.Config{Version: 4})))
	assert.Equal(t, held.Table().Config.Version, uint64(5))
	assert.Assert(t, held.SetTable(matcher.New(&matcher.Config{Version: 6})))
}

// Small bodies are held, so that they can be sent again; large ones are passed on
// once.
func TestBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for size, sends := range map[int]int{1000: 2, 1<<20 + 5: 1} {
			world := &world{answers: []answerFunc{shed}}
			upload := request("/book/1")
			upload.Method, upload.Body, upload.ContentLength = "POST", strings.NewReader(strings.Repeat("x", size)), int64(size)
			assert.Equal(t, newForwarder(world).Serve(t.Context(), upload).Status, 503)
			assert.Equal(t, len(world.sends), sends)
		}
		upload := request("/book/1")
		upload.Body, upload.ContentLength = strings.NewReader(""), 3<<20
		assert.Equal(t, newForwarder(&world{}).Serve(t.Context(), upload).Status, 413)
	})
}

func TestHeadersAreForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := &world{answers: []answerFunc{served}}
		answer := newForwarder(world).Serve(t.Context(), request("/book/1", "X-Own", "1", "Connection", "close, X-Hop", "X-Hop", "2", "Target", "forged"))
		got := world.sends[0].Header
		assert.Equal(t, got.Get("X-Own"), "1")
		assert.Equal(t, got.Get("X-Hop")+got.Get("Connection"), "")
		assert.Equal(t, got.Get("Target"), "u1")
		assert.Equal(t, got.Get("Id"), "r1")
		assert.Equal(t, answer.Header.Get("Seal"), "s")
	})
}
