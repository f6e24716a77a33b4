package fronter

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// readBuffer holds a usual request.
	readBuffer = 4 << 10
	// maxAhead bounds the requests of one connection that are served at once.
	maxAhead = 16
	// writeTimeout ends connections whose caller does not read its answer.
	writeTimeout = 10 * time.Second
	// lingerTimeout is how long a closing connection is read, because unread
	// bytes would make the close destroy the answer.
	lingerTimeout = 500 * time.Millisecond
	// lineAllowance is added to the limit of the header for the request line.
	lineAllowance = 8 << 10
)

// connection is the connection of a caller.
type connection struct {
	server *Server
	net    net.Conn
	source *boundedReader
	reader *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc

	mutex   sync.Mutex
	pending []*exchange // in the order of the requests
	writing bool        // an answer is being written
	closing bool        // no request is read any more
	broken  bool        // no answer can be written any more
	idle    *sync.Cond  // signals that pending became shorter
}

// exchange is a request and, once it is there, its answer.
type exchange struct {
	answer *Response
	head   bool // the request's method is HEAD
	close  bool // the caller ends the connection after this request
	old    bool // the caller speaks HTTP/1.0
}

// boundedReader fails after a number of bytes.
type boundedReader struct {
	conn net.Conn
	left int64
}

var errTooLong = errors.New("the request's header is too long")

func (bounded *boundedReader) Read(data []byte) (int, error) {
	if bounded.left <= 0 {
		return 0, errTooLong
	}
	if int64(len(data)) > bounded.left {
		data = data[:bounded.left]
	}
	n, err := bounded.conn.Read(data)
	bounded.left -= int64(n)
	return n, err
}

func newConnection(server *Server, accepted net.Conn) *connection {
	source := &boundedReader{conn: accepted, left: math.MaxInt64}
	conn := &connection{server: server, net: accepted, source: source, reader: bufio.NewReaderSize(source, readBuffer)}
	conn.idle = sync.NewCond(&conn.mutex)
	conn.ctx, conn.cancel = context.WithCancel(context.Background())
	return conn
}

// abort ends the connection at once.
func (conn *connection) abort() {
	conn.cancel()
	_ = conn.net.Close()
}

// closeWhenIdle ends the connection unless a request is being read or served.
func (conn *connection) closeWhenIdle() {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if len(conn.pending) == 0 && !conn.closing {
		conn.closing = true
		_ = conn.net.SetReadDeadline(time.Unix(1, 0)) // wakes the reader
	}
}

// run reads requests until the connection ends.
func (conn *connection) run() {
	defer conn.abort()
	for conn.next() {
	}
	conn.mutex.Lock()
	conn.closing = true
	for len(conn.pending) > 0 && !conn.broken {
		conn.idle.Wait()
	}
	broken := conn.broken
	conn.mutex.Unlock()
	if !broken {
		conn.linger()
	}
}

// linger lets the caller read its last answer before the connection is closed.
func (conn *connection) linger() {
	half, ok := conn.net.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = conn.net.SetReadDeadline(conn.server.Clock.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, conn.net)
}

// next reads one request and has it served. It returns false at the end.
func (conn *connection) next() bool {
	limits := conn.server.Limits()
	conn.source.left = math.MaxInt64
	conn.mutex.Lock()
	if len(conn.pending) == 0 && !conn.closing {
		_ = conn.net.SetReadDeadline(conn.server.Clock.Now().Add(limits.IdleTimeout))
	}
	conn.mutex.Unlock()
	if _, err := conn.reader.Peek(1); err != nil {
		conn.ended(err)
		return false
	}
	if !conn.beginHeader(limits) {
		return false
	}
	message, err := http.ReadRequest(conn.reader)
	if err == nil {
		err = check(message)
	}
	if err != nil {
		conn.refuse(err)
		return false
	}
	return conn.dispatch(message, limits)
}

var (
	errNoHost  = errors.New("the request has no host")
	errVersion = errors.New("the request's protocol is not HTTP/1.0 or HTTP/1.1")
)

// check finds what http.ReadRequest leaves to its caller.
func check(message *http.Request) error {
	switch {
	case message.ProtoMajor != 1:
		return errVersion
	case message.Host == "" && message.ProtoAtLeast(1, 1):
		return errNoHost
	}
	return nil
}

// beginHeader bounds the header in bytes and time.
func (conn *connection) beginHeader(limits Limits) bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.closing {
		return false
	}
	conn.source.left = limits.HeaderBytes + lineAllowance
	_ = conn.net.SetReadDeadline(conn.server.Clock.Now().Add(limits.HeaderTimeout))
	return true
}

