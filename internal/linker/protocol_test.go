package linker

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/carrier"
	"github.com/cuminstream/cuminstream/pkg/answerer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

var sharedKey = []byte("key")

// fixedAddress is a Directory that gives all VMs the same address.
type fixedAddress string

func (address fixedAddress) LinkAddress(string) (string, bool) { return string(address), true }

// countingHandler answers immediately and counts the requests.
type countingHandler struct{ count atomic.Int64 }

func (handler *countingHandler) Handle(context.Context, *carrier.Request) (*carrier.Response, error) {
	handler.count.Add(1)
	return &carrier.Response{Status: http.StatusOK}, nil
}

// startServer runs a server and returns its address.
func startServer(t testing.TB, server *Server) string {
	t.Helper()
	server.VM, server.SharedKey = "b", sharedKey
	listener := httptest.NewServer(server)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return server.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, group.Wait())
		listener.Close()
	})
	return listener.Listener.Addr().String()
}

// dialLink returns an authenticated link that no Pool manages.
func dialLink(t testing.TB, address string, kind linkKind) *connection {
	t.Helper()
	pool := &Pool{VM: "a", SharedKey: sharedKey}
	pool.init()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	link, err := pool.connect(ctx, "b", address, kind)
	assert.NilError(t, err)
	t.Cleanup(func() {
		link.abort()
		link.close()
	})
	return link
}

func encodeMessage(t testing.TB, items ...any) []byte {
	t.Helper()
	var buffer bytes.Buffer
	assert.NilError(t, encode(&buffer, items...))
	return buffer.Bytes()
}

// Guards against a server that accepts a client without the shared key, and against
// a client that accepts a server without it.
func TestHandshakeRejectsWrongKey(t *testing.T) {
	handler := &countingHandler{}
	address := startServer(t, &Server{Handler: handler})
	pool := &Pool{VM: "a", SharedKey: []byte("another key"), Directory: fixedAddress(address)}
	_, err := pool.Forward(t.Context(), "b", &carrier.Request{Method: "GET"})
	assert.Equal(t, answerer.From(err).Kind, answerer.NotRunUnavailable)
	assert.ErrorContains(t, err, "refused the shared key")

	impostor := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		socket, err := websocket.Accept(writer, request, nil)
		assert.Check(t, err)
		_ = sendHandshake(request.Context(), socket, hello{Nonce: newNonce(), VM: "b"})
		var answer proof
		_ = receiveHandshake(request.Context(), socket, &answer)
		// The client must not accept its own MAC as that of the server.
		_ = sendHandshake(request.Context(), socket, acceptance{MAC: answer.MAC})
		_, _, _ = socket.Read(request.Context())
	}))
	defer impostor.Close()
	pool = &Pool{VM: "a", SharedKey: sharedKey, Directory: fixedAddress(impostor.Listener.Addr().String())}
	_, err = pool.Forward(t.Context(), "b", &carrier.Request{Method: "GET"})
	assert.Assert(t, errors.Is(err, errKeyNotProved), "%v", err)
	assert.Equal(t, handler.count.Load(), int64(0))
}

// Guards against calls to the wrong VM when another VM has taken over an address.
func TestDialRejectsUnexpectedVM(t *testing.T) {
	address := startServer(t, &Server{Handler: &countingHandler{}})
	pool := &Pool{VM: "a", SharedKey: sharedKey, Directory: fixedAddress(address)}
	err := pool.Call(t.Context(), "c", "ping", nil, nil)
	assert.ErrorContains(t, err, `the address belongs to VM "b"`)
}

