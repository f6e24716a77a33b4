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
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

const (
	// controlConnections are kept apart from those of requests, so that a
	// renewal never waits for a request.
	controlConnections = 2
	dialTimeout        = time.Second
	keepAlive          = 15 * time.Second
	// idleTimeout is below the common 60 s after which servers close idle
	// connections, so that fewer requests meet a connection that is closing.
	idleTimeout = 45 * time.Second
	// continueTimeout is how long a large body is held back for an upstream
	// that does not answer to Expect: 100-continue.
	continueTimeout  = time.Second
	maxHeaderBytes   = 256 << 10
	streamBufferSize = 32 << 10
	// smallBody is sent without asking first.
	smallBody = 64 << 10
)

// Client sends requests and grants to upstreams. It is safe for use by several
// goroutines.
type Client struct {
	// Dial opens connections. It may be replaced before the first call.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	clock      clocker.Clock
	mutex      sync.Mutex
	transports map[string]*transports
}

// transports are the connections to one upstream.
type transports struct {
	work, control *http.Transport
	connections   int
}

// New returns a client without connections.
func New(clock clocker.Clock) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	return &Client{Dial: dialer.DialContext, clock: clock, transports: map[string]*transports{}}
}

// Close closes the idle connections to all upstreams.
func (client *Client) Close() {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	for _, transports := range client.transports {
		transports.work.CloseIdleConnections()
		transports.control.CloseIdleConnections()
	}
	client.transports = map[string]*transports{}
}

// RemoveUpstream closes the idle connections to an upstream that has left.
func (client *Client) RemoveUpstream(address string) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if transports, ok := client.transports[address]; ok {
		transports.work.CloseIdleConnections()
		transports.control.CloseIdleConnections()
		delete(client.transports, address)
	}
}

func (client *Client) to(upstream configurer.Upstream) *transports {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	known, ok := client.transports[upstream.Address]
	if ok && known.connections == upstream.Connections {
		return known
	}
	if ok {
		known.work.CloseIdleConnections()
		known.control.CloseIdleConnections()
	}
	created := &transports{
		work:        client.newTransport(max(upstream.Connections-controlConnections, 1)),
		control:     client.newTransport(controlConnections),
		connections: upstream.Connections,
	}
	client.transports[upstream.Address] = created
	return created
}

func (client *Client) newTransport(connections int) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := client.Dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &connection{Conn: conn}, nil
		},
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        idleTimeout,
		ExpectContinueTimeout:  continueTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         streamBufferSize,
		WriteBufferSize:        streamBufferSize,
		DisableCompression:     true,
	}
}

// Send implements dispatcher.UpstreamClient.
func (client *Client) Send(ctx context.Context, upstream configurer.Upstream, request *carrier.Request, term uint64) (*carrier.Response, error) {
	if upgrades(request) {
		return nil, &dispatcher.NotStartedError{Reason: dispatcher.ReasonInvalid, Cause: errors.New("the protocol of a connection cannot be changed")}
	}
	attempt := &attempt{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { attempt.got(info.Conn) },
	})
	outgoing, err := client.outgoing(ctx, upstream, request, term)
	if err != nil {
		return nil, &dispatcher.NotStartedError{Reason: dispatcher.ReasonInvalid, Cause: err}
	}
	response, err := client.to(upstream).work.RoundTrip(outgoing)
	if err != nil {
		_ = outgoing.Body.Close()
		if attempt.unsent() {
			return nil, &dispatcher.NotStartedError{Reason: dispatcher.ReasonDial, Cause: err}
		}
		return nil, fmt.Errorf("sending to upstream %s: %w", upstream.Name, err)
	}
	if refusal := refusal(response); refusal != nil {
		_ = response.Body.Close()
		_ = outgoing.Body.Close()
		return nil, refusal
	}
	if response.StatusCode == http.StatusSwitchingProtocols {
		_ = response.Body.Close()
		return nil, fmt.Errorf("upstream %s changed the protocol without being asked", upstream.Name)
	}
	return answer(upstream, response), nil
}

// outgoing builds the request to the upstream. Its body is never nil and has no
// GetBody, so that net/http does not repeat the request by itself when a reused
// connection breaks.
func (client *Client) outgoing(ctx context.Context, upstream configurer.Upstream, request *carrier.Request, term uint64) (*http.Request, error) {
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
		Header: outgoing(request, term, request.Deadline.Sub(client.clock.Now())),
		Body:   body, ContentLength: request.ContentLength,
	}
	if len(trailer) > 0 {
		result.Trailer, result.ContentLength = trailer, -1
	}
	if request.Body == nil && emptyPost(request.Method) {
		// An unknown length would be sent as an empty chunked body.
		result.Header.Set("Content-Length", "0")
		result.Body = http.NoBody
	}
	if request.Body != nil && (request.ContentLength < 0 || request.ContentLength > smallBody) {
		result.Header.Set("Expect", "100-continue")
	}
	return result.WithContext(ctx), nil
}

// emptyPost reports whether net/http sends Content-Length: 0 for the method.
// It does not repeat these methods, because hideIdempotencyKey removes the only
// sign by which it would.
func emptyPost(method string) bool {
	switch method {
	case http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete:
		return true
	}
	return false
}

// refusal returns the error of an answer by which the upstream declares that it
// has not started the request.
func refusal(response *http.Response) error {
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

func answer(upstream configurer.Upstream, response *http.Response) *carrier.Response {
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