// ended handles the end of the bytes from the caller. A caller that has closed
// its connection, or reset it, has left: nobody waits for the answers.
func (conn *connection) ended(err error) {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return
	}
	conn.mutex.Lock()
	conn.broken = true
	conn.idle.Broadcast()
	conn.mutex.Unlock()
	conn.cancel()
}

// refuse answers a request that cannot be read.
func (conn *connection) refuse(err error) {
	var timeout net.Error
	status := http.StatusBadRequest
	switch {
	case errors.Is(err, errTooLong):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		conn.ended(err)
		return
	case errors.As(err, &timeout):
		if timeout.Timeout() {
			status = http.StatusRequestTimeout
		} else {
			conn.ended(err)
			return
		}
	}
	conn.server.Log.Info("request not readable", "caller", conn.net.RemoteAddr().String(), "status", status, "error", err.Error())
	exchange := &exchange{close: true}
	conn.mutex.Lock()
	conn.pending = append(conn.pending, exchange)
	conn.mutex.Unlock()
	conn.finish(exchange, &Response{Status: status, Close: true})
}

// dispatch has a request served. Requests without a body are served while the
// next ones are read.
func (conn *connection) dispatch(message *http.Request, limits Limits) bool {
	exchange := &exchange{head: message.Method == http.MethodHead, close: message.Close, old: !message.ProtoAtLeast(1, 1)}
	request := &Request{
		Method: message.Method, Target: message.RequestURI, Host: message.Host, Header: message.Header,
		ContentLength: message.ContentLength, ReceivedAt: conn.server.Clock.Now(), conn: conn,
	}
	var body *requestBody
	if message.Body != nil && message.Body != http.NoBody {
		body = newRequestBody(conn, message, limits.BodyBytes)
		request.Body = body
	} else {
		request.ContentLength = 0
	}
	conn.mutex.Lock()
	for len(conn.pending) >= maxAhead && !conn.broken {
		conn.idle.Wait()
	}
	if conn.closing || conn.broken {
		conn.mutex.Unlock()
		return false
	}
	conn.pending = append(conn.pending, exchange)
	conn.source.left = math.MaxInt64
	if body == nil {
		_ = conn.net.SetReadDeadline(time.Time{})
	}
	conn.mutex.Unlock()
	conn.server.group.Go(func() error {
		answer := conn.server.Handler.Serve(conn.ctx, request)
		if body != nil && !body.finished() {
			answer.Close = true
		}
		if body != nil {
			body.stop()
		}
		conn.finish(exchange, answer)
		return nil
	})
	if body != nil && !body.wait() {
		conn.mutex.Lock()
		conn.closing = true
		conn.mutex.Unlock()
		return false
	}
	if body != nil {
		conn.mutex.Lock()
		_ = conn.net.SetReadDeadline(time.Time{})
		conn.mutex.Unlock()
	}
	return !exchange.close
}

// finish stores an answer and writes all answers whose turn it is.
func (conn *connection) finish(finished *exchange, answer *Response) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	finished.answer = answer
	if conn.writing {
		return // the goroutine that writes continues with this answer
	}
	conn.writing = true
	defer func() { conn.writing = false }()
	for len(conn.pending) > 0 && conn.pending[0].answer != nil {
		exchange := conn.pending[0]
		last := exchange.close || exchange.answer.Close
		if conn.server.stopping.Load() && len(conn.pending) == 1 {
			last = true
		}
		conn.closing = conn.closing || (last && len(conn.pending) == 1)
		conn.mutex.Unlock()
		complete := conn.write(exchange, last)
		conn.mutex.Lock()
		conn.pending = conn.pending[1:]
		if !complete {
			conn.broken = true
			conn.cancel()
			_ = conn.net.Close()
		}
		if last || conn.broken {
			conn.closing = true
			conn.pending = nil
			_ = conn.net.SetReadDeadline(time.Unix(1, 0)) // wakes the reader
		} else if len(conn.pending) == 0 {
			_ = conn.net.SetReadDeadline(conn.server.Clock.Now().Add(conn.server.Limits().IdleTimeout))
		}
		conn.idle.Broadcast()
	}
}

// keepsAlive reports whether the answer may leave the connection open.
func (exchange *exchange) connectionHeader(last bool) string {
	switch {
	case last:
		return "close"
	case exchange.old:
		return "keep-alive"
	}
	return ""
}

// noBody reports whether answers of this status never have a body.
func noBody(status int) bool {
	return status == http.StatusNoContent || status == http.StatusNotModified || status < http.StatusOK
}

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Proxy-Authenticate", "Proxy-Authorization"}

// WithoutHopByHop returns a copy of the header without the fields that concern
// one connection only.
func WithoutHopByHop(header http.Header) http.Header {
	kept := make(http.Header, len(header)+2)
	for name, values := range header {
		kept[name] = values
	}
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(kept, name)
	}
	return kept
}
