package router_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/carrier"
	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/linker"
	"github.com/cuminstream/cuminstream/internal/locator"
	"github.com/cuminstream/cuminstream/internal/router"
	"github.com/cuminstream/cuminstream/pkg/answerer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/queuer"
)

// vms is a fake of the other VMs: each answers with its own function.
type vms struct {
	mutex    sync.Mutex
	handlers map[string]func(context.Context, *carrier.Request) (*carrier.Response, error)
	dead     map[string]bool
	calls    []string
}

func (vms *vms) Forward(ctx context.Context, vm string, request *carrier.Request) (*carrier.Response, error) {
	vms.mutex.Lock()
	vms.calls = append(vms.calls, vm)
	handler := vms.handlers[vm]
	vms.mutex.Unlock()
	if handler == nil {
		return nil, answerer.New(answerer.NotRunUnavailable, "VM %s is not the holder", vm)
	}
	return handler(ctx, request)
}

func (vms *vms) Reachable(vm string) bool { return !vms.dead[vm] }

func (vms *vms) Handle(ctx context.Context, request *carrier.Request) (*carrier.Response, error) {
	return vms.Forward(ctx, "self", request)
}

func answer(body string) (*carrier.Response, error) {
	return &carrier.Response{Status: http.StatusOK, ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body))}, nil
}

func echo(_ context.Context, request *carrier.Request) (*carrier.Response, error) {
	if request.Body == nil {
		return answer("")
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, answerer.New(answerer.OutcomeUnknown, "body: %w", err)
	}
	return answer(string(body))
}

// serve starts a router for a service with one group whose candidates are a, b
// and c.
func serve(t *testing.T, fleet *vms) *httptest.Server {
	t.Helper()
	document, err := configurer.NewDocument(1, map[string]configurer.Section{"rates": {Team: "rates", Services: []configurer.Service{{
		Name: "quotes", PathPrefix: "/quotes", Key: configurer.KeySource{PathSegment: 2}, Idempotent: true, MaxBody: 1 << 20,
		Timeout: configurer.Duration(2 * time.Second), Rank: queuer.Transaction,
		Upstreams: []configurer.Upstream{{Name: "q1", Zone: "z", Address: "127.0.0.1:1", Slots: 2, Connections: 10}},
		Routes:    []configurer.Route{{Methods: []string{"POST"}, Idempotent: new(bool)}},
	}}}})
	assert.NilError(t, err)
	places := locator.New()
	places.SetShardMap(locator.ShardMap{Service: "quotes", Groups: []string{"quotes.z.0"}, Shards: make([]int, 256), Revision: 1})
	places.SetCandidates("quotes.z.0", []string{"a", "b", "c"})
	routes := &router.Router{
		Clock: clocker.System{}, VM: "self", Matcher: known{document}, Locator: places, Local: fleet, Forwarder: fleet, Liveness: fleet,
		TakeoverTimeout: time.Second, Metrics: router.NewMetrics(prometheus.NewRegistry()),
	}
	server := httptest.NewServer(routes.Handler())
	t.Cleanup(server.Close)
	return server
}

func send(t *testing.T, server *httptest.Server, method, path, body string, header ...string) (*http.Response, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, server.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	for index := 0; index+1 < len(header); index += 2 {
		request.Header.Set(header[index], header[index+1])
	}
	response, err := server.Client().Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response, string(content)
}

func expect(t *testing.T, response *http.Response, kind answerer.Kind) {
	t.Helper()
	assert.Equal(t, response.Header.Get(answerer.HeaderResult), string(kind))
	assert.Equal(t, response.StatusCode, kind.Response().Status)
	assert.Equal(t, response.Header.Get(answerer.HeaderNotRun) == "true", kind.Response().NotRun)
}