// Guards against messages above the size bounds, before and after authentication.
func TestOversizedMessages(t *testing.T) {
	handler := &countingHandler{}
	address := startServer(t, &Server{Handler: handler})
	socket, _, err := websocket.Dial(t.Context(), "ws://"+address, nil)
	assert.NilError(t, err)
	_ = socket.Write(t.Context(), websocket.MessageBinary, make([]byte, maxHandshakeMessage+1))
	_, _, err = socket.Read(t.Context()) // hello
	assert.NilError(t, err)
	_, _, err = socket.Read(t.Context())
	assert.Equal(t, websocket.CloseStatus(err), websocket.StatusMessageTooBig)

	link := dialLink(t, address, requestLink)
	head := encodeMessage(t, frame{Kind: kindRequestHead, Sequence: 1, Request: 1, Last: true}, requestHead{Method: "GET", HasBody: true})
	_ = link.write(append(head, make([]byte, maxMessage)...))
	_, err = link.read()
	assert.Assert(t, err != nil)
	link = dialLink(t, address, requestLink)
	assert.NilError(t, link.write(encodeMessage(t, frame{Kind: kindRequestHead, Sequence: 1, Request: 1}, requestHead{Method: "PUT", HasBody: true})))
	chunk := encodeMessage(t, frame{Kind: kindBodyChunk, Sequence: 2, Request: 1})
	_ = link.write(append(chunk, make([]byte, maxChunk+1)...))
	for err = nil; err == nil; {
		_, err = link.read()
	}
	assert.Equal(t, handler.count.Load(), int64(1))
}

// Guards against connections that never authenticate: their number is bounded, and
// they are closed after the handshake timeout.
func TestUnauthenticatedConnectionsAreBounded(t *testing.T) {
	const maxPending, attempts = 8, 40
	clock := clocker.NewFake(time.Unix(0, 0))
	server := &Server{Handler: &countingHandler{}, Clock: clock, MaxPendingHandshakes: maxPending, Metrics: NewMetrics()}
	address := startServer(t, server)
	var sockets []*websocket.Conn
	for range attempts {
		socket, response, err := websocket.Dial(t.Context(), "ws://"+address, nil)
		if err != nil {
			assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
			continue
		}
		sockets = append(sockets, socket)
	}
	assert.Equal(t, len(sockets), maxPending)
	assert.Equal(t, testutil.ToFloat64(server.Metrics.handshakes.WithLabelValues("accepting", "refused")), float64(attempts-maxPending))
	clock.Advance(defaultHandshakeTimeout)
	for _, socket := range sockets {
		_, _, err := socket.Read(t.Context())
		for err == nil {
			_, _, err = socket.Read(t.Context())
		}
		_ = socket.CloseNow()
	}
	assert.Equal(t, waitForNoHandshakes(t, server), 0)
	link := dialLink(t, address, controlLink)
	assert.Equal(t, link.peer, "b")
}

// waitForNoHandshakes waits until no handshake is pending and returns 0, or returns
// -1 after about 5 s.
func waitForNoHandshakes(t testing.TB, server *Server) int {
	t.Helper()
	for range 5000 {
		server.mutex.Lock()
		pending := server.pendingHandshakes
		server.mutex.Unlock()
		if pending == 0 {
			return 0
		}
		_ = clocker.Sleep(t.Context(), clocker.System{}, time.Millisecond)
	}
	return -1
}

// Guards against running a request twice, or under the number of another request,
// when messages are repeated, skipped, malformed or of the wrong kind.
func TestUnexpectedMessagesCloseTheLink(t *testing.T) {
	head := func(sequence, request uint64) []byte {
		return encodeMessage(t, frame{Kind: kindRequestHead, Sequence: sequence, Request: request}, requestHead{Method: "GET"})
	}
	for name, second := range map[string][]byte{
		"repeated head":           head(1, 1),
		"repeated request number": head(2, 1),
		"skipped sequence":        head(3, 2),
		"skipped request number":  head(2, 3),
		"body of no request":      encodeMessage(t, frame{Kind: kindBodyChunk, Sequence: 2, Request: 1}),
		"answer to the server":    encodeMessage(t, frame{Kind: kindResponseHead, Sequence: 2, Request: 1}, responseHead{}),
		"call on a request link":  encodeMessage(t, callFrame{Kind: kindCall, ID: 2}, callHead{Method: "ping"}),
		"not CBOR":                {0xff, 0xff},
		"empty":                   {},
	} {
		t.Run(name, func(t *testing.T) {
			handler := &countingHandler{}
			server := &Server{Handler: handler, Metrics: NewMetrics()}
			link := dialLink(t, startServer(t, server), requestLink)
			assert.NilError(t, link.write(head(1, 1)))
			_, err := link.read() // response to the first request
			assert.NilError(t, err)
			assert.NilError(t, link.write(second))
			_, err = link.read()
			assert.Assert(t, err != nil)
			assert.Equal(t, handler.count.Load(), int64(1))
		})
	}
}

