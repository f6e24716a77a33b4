package courier

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cuminstream/cuminstream/internal/fronter"
	"github.com/cuminstream/cuminstream/internal/sender"
	"github.com/cuminstream/cuminstream/pkg/broker"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/matcher"
	"github.com/cuminstream/cuminstream/pkg/splitter"
)

// Protocol reads and sets the headers of requests.
type Protocol interface {
	RequestID(header http.Header) string
	TimeLeft(header http.Header) (left time.Duration, ok bool)
	Key(header http.Header) (key int, ok bool)
	SetUpstreamHeaders(header http.Header, upstream string, left time.Duration)
}

// Slot is a slot at an upstream.
type Slot struct {
	broker.Decision
	// Broker is the VM that assigned the slot; empty when this VM did so itself
	// because the service's broker could not be reached.
	Broker string
	Term   uint64
}

// Allocator assigns slots.
type Allocator interface {
	// Acquire returns a slot or a refusal. It waits at most until ctx ends.
	Acquire(ctx context.Context, service string, ask broker.Request) Slot
	// Release ends the use of a slot.
	Release(service string, slot Slot, result broker.Result)
}

// Sender sends requests to upstreams.
type Sender interface {
	Send(ctx context.Context, upstream sender.Upstream, request *sender.Request) (*sender.Response, error)
}

// Forwarder serves callers' requests. The exported fields are set before its
// first use.
type Forwarder struct {
	VM        string
	Zone      string
	Clock     clocker.Clock
	Protocol  Protocol
	Allocator Allocator
	Sender    Sender
	Log       *slog.Logger
	Metrics   *Metrics
	// MaxBufferedBytes bounds the bytes of request bodies that are held in memory.
	MaxBufferedBytes int64

	table     atomic.Pointer[matcher.Table]
	held      atomic.Int64
	mutex     sync.Mutex
	splitters map[string]*split
}

// split is the splitter of a route and the weights that it was made for.
type split struct {
	weights  string
	splitter *splitter.Splitter
}

const (
	// defaultLimit bounds requests for which neither the caller nor the route
	// states a time.
	defaultLimit = 10 * time.Second
	// maxWhole is the largest body that is held and can be sent again. Uploads of
	// usual size fit, so that a slow caller occupies no slot while it sends.
	maxWhole = 1 << 20
	// maxUnsent bounds the upstreams that are tried without sending a byte.
	maxUnsent = 4
	// refusedRetryAfter is the hint to callers whose request was refused by the
	// upstreams that it was sent to.
	refusedRetryAfter = 150 * time.Millisecond
	// unknownRetryAfter is the hint while this VM has no configuration yet.
	unknownRetryAfter = 500 * time.Millisecond
)

// SetTable puts a configuration into force. Older versions are ignored.
func (courier *Forwarder) SetTable(table *matcher.Table) bool {
	for {
		current := courier.table.Load()
		if current != nil && current.Config.Version >= table.Config.Version {
			return false
		}
		if courier.table.CompareAndSwap(current, table) {
			return true
		}
	}
}

// Table returns the configuration in force, or nil.
func (courier *Forwarder) Table() *matcher.Table { return courier.table.Load() }

// Limits returns the limits in force for callers' connections.
func (courier *Forwarder) Limits() fronter.Limits {
	limits := fronter.Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
	if table := courier.table.Load(); table != nil {
		configured := table.Config.Limits
		limits.HeaderBytes = positive(configured.HeaderBytes, limits.HeaderBytes)
		limits.BodyBytes = positive(configured.BodyBytes, limits.BodyBytes)
		limits.HeaderTimeout = positive(configured.HeaderTimeout, limits.HeaderTimeout)
		limits.IdleTimeout = positive(configured.IdleTimeout, limits.IdleTimeout)
	}
	return limits
}

func positive[T int64 | time.Duration](value, otherwise T) T {
	if value > 0 {
		return value
	}
	return otherwise
}

// path returns the path of a request target, as it was sent.
func path(target string) string {
	if !strings.HasPrefix(target, "/") {
		if _, rest, ok := strings.Cut(target, "://"); ok {
			if slash := strings.IndexByte(rest, '/'); slash >= 0 {
				target = rest[slash:]
			}
		}
	}
	if end := strings.IndexAny(target, "?#"); end >= 0 {
		target = target[:end]
	}
	return target
}

// part returns the service for the next request of the route.
func (courier *Forwarder) part(route *matcher.Route) string {
	if len(route.Services) == 1 {
		return route.Services[0].Service
	}
	weights := make([]int, len(route.Services))
	var key strings.Builder
	for i, part := range route.Services {
		weights[i] = part.Weight
		key.WriteString(part.Service + "=" + strconv.Itoa(part.Weight) + ",")
	}
	courier.mutex.Lock()
	defer courier.mutex.Unlock()
	if courier.splitters == nil {
		courier.splitters = map[string]*split{}
	}
	known := courier.splitters[route.Name]
	if known == nil || known.weights != key.String() {
		offset := 0
		for _, char := range courier.VM {
			offset = offset*31 + int(char)
		}
		known = &split{weights: key.String(), splitter: splitter.New(weights, max(offset, -offset))}
		courier.splitters[route.Name] = known
	}
	return route.Services[known.splitter.Next()].Service
}