// Guards against bad input that is passed on or answered without a reason.
func TestBadInputIsRefused(t *testing.T) {
	server := serve(t, &vms{handlers: map[string]func(context.Context, *carrier.Request) (*carrier.Response, error){"a": echo}})
	id := "Cuminstream-Request-Id"
	for name, bad := range map[string]struct {
		method, path, body string
		header             []string
		kind               answerer.Kind
		reason             string
	}{
		"unknown service": {"GET", "/nothing", "", nil, answerer.UnknownService, "/nothing"},
		"no key":          {"GET", "/quotes", "", nil, answerer.Malformed, "path segment 2"},
		"long key":        {"GET", "/quotes/" + strings.Repeat("k", 2000), "", nil, answerer.Malformed, "2000 bytes"},
		"no ID":           {"POST", "/quotes/k", "", nil, answerer.Malformed, id},
		"long ID":         {"POST", "/quotes/k", "", []string{id, strings.Repeat("i", 200)}, answerer.Malformed, "200 bytes"},
		"ID with space":   {"POST", "/quotes/k", "", []string{id, "a b"}, answerer.Malformed, "visible ASCII"},
		"rank":            {"GET", "/quotes/k", "", []string{"Cuminstream-Rank", "vip"}, answerer.Malformed, "vip"},
		"timeout":         {"GET", "/quotes/k", "", []string{"Cuminstream-Timeout", "2s"}, answerer.Malformed, "milliseconds"},
		"upgrade":         {"GET", "/quotes/k", "", []string{"Upgrade", "h2c"}, answerer.Malformed, "upgrades"},
		"large body":      {"PUT", "/quotes/k", strings.Repeat("b", 1<<20+1), nil, answerer.TooLarge, "1048577 bytes"},
	} {
		t.Run(name, func(t *testing.T) {
			response, body := send(t, server, bad.method, bad.path, bad.body, bad.header...)
			expect(t, response, bad.kind)
			assert.Assert(t, strings.Contains(body, bad.reason), body)
		})
	}
}

// Guards against a caller that raises its own urgency or extends its deadline.
func TestCallerMayOnlyLowerUrgencyAndTimeout(t *testing.T) {
	var seen *carrier.Request
	fleet := &vms{handlers: map[string]func(context.Context, *carrier.Request) (*carrier.Response, error){
		"a": func(ctx context.Context, request *carrier.Request) (*carrier.Response, error) {
			seen = request
			return echo(ctx, request)
		},
	}}
	server := serve(t, fleet)
	send(t, server, "GET", "/quotes/k", "", "Cuminstream-Rank", "lookup", "Cuminstream-Timeout", "60000")
	assert.Equal(t, seen.Rank, queuer.Transaction)
	assert.Assert(t, time.Until(seen.Deadline) < 2*time.Second)
	send(t, server, "GET", "/quotes/k", "", "Cuminstream-Rank", "upload")
	assert.Equal(t, seen.Rank, queuer.Upload)
}

// Guards against a request that fails because its holder has moved.
func TestRequestFollowsTheHolder(t *testing.T) {
	fleet := &vms{handlers: map[string]func(context.Context, *carrier.Request) (*carrier.Response, error){"c": echo}}
	response, body := send(t, serve(t, fleet), "PUT", "/quotes/k", "content")
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, response.Header.Get(answerer.HeaderResult), "done")
	assert.Equal(t, body, "content")
	assert.DeepEqual(t, fleet.calls, []string{"a", "b", "c"})
}

// Guards against a request that fails because its group is handed over.
func TestRequestFollowsAHandOver(t *testing.T) {
	stopping := func(context.Context, *carrier.Request) (*carrier.Response, error) {
		return nil, answerer.New(answerer.NotRunStopping, "the group is given up by this VM")
	}
	fleet := &vms{handlers: map[string]func(context.Context, *carrier.Request) (*carrier.Response, error){"a": stopping, "b": echo}}
	response, body := send(t, serve(t, fleet), "POST", "/quotes/k", "content", "Cuminstream-Request-Id", "r1")
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, body, "content")
}

// Guards against "not run" for a request that a lost holder may have run.
func TestLostHolderOfNonIdempotentRequestIsNotDenied(t *testing.T) {
	lost := func(context.Context, *carrier.Request) (*carrier.Response, error) {
		return nil, answerer.New(answerer.OutcomeUnknown, "%w", linker.ErrLinkLost)
	}
	fleet := &vms{handlers: map[string]func(context.Context, *carrier.Request) (*carrier.Response, error){"a": lost}}
	response, _ := send(t, serve(t, fleet), "POST", "/quotes/k", "{}", "Cuminstream-Request-Id", "r1", "Cuminstream-Timeout", "200")
	expect(t, response, answerer.OutcomeUnknown)
}

// Guards against "unknown service" from a VM that has just started and cannot
// know the services yet.
func TestUnknownDocumentIsNotUnknownService(t *testing.T) {
	routes := &router.Router{
		Clock: clocker.System{}, VM: "self", Matcher: nothing{}, Locator: locator.New(), Metrics: router.NewMetrics(prometheus.NewRegistry()),
	}
	server := httptest.NewServer(routes.Handler())
	defer server.Close()
	response, _ := send(t, server, "GET", "/quotes/k", "")
	expect(t, response, answerer.NotRunUnavailable)
}