// newScriptedServer starts a server that lets serve act on the authenticated link,
// and returns a pool that connects to it.
func newScriptedServer(t testing.TB, serve func(link *connection)) *Pool {
	t.Helper()
	listener := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		hijacker := &countingHijacker{ResponseWriter: writer}
		socket, err := websocket.Accept(hijacker, request, nil)
		assert.Check(t, err)
		socket.SetReadLimit(maxMessage)
		link := newConnection(socket, hijacker.conn)
		assert.Check(t, serverHandshake(context.Background(), link, sharedKey, "b"))
		serve(link)
		link.close()
	}))
	t.Cleanup(listener.Close)
	return &Pool{VM: "a", SharedKey: sharedKey, Directory: fixedAddress(listener.Listener.Addr().String())}
}

// Guards against reporting a request as "not run" that the peer may have run, and
// against reporting an unknown outcome when the peer did not accept the request.
func TestErrorKindWhenTheLinkEnds(t *testing.T) {
	read := func(link *connection) { _, _ = link.read() }
	reply := func(frame frame, typed any) func(*connection) {
		return func(link *connection) {
			read(link)
			_ = link.write(encodeMessage(t, frame, typed))
			read(link) // until the client closes the link
		}
	}
	for name, test := range map[string]struct {
		serve      func(link *connection)
		idempotent bool
		kind       answerer.Kind
	}{
		"closed after the head, once":       {read, false, answerer.OutcomeUnknown},
		"closed after the head, idempotent": {read, true, answerer.UpstreamFailed},
		"not accepted":                      {reply(frame{Kind: kindClosing, Sequence: 1}, closing{Accepted: 0}), false, answerer.NotRunUnavailable},
		"accepted, then closing":            {reply(frame{Kind: kindClosing, Sequence: 1}, closing{Accepted: 1}), false, answerer.OutcomeUnknown},
		"answer of another request":         {reply(frame{Kind: kindResponseHead, Sequence: 1, Request: 2}, responseHead{Status: 200}), false, answerer.OutcomeUnknown},
		"answer out of sequence":            {reply(frame{Kind: kindResponseHead, Sequence: 2, Request: 1}, responseHead{Status: 200}), false, answerer.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			pool := newScriptedServer(t, test.serve)
			_, err := pool.Forward(t.Context(), "b", &carrier.Request{Method: "POST", Idempotent: test.idempotent})
			assert.Equal(t, answerer.From(err).Kind, test.kind, "%v", err)
		})
	}
}

// Guards against a request that fails because the peer closes the idle link on which
// it was sent: the closing message proves that the peer did not accept it, so it is
// sent again on another link.
func TestRequestIsSentAgainAfterClosingMessage(t *testing.T) {
	var links atomic.Int64
	pool := newScriptedServer(t, func(link *connection) {
		first := links.Add(1) == 1
		for request := uint64(1); ; request++ {
			if _, err := link.read(); err != nil {
				return
			}
			if first && request == 2 {
				_ = link.write(encodeMessage(t, frame{Kind: kindClosing, Sequence: 2, Request: 1}, closing{Accepted: 1}))
				continue
			}
			_ = link.write(encodeMessage(t, frame{Kind: kindResponseHead, Sequence: request, Request: request, Last: true}, responseHead{Status: 200}))
		}
	})
	for range 3 {
		response, err := pool.Forward(t.Context(), "b", &carrier.Request{Method: "POST"})
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
	}
	assert.Equal(t, links.Load(), int64(2))
}

