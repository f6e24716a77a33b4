package fronter

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cuminstream/cuminstream/internal/accountant"
	"github.com/cuminstream/cuminstream/internal/limiter"
	"github.com/cuminstream/cuminstream/internal/peeker"
)

const (
	// readBufferSize is large enough for a typical request.
	readBufferSize = 4 << 10
	// maxPipelined bounds the requests of one connection that are in progress at once.
	maxPipelined = 16
	// writeTimeout closes connections whose caller does not read its response.
	writeTimeout = 10 * time.Second
	// lingerTimeout bounds the lingering close. Closing a socket with unread
	// bytes resets the connection, and the caller may lose the response.
	lingerTimeout = 500 * time.Millisecond
	// maxRequestLine is added to the header limit to allow for the request line.
	maxRequestLine = 8 << 10
)

// connection is a caller's connection. Its reader runs in run; each request is
// served in a goroutine of its own, and complete writes the responses.
type connection struct {
	server  *Server
	netConn net.Conn
	limited *limiter.Reader
	reader  *bufio.Reader
	ctx     context.Context
	cancel  context.CancelFunc
	address netip.Addr         // of the caller
	holder  *accountant.Holder // of the connection itself

	mutex         sync.Mutex
	pending       []*exchange // in request order
	pendingCost   int64       // of the heads of the pending requests
	idleSince     time.Time   // when the last response was written, or the connection was opened
	reading       bool        // a request's header has begun to arrive
	writing       bool        // a goroutine is writing responses
	closing       bool        // no further request is read
	stopping      bool        // closing because the server stops
	broken        bool        // the caller disconnected, or a write failed
	pendingShrunk *sync.Cond  // signals that pending became shorter or broken was set
}

// exchange is the state of one request. response is nil until the handler returns.
type exchange struct {
	response   *Response
	isHead     bool // the request method is HEAD
	closeAfter bool // the caller asked to close the connection after this request
	http10     bool // the request uses HTTP/1.0
	holder     *accountant.Holder
	headCost   int64
	body       *requestBody
	restClosed sync.Once
}

func newConnection(server *Server, accepted net.Conn) *connection {
	limited := &limiter.Reader{Source: accepted, Remaining: limiter.Unlimited}
	conn := &connection{server: server, netConn: accepted, limited: limited, reader: bufio.NewReaderSize(limited, readBufferSize)}
	conn.pendingShrunk = sync.NewCond(&conn.mutex)
	conn.ctx, conn.cancel = context.WithCancel(context.Background())
	conn.idleSince = server.Clock.Now()
	conn.address = clientAddress(accepted)
	conn.holder = server.Account.NewHolder(conn.address, func(accountant.Activity) { conn.abort() }, conn.queuedBytes)
	return conn
}

// abort closes the connection immediately and cancels its requests.
func (conn *connection) abort() {
	conn.cancel()
	_ = conn.netConn.Close()
}

// pendingRequests returns the number of requests without a complete response.
func (conn *connection) pendingRequests() int {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return len(conn.pending)
}

// closeAfterPending closes the connection if it has no pending request and none has
// begun to arrive. If requests are pending, no further one is read.
func (conn *connection) closeAfterPending() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	switch {
	case len(conn.pending) > 0:
		conn.closing, conn.stopping = true, true
	case !conn.closing && !conn.reading && peeker.Peek(conn.netConn) != peeker.Readable:
		conn.closing = true
		_ = conn.netConn.SetReadDeadline(time.Unix(1, 0)) // unblocks the reader
	}
}

// run reads requests until the connection closes, and waits for pending responses.
func (conn *connection) run() {
	defer conn.holder.Close()
	defer conn.abort()
	for conn.readRequest() {
	}
	conn.discardUntilAnswered()
	conn.mutex.Lock()
	conn.closing = true
	for len(conn.pending) > 0 && !conn.broken {
		conn.pendingShrunk.Wait()
	}
	broken := conn.broken
	conn.mutex.Unlock()
	if !broken {
		conn.linger()
	}
}

