package upstreamer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cuminstream/cuminstream/internal/carrier"
	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/dispatcher"
	"github.com/cuminstream/cuminstream/internal/verifier"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

const (
	// controlConnections are reserved for grants and probes, so that the renewal
	// of a grant never waits for a request.
	controlConnections = 2
	dialTimeout        = time.Second
	keepAlive          = 15 * time.Second
	// idleTimeout is below the 60 s after which servers commonly close idle
	// connections, so that fewer requests are sent on a connection that the
	// server is closing.
	idleTimeout = 45 * time.Second
	// continueTimeout is how long the sending of a large body is delayed for an
	// upstream that does not respond to Expect: 100-continue.
	continueTimeout = time.Second
	// maxHeaderBytes bounds the head of a response. Its parsed form takes several times as much.
	maxHeaderBytes = 64 << 10
	bufferSize     = 32 << 10
	// maxBodyWithoutExpect is the size up to which a body is sent without Expect:
	// 100-continue.
	maxBodyWithoutExpect = 64 << 10
)

// Client sends requests, grants and probes to upstreams. It is safe for
// concurrent use.
type Client struct {
	// Dial opens connections. It must not be changed after the first call.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	clock      clocker.Clock
	mutex      sync.Mutex
	transports map[string]*upstreamTransports
}

// upstreamTransports holds the connection pools of one upstream.
type upstreamTransports struct {
	requests, control *verifier.Transport
	connections       int
}

// New returns a client. It opens connections when they are first needed.
func New(clock clocker.Clock) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	return &Client{Dial: dialer.DialContext, clock: clock, transports: map[string]*upstreamTransports{}}
}

// Close closes the idle connections to all upstreams.
func (client *Client) Close() {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	for _, transports := range client.transports {
		transports.requests.CloseIdleConnections()
		transports.control.CloseIdleConnections()
	}
	client.transports = map[string]*upstreamTransports{}
}

// RemoveUpstream closes the idle connections to a removed upstream.
func (client *Client) RemoveUpstream(address string) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if transports, ok := client.transports[address]; ok {
		transports.requests.CloseIdleConnections()
		transports.control.CloseIdleConnections()
		delete(client.transports, address)
	}
}

// transportsFor returns the upstream's transports and replaces them when its
// number of connections has changed.
func (client *Client) transportsFor(upstream configurer.Upstream) *upstreamTransports {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	existing, ok := client.transports[upstream.Address]
	if ok && existing.connections == upstream.Connections {
		return existing
	}
	if ok {
		existing.requests.CloseIdleConnections()
		existing.control.CloseIdleConnections()
	}
	created := &upstreamTransports{
		requests:    client.newTransport(max(upstream.Connections-controlConnections, 1)),
		control:     client.newTransport(controlConnections),
		connections: upstream.Connections,
	}
	client.transports[upstream.Address] = created
	return created
}

// newTransport returns a transport that opens at most the given number of connections
// and counts the bytes written to each.
func (client *Client) newTransport(connections int) *verifier.Transport {
	return &verifier.Transport{OneServer: true, Base: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := client.Dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: verifier.NewConn(conn)}, nil
		},
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        idleTimeout,
		ExpectContinueTimeout:  continueTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         bufferSize,
		WriteBufferSize:        bufferSize,
		DisableCompression:     true,
	}}
}

// Send implements dispatcher.UpstreamClient.
func (client *Client) Send(ctx context.Context, upstream configurer.Upstream, request *carrier.Request, term uint64) (*carrier.Response, error) {
	if requestsUpgrade(request) {
		return nil, &dispatcher.NotStartedError{Reason: dispatcher.ReasonInvalid, Cause: errors.New("the protocol of a connection cannot be changed")}
	}
	attempt := &attempt{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { attempt.setConnection(info.Conn) },
	})
	outgoing, err := client.newRequest(ctx, upstream, request, term)
	if err != nil {
		return nil, &dispatcher.NotStartedError{Reason: dispatcher.ReasonInvalid, Cause: err}
	}
	response, err := client.transportsFor(upstream).requests.RoundTrip(outgoing)
	if err != nil {
		_ = outgoing.Body.Close()
		if attempt.unsent() {
			return nil, &dispatcher.NotStartedError{Reason: dispatcher.ReasonDial, Cause: err}
		}
		return nil, fmt.Errorf("sending to upstream %s: %w", upstream.Name, err)
	}
	if refusal := refusalError(response); refusal != nil {
		_ = response.Body.Close()
		_ = outgoing.Body.Close()
		return nil, refusal
	}
	if response.StatusCode == http.StatusSwitchingProtocols {
		_ = response.Body.Close()
		return nil, fmt.Errorf("upstream %s changed the protocol without being asked", upstream.Name)
	}
	return newResponse(upstream, response), nil
}

// newRequest builds the request to the upstream. Its body is never nil and has no
// GetBody, so that net/http does not retry the request when a reused connection
// breaks.
func (client *Client) newRequest(ctx context.Context, upstream configurer.Upstream, request *carrier.Request, term uint64) (*http.Request, error) {
	target, err := url.ParseRequestURI(request.Target)
	if err != nil {
		return nil, err
	}
	target.Scheme, target.Host = "http", upstream.Address
	trailer := http.Header{}
	for name := range request.Trailer {
		trailer[name] = nil
	}
	body := &requestBody{request: request, trailer: trailer}
	result := &http.Request{
		Method: request.Method, URL: target, Host: request.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: requestHeader(request, term, request.Deadline.Sub(client.clock.Now())),
		Body:   body, ContentLength: request.ContentLength,
	}
	if len(trailer) > 0 {
		result.Trailer, result.ContentLength = trailer, -1
	}
	if request.Body == nil && sendsZeroLength(request.Method) {
		// A body of unknown length would be sent as an empty chunked body.
		result.Header.Set("Content-Length", "0")
		result.Body = http.NoBody
	}
	if request.Body != nil && (request.ContentLength < 0 || request.ContentLength > maxBodyWithoutExpect) {
		result.Header.Set("Expect", "100-continue")
	}
	return result.WithContext(ctx), nil
}

// sendsZeroLength reports whether net/http sends Content-Length: 0 for an empty body
// of this method. net/http retries these methods only if it finds an idempotency
// key, which lowercaseIdempotencyKeys hides from it.
func sendsZeroLength(method string) bool {
	switch method {
	case http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete:
		return true
	}
	return false
}

// refusalError returns a *dispatcher.NotStartedError if the upstream declares in its
// response that it has not started the request, and otherwise nil.
func refusalError(response *http.Response) error {
	reason := dispatcher.Reason(response.Header.Get(headerRefusal))
	fenced := reason == dispatcher.ReasonFenced && response.StatusCode == http.StatusConflict
	shed := reason == dispatcher.ReasonShed && response.StatusCode == http.StatusServiceUnavailable
	if !fenced && !shed {
		return nil
	}
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	return &dispatcher.NotStartedError{
		Reason: reason, RetryAfter: time.Duration(seconds) * time.Second,
		Cause: fmt.Errorf("status %s", response.Status),
	}
}

// newResponse converts the upstream's response.
func newResponse(upstream configurer.Upstream, response *http.Response) *carrier.Response {
	trailer := http.Header{}
	for name := range response.Trailer {
		trailer[name] = nil
	}
	return &carrier.Response{
		Status:        response.StatusCode,
		Header:        endToEnd(response.Header),
		ContentLength: response.ContentLength,
		Body:          &responseBody{ReadCloser: response.Body, upstream: upstream.Name, response: response, trailer: trailer},
		Trailer:       trailer,
	}
}