type nothing struct{}

func (nothing) Match(string, string, string) (*configurer.Match, bool) { return nil, false }
func (nothing) HasDocument() bool                                      { return false }

// Guards against waiting for a zone that cannot be reached.
func TestUnreachableGroupIsRefusedAtOnce(t *testing.T) {
	fleet := &vms{dead: map[string]bool{"a": true, "b": true, "c": true}}
	began := time.Now()
	response, _ := send(t, serve(t, fleet), "GET", "/quotes/k", "")
	expect(t, response, answerer.NotRunUnavailable)
	assert.Assert(t, time.Since(began) < 100*time.Millisecond)
	assert.Equal(t, len(fleet.calls), 0)
}

// Guards against a retry of idempotent requests beyond one for each request.
func TestIdempotentRequestIsRetriedOnce(t *testing.T) {
	lost := func(context.Context, *carrier.Request) (*carrier.Response, error) {
		return nil, answerer.New(answerer.UpstreamFailed, "%w", linker.ErrLinkLost)
	}
	fleet := &vms{handlers: map[string]func(context.Context, *carrier.Request) (*carrier.Response, error){"a": lost, "b": lost, "c": echo}}
	response, _ := send(t, serve(t, fleet), "GET", "/quotes/k", "")
	expect(t, response, answerer.UpstreamFailed)
	assert.DeepEqual(t, fleet.calls, []string{"a", "b"})
}

// Guards against a cut answer that looks complete to the caller.
func TestCutAnswerIsVisible(t *testing.T) {
	for name, length := range map[string]int64{"known length": 100, "unknown length": -1} {
		t.Run(name, func(t *testing.T) {
			cut := func(context.Context, *carrier.Request) (*carrier.Response, error) {
				body := io.MultiReader(strings.NewReader("half"), failing{})
				return &carrier.Response{Status: http.StatusOK, ContentLength: length, Body: io.NopCloser(body)}, nil
			}
			server := serve(t, &vms{handlers: map[string]func(context.Context, *carrier.Request) (*carrier.Response, error){"a": cut}})
			response, err := server.Client().Get(server.URL + "/quotes/k")
			if err != nil {
				return // the connection ended before the header was sent
			}
			defer response.Body.Close()
			_, err = io.ReadAll(response.Body)
			assert.Assert(t, err != nil)
		})
	}
}

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, answerer.New(answerer.CutBody, "link lost") }

// Guards against a request that hangs on a frozen VM until its deadline.
func TestSuspectedVMReleasesItsRequests(t *testing.T) {
	reached := make(chan struct{})
	frozen := func(ctx context.Context, _ *carrier.Request) (*carrier.Response, error) {
		close(reached)
		<-ctx.Done()
		return nil, answerer.New(answerer.UpstreamFailed, "given up: %w", context.Cause(ctx))
	}
	fleet := &vms{handlers: map[string]func(context.Context, *carrier.Request) (*carrier.Response, error){"a": frozen, "b": echo}}
	places := locator.New()
	places.SetShardMap(locator.ShardMap{Service: "quotes", Groups: []string{"g"}, Shards: []int{0}, Revision: 1})
	places.SetCandidates("g", []string{"a", "b"})
	routes := &router.Router{
		Clock: clocker.System{}, VM: "self", Matcher: anyService{}, Locator: places, Local: fleet, Forwarder: fleet, Liveness: fleet,
		TakeoverTimeout: time.Second, Metrics: router.NewMetrics(prometheus.NewRegistry()),
	}
	server := httptest.NewServer(routes.Handler())
	defer server.Close()
	result := make(chan error, 1)
	go func() {
		response, err := server.Client().Get(server.URL + "/k")
		if err == nil {
			defer response.Body.Close()
			if response.StatusCode != http.StatusOK {
				err = errors.New(response.Status)
			}
		}
		result <- err
	}()
	<-reached
	routes.CancelForwarded("a")
	assert.NilError(t, <-result)
}

// known is a document that has been accepted.
type known struct{ *configurer.Document }

func (known) HasDocument() bool { return true }

type anyService struct{}

func (anyService) HasDocument() bool { return true }

func (anyService) Match(string, string, string) (*configurer.Match, bool) {
	service := &configurer.Service{Name: "quotes", Key: configurer.KeySource{PathSegment: 1}}
	return &configurer.Match{Service: service, Idempotent: true, Timeout: 10 * time.Second, MaxBody: 1000}, true
}