// discardUntilAnswered discards requests that arrive while the pending ones are answered
// during a stop. They follow the response that closes the connection, so the caller
// knows that they have not run. It returns once the last response has been written, and
// still detects that the caller disconnects.
func (conn *connection) discardUntilAnswered() {
	conn.mutex.Lock()
	discard := conn.stopping && len(conn.pending) > 0 && !conn.broken
	if discard {
		_ = conn.netConn.SetReadDeadline(time.Time{}) // complete sets one after the last response
	}
	conn.mutex.Unlock()
	if !discard {
		return
	}
	_, err := io.Copy(io.Discard, conn.netConn)
	if err == nil {
		err = io.EOF
	}
	conn.handleReadError(err)
}

// linger performs a lingering close: it closes the write side and discards input,
// so that the caller can read its last response before the connection is closed.
func (conn *connection) linger() {
	closer, ok := conn.netConn.(interface{ CloseWrite() error })
	if !ok || closer.CloseWrite() != nil {
		return
	}
	_ = conn.netConn.SetReadDeadline(conn.server.Clock.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, conn.netConn)
}

// readRequest reads one request and dispatches it. It returns false if no further
// request is to be read.
func (conn *connection) readRequest() bool {
	limits := conn.server.Limits()
	conn.limited.Remaining = limiter.Unlimited
	conn.shrinkReader()
	conn.mutex.Lock()
	if len(conn.pending) == 0 && !conn.closing {
		_ = conn.netConn.SetReadDeadline(conn.server.Clock.Now().Add(limits.IdleTimeout))
	}
	conn.mutex.Unlock()
	if _, err := conn.reader.Peek(1); err != nil {
		conn.handleReadError(err)
		return false
	}
	if !conn.limitHeader(limits) {
		return false
	}
	exchange, err := conn.admitRequest(limits)
	var message *http.Request
	if err == nil {
		message, err = http.ReadRequest(conn.reader)
	}
	if err == nil {
		err = validateRequest(message)
	}
	if err != nil {
		exchange.release()
		conn.rejectRequest(err)
		return false
	}
	return conn.dispatch(exchange, message, limits)
}

// limitHeader limits the size of the next header and the time to read it. It
// returns false if the connection is closing.
func (conn *connection) limitHeader(limits Limits) bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.closing {
		return false
	}
	conn.reading = true
	conn.limited.Remaining = limits.HeaderBytes + maxRequestLine
	_ = conn.netConn.SetReadDeadline(conn.server.Clock.Now().Add(limits.HeaderTimeout))
	return true
}

// handleReadError cancels the requests in progress if the caller closed or reset
// its connection, because no one will read their responses. Timeouts are ignored.
func (conn *connection) handleReadError(err error) {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return
	}
	conn.mutex.Lock()
	conn.broken = true
	conn.pendingShrunk.Broadcast()
	conn.mutex.Unlock()
	conn.cancel()
}

// rejectRequest responds to a request that could not be read, unless the caller
// has disconnected.
func (conn *connection) rejectRequest(err error) {
	var netErr net.Error
	response := &Response{Status: http.StatusBadRequest, Close: true}
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, errAccountShort):
		status = http.StatusServiceUnavailable
		response.Header = http.Header{"Retry-After": {shortRetryAfter}}
	case errors.Is(err, limiter.ErrExceeded):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		conn.handleReadError(err)
		return
	case errors.As(err, &netErr):
		if netErr.Timeout() {
			status = http.StatusRequestTimeout
		} else {
			conn.handleReadError(err)
			return
		}
	}
	conn.server.Log.Info("failed to read request", "caller", conn.netConn.RemoteAddr().String(), "status", status, "error", err.Error())
	exchange := conn.newExchange()
	exchange.closeAfter = true
	conn.mutex.Lock()
	conn.reading = false
	conn.pending = append(conn.pending, exchange)
	conn.mutex.Unlock()
	response.Status = status
	conn.complete(exchange, response)
}