// Guards against a dial for every request while a peer is unreachable.
func TestUnreachablePeerFailsFast(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	listener.Close()
	clock := clocker.NewFake(time.Unix(0, 0))
	pool := &Pool{VM: "a", SharedKey: sharedKey, Directory: fixedAddress(address), Clock: clock, Metrics: NewMetrics()}
	dials := func() float64 {
		return testutil.ToFloat64(pool.Metrics.handshakes.WithLabelValues("connecting", "failed"))
	}
	for range 10 {
		assert.Equal(t, answerer.From(pool.Call(t.Context(), "b", "ping", nil, nil)).Kind, answerer.NotRunUnavailable)
		_, err := pool.Forward(t.Context(), "b", &carrier.Request{Method: "GET"})
		assert.Equal(t, answerer.From(err).Kind, answerer.NotRunUnavailable)
	}
	assert.Equal(t, dials(), 1.0)
	clock.Advance(minBackoff)
	_ = pool.Call(t.Context(), "b", "ping", nil, nil)
	assert.Equal(t, dials(), 2.0)
	for range 100 {
		clock.Advance(maxBackoff)
		_ = pool.Call(t.Context(), "b", "ping", nil, nil)
	}
	assert.Equal(t, dials(), 102.0)
}

// Guards against a header that changes when it is encoded and decoded.
func TestHeaderBlock(t *testing.T) {
	header := http.Header{"A": {"1", "", "a:b"}, "Long": {string(bytes.Repeat([]byte("x"), 5000))}, "Bad": {"x\r\nInjected: y"}}
	decoded, err := appendHeader(new(bytes.Buffer), header).header()
	assert.NilError(t, err)
	header["Bad"] = []string{"x  Injected: y"}
	assert.DeepEqual(t, decoded, header)
	_, err = headerBlock("no colon\n").header()
	assert.Assert(t, errors.Is(err, errProtocol))
}

// FuzzMessages passes arbitrary messages to the message handlers and decoders.
func FuzzMessages(f *testing.F) {
	for kind := kindRequestHead; kind <= kindCancel; kind++ {
		f.Add(encodeMessage(f, frame{Kind: kind, Sequence: 1, Request: 1, Last: true}, requestHead{
			Method: "GET", HasBody: true, Header: headerBlock("A:b\n"), Timeout: time.Second,
		}))
		f.Add(encodeMessage(f, callFrame{Kind: kind, ID: 1}, callHead{Method: "ping", TimeoutMilliseconds: 1000}, map[string]int{"a": 1}))
	}
	f.Add(encodeMessage(f, frame{Kind: kindFailure, Sequence: 1}, failure{Kind: answerer.Internal, RetryAfter: 1}))
	server := &Server{Handler: &countingHandler{}}
	server.init()
	server.Handle("ping", func(_ context.Context, _ string, decode func(any) error) (any, error) {
		var body map[string]int
		return body, decode(&body)
	})
	f.Fuzz(func(_ *testing.T, data []byte) {
		requests := newRequestServer(server, &connection{})
		if requests.handle(bytes.NewBuffer(bytes.Clone(data))) == nil && requests.current != nil {
			_, _ = io.Copy(io.Discard, &requests.current.inlineBody)
			requests.current.cancel()
		}
		calls := newCallServer(server, &connection{})
		var group errgroup.Group
		_ = calls.handle(&group, bytes.NewBuffer(bytes.Clone(data)))
		calls.cancel()
		_ = group.Wait()
		client := &callClient{pending: map[uint64]chan callResult{1: make(chan callResult, 1)}}
		_ = client.handle(bytes.NewBuffer(bytes.Clone(data)))
		var head responseHead
		if rest, err := decodeFirst(data, &head); err == nil {
			_, _ = head.Header.header()
			_, _ = decodeFirst(rest, &proof{})
		}
	})
}