// Serve implements fronter.Handler.
func (courier *Forwarder) Serve(ctx context.Context, request *fronter.Request) *fronter.Response {
	delivery := &delivery{Forwarder: courier, request: request, id: courier.Protocol.RequestID(request.Header)}
	answer := delivery.run(ctx)
	delivery.logAnswer(ctx, answer)
	return answer
}

// delivery is one request on its way.
type delivery struct {
	*Forwarder
	request *fronter.Request
	id      string
	table   *matcher.Table
	route   *matcher.Route
	service matcher.Service
	key     int
	end     time.Time // when the answer is of no more use
	body    []byte
	stream  io.Reader

	sent    int  // upstreams that the request was sent to
	mayRun  bool // an upstream may have run it
	unsent  int  // upstreams to which no byte was sent
	exclude []string
	reason  string // why the answer is what it is
}

func (delivery *delivery) run(ctx context.Context) *fronter.Response {
	delivery.table = delivery.Forwarder.table.Load()
	if delivery.table == nil {
		return delivery.notRun(http.StatusServiceUnavailable, "no configuration yet", unknownRetryAfter)
	}
	delivery.route = delivery.table.Match(delivery.request.Host, path(delivery.request.Target))
	if delivery.route == nil {
		return delivery.refuse(http.StatusNotFound, "no route")
	}
	delivery.service = delivery.table.Config.Services[delivery.part(delivery.route)]
	delivery.key = broker.NoKey
	if delivery.service.Keyed {
		key, ok := delivery.Protocol.Key(delivery.request.Header)
		if !ok {
			return delivery.refuse(http.StatusBadRequest, "the service needs a key and the request states none")
		}
		delivery.key = key
	}
	limit := defaultLimit
	if left, ok := delivery.Protocol.TimeLeft(delivery.request.Header); ok {
		limit = left
	} else if delivery.route.Timeout > 0 {
		limit = delivery.route.Timeout
	}
	if delivery.route.Timeout > 0 {
		limit = min(limit, delivery.route.Timeout)
	}
	delivery.end = delivery.request.ReceivedAt.Add(limit)
	ctx, cancel := clocker.WithTimeout(ctx, delivery.Clock, delivery.end.Sub(delivery.Clock.Now()))
	defer cancel()
	defer func() { delivery.held.Add(-int64(len(delivery.body))) }()
	if answer := delivery.readBody(); answer != nil {
		return answer
	}
	for {
		if answer := delivery.attempt(ctx); answer != nil {
			return answer
		}
	}
}

// readBody reads the body when it can be held. Larger ones are passed on as they
// arrive.
func (delivery *delivery) readBody() *fronter.Response {
	request := delivery.request
	if request.Body == nil {
		return nil
	}
	limits := delivery.Limits()
	if request.ContentLength > limits.BodyBytes {
		return delivery.refuse(http.StatusRequestEntityTooLarge, "the body exceeds the limit")
	}
	request.SetBodyDeadline(delivery.end)
	if delivery.held.Load() > delivery.MaxBufferedBytes {
		delivery.stream = request.Body
		return nil
	}
	first := int64(maxWhole)
	if request.ContentLength > maxWhole {
		first = 0
	}
	body, err := io.ReadAll(io.LimitReader(request.Body, first))
	delivery.held.Add(int64(len(body)))
	delivery.body = body
	switch {
	case errors.Is(err, fronter.ErrBodyTooLarge):
		return delivery.refuse(http.StatusRequestEntityTooLarge, "the body exceeds the limit")
	case err != nil:
		return delivery.refuse(http.StatusBadRequest, "the body could not be read: "+err.Error())
	case int64(len(body)) == first:
		delivery.stream = request.Body
	}
	return nil
}

// refuse answers a request that was not passed on.
func (delivery *delivery) refuse(status int, reason string) *fronter.Response {
	delivery.reason = reason
	return &fronter.Response{Status: status, Header: http.Header{}, Close: delivery.request.Body != nil && delivery.body == nil}
}

// notRun answers a request that has certainly not run and never will.
func (delivery *delivery) notRun(status int, reason string, retryAfter time.Duration) *fronter.Response {
	answer := delivery.refuse(status, reason)
	if retryAfter > 0 {
		answer.Header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	return answer
}

// unknown answers a request that may have run.
func (delivery *delivery) unknown(status int, reason string) *fronter.Response {
	return delivery.refuse(status, reason)
}