// dispatch serves a request in a goroutine of its own. It returns at once for a
// request without a body, so that the next one can be read meanwhile; otherwise it
// waits until the body is done. It returns false if no further request is to be
// read.
func (conn *connection) dispatch(exchange *exchange, message *http.Request, limits Limits) bool {
	exchange.isHead, exchange.closeAfter, exchange.http10 = message.Method == http.MethodHead, message.Close, !message.ProtoAtLeast(1, 1)
	request := &Request{
		Method: message.Method, Target: message.RequestURI, Host: message.Host, Header: message.Header,
		ContentLength: message.ContentLength, ReceivedAt: conn.server.Clock.Now(), Holder: exchange.holder, conn: conn,
	}
	var body *requestBody
	if message.Body != nil && message.Body != http.NoBody {
		body = newRequestBody(conn, message, exchange.holder, limits.BodyBytes)
		request.Body = body
	} else {
		request.ContentLength = 0
	}
	conn.mutex.Lock()
	for len(conn.pending) >= maxPipelined && !conn.broken {
		conn.pendingShrunk.Wait()
	}
	if conn.closing || conn.broken {
		conn.mutex.Unlock()
		exchange.release()
		return false
	}
	conn.reading, exchange.body = false, body
	conn.pending = append(conn.pending, exchange)
	conn.pendingCost += exchange.headCost
	conn.limited.Remaining = limiter.Unlimited
	if body == nil {
		_ = conn.netConn.SetReadDeadline(time.Time{})
	}
	conn.mutex.Unlock()
	conn.server.group.Go(func() error {
		response := conn.server.Handler.Serve(conn.ctx, request)
		if body != nil && !body.fullyRead() {
			response.Close = true
		}
		if body != nil {
			body.stop()
		}
		exchange.holder.Await(accountant.None)
		conn.complete(exchange, response)
		return nil
	})
	if body != nil && !body.waitUntilDone() {
		conn.mutex.Lock()
		conn.closing = true
		conn.mutex.Unlock()
		return false
	}
	if body != nil {
		conn.mutex.Lock()
		defer conn.mutex.Unlock()
		if conn.closing {
			return false // complete may have set the deadline that unblocks the reader
		}
		_ = conn.netConn.SetReadDeadline(time.Time{})
	}
	return !exchange.closeAfter
}

// complete stores a response and writes the responses at the head of the queue of
// pending requests that are available.
func (conn *connection) complete(finished *exchange, response *Response) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	finished.response = response
	if conn.broken {
		conn.dropPending()
		conn.pendingShrunk.Broadcast()
	}
	if !slices.Contains(conn.pending, finished) {
		finished.release() // nobody reads the response
		return
	}
	if conn.writing {
		return // the goroutine that is writing also writes this response
	}
	conn.writing = true
	defer func() { conn.writing = false }()
	for len(conn.pending) > 0 && conn.pending[0].response != nil {
		exchange := conn.pending[0]
		last := exchange.closeAfter || exchange.response.Close
		if conn.server.stopping.Load() {
			// A caller that always has several requests in progress would never get
			// Connection: close if further ones were served.
			conn.closing, conn.stopping = true, true
			last = last || len(conn.pending) == 1
		}
		conn.closing = conn.closing || (last && len(conn.pending) == 1)
		conn.mutex.Unlock()
		written := conn.writeResponse(exchange, last)
		exchange.release()
		conn.mutex.Lock()
		if len(conn.pending) > 0 { // it is empty if the caller has left meanwhile
			conn.pending = conn.pending[1:]
			conn.pendingCost -= exchange.headCost
		}
		if !written {
			conn.broken = true
			conn.cancel()
			if exchange.http10 && exchange.response.ContentLength < 0 {
				// The response ends with the connection, and would look complete.
				resetOnClose(conn.netConn)
			}
			_ = conn.netConn.Close()
		}
		if last || conn.broken {
			conn.closing = true
			conn.dropPending()
			_ = conn.netConn.SetReadDeadline(time.Unix(1, 0)) // unblocks the reader
		} else if len(conn.pending) == 0 {
			conn.idleSince = conn.server.Clock.Now()
			_ = conn.netConn.SetReadDeadline(conn.server.Clock.Now().Add(conn.server.Limits().IdleTimeout))
		}
		conn.pendingShrunk.Broadcast()
	}
}

// resetOnClose makes a TCP connection be reset when it is closed.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed already
	}
}

// connectionHeader returns the value of the Connection header, or "" for none.
func (exchange *exchange) connectionHeader(last bool) string {
	switch {
	case last:
		return "close"
	case exchange.http10:
		return "keep-alive"
	}
	return ""
}

// forbidsBody reports whether responses with this status never have a body.
func forbidsBody(status int) bool {
	return status == http.StatusNoContent || status == http.StatusNotModified || status < http.StatusOK
}
