package fronter

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cuminstream/cuminstream/internal/accountant"
	"github.com/cuminstream/cuminstream/internal/peeker"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// Request is an HTTP request received from a caller.
type Request struct {
	Method string
	Target string // the request target, byte for byte as received
	Host   string
	Header http.Header
	// Body is nil if the request has no body.
	Body io.Reader
	// ContentLength is the length of the body in bytes, or -1 if unknown.
	ContentLength int64
	// ReceivedAt is the time at which the whole header had been read.
	ReceivedAt time.Time
	// Holder holds what the request and its response take in memory. It is closed when the
	// response has been written. It may be nil.
	Holder *accountant.Holder

	conn *connection
}

// SetBodyDeadline makes reads of the body fail after the given time.
func (request *Request) SetBodyDeadline(deadline time.Time) {
	if request.conn != nil {
		_ = request.conn.netConn.SetReadDeadline(deadline)
	}
}

// CallerLeft reports whether the caller has closed its connection. If so, it cancels
// the caller's requests. The goroutine that reads the connection does that too, but it
// may not have run since, and it does not read while maxPipelined requests are in
// progress.
func (request *Request) CallerLeft() bool {
	if request.conn == nil || peeker.Peek(request.conn.netConn) != peeker.Closed {
		return false
	}
	request.conn.handleReadError(io.EOF)
	return true
}

// Response is the response to a Request.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Rest streams the remainder of a body that is too large to buffer. It
	// follows Body; ContentLength is then the total length, or -1 if unknown.
	Rest          io.ReadCloser
	ContentLength int64
	// Close closes the connection after the response.
	Close bool
}

// Handler serves requests. ctx is cancelled when the caller disconnects.
type Handler interface {
	Serve(ctx context.Context, request *Request) *Response
}

// Limits bounds the size of a request and the time a caller may take to send it.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Server serves callers' connections. The exported fields must be set before Run.
type Server struct {
	Listener net.Listener
	Handler  Handler
	Clock    clocker.Clock
	Log      *slog.Logger
	// Limits returns the current limits; they can change while the server runs.
	Limits func() Limits
	// StopNotice is how long new connections are still accepted after shutdown
	// began, because the load balancer takes that long to notice it.
	StopNotice time.Duration
	// StopTimeout bounds the wait for requests in flight, measured from the
	// beginning of the shutdown.
	StopTimeout time.Duration
	// Account bounds what callers hold in memory. nil means no bound.
	Account *accountant.Account
	// MaxConnections bounds the open connections. 0 means accountant.MaxConnections.
	MaxConnections int

	stopping    atomic.Bool
	mutex       sync.Mutex
	connections map[*connection]struct{}
	// idleSearched is when no idle connection was found last.
	idleSearched time.Time
	group        errgroup.Group
}

const (
	// acceptRetryDelay is the delay after a failed Accept.
	acceptRetryDelay = 50 * time.Millisecond
	// minIdle is the time for which a connection must be idle before it is closed to make
	// room for another one.
	minIdle = time.Second
	// idleCloseDivisor is the part of the connections, the last sixteenth, in which each new
	// one closes an idle one: closing takes up to lingerTimeout.
	idleCloseDivisor = 16
	// idleSearchInterval is the pause after a search without result, which looks at all
	// connections, while callers open one after the other.
	idleSearchInterval = 20 * time.Millisecond
)

// Run serves connections until ctx is cancelled, then shuts down gracefully: it
// keeps accepting connections for StopNotice, closes each connection after its
// pending responses and waits up to StopTimeout for requests in flight.
func (server *Server) Run(ctx context.Context) error {
	server.connections = map[*connection]struct{}{}
	server.group.Go(func() error {
		server.acceptConnections()
		return nil
	})
	<-ctx.Done()
	began := server.Clock.Now()
	server.stopping.Store(true)
	background := context.WithoutCancel(ctx)
	_ = clocker.Sleep(background, server.Clock, server.StopNotice)
	_ = server.Listener.Close()
	for server.Clock.Now().Sub(began) < server.StopTimeout {
		if server.closeConnections() == 0 {
			break
		}
		_ = clocker.Sleep(background, server.Clock, stopPollInterval)
	}
	server.abortConnections()
	return server.group.Wait()
}

// abortConnections closes the connections that are still open at the end of a shutdown.
func (server *Server) abortConnections() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	unanswered := 0
	for conn := range server.connections {
		unanswered += conn.pendingRequests()
		conn.abort()
	}
	if unanswered > 0 {
		server.Log.Warn("requests cut off at the end of the shutdown", "connections", len(server.connections), "requests", unanswered)
	}
}

// stopPollInterval is how often the open connections are checked during shutdown.
const stopPollInterval = 20 * time.Millisecond

// closeConnections begins to close the connections: those without a pending request
// at once, the others after the last response. It returns the number of connections
// that are still open.
func (server *Server) closeConnections() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for conn := range server.connections {
		conn.closeAfterPending()
	}
	return len(server.connections)
}

// acceptConnections accepts connections until the listener is closed.
func (server *Server) acceptConnections() {
	for {
		conn, err := server.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			server.Log.Warn("failed to accept connection", "error", err.Error())
			_ = clocker.Sleep(context.Background(), server.Clock, acceptRetryDelay)
			continue
		}
		server.serveConnection(conn)
	}
}

// serveConnection serves a connection in the background, or closes it if too many
// are open.
func (server *Server) serveConnection(accepted net.Conn) {
	conn := newConnection(server, accepted)
	if reason := server.admitConnection(conn); reason != "" {
		conn.holder.Close()
		conn.abort()
		return
	}
	server.group.Go(func() error {
		conn.run()
		server.mutex.Lock()
		delete(server.connections, conn)
		server.mutex.Unlock()
		return nil
	})
}

// admitConnection adds a connection to the open ones, and closes the one that has been idle
// for longest if no other has room. It returns why there is no room.
func (server *Server) admitConnection(conn *connection) (reason accountant.Reason) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	limit := server.MaxConnections
	if limit == 0 {
		limit = accountant.MaxConnections(0)
	}
	open := len(server.connections)
	if open >= limit {
		reason = accountant.ReasonDescriptors
		server.Account.CountRefusal(reason)
	} else {
		reason = conn.holder.Reserve(accountant.Connections, connectionBytes)
	}
	if reason == "" {
		server.connections[conn] = struct{}{}
	}
	if reason != "" || open >= limit-limit/idleCloseDivisor {
		if idle := server.longestIdle(); idle != nil {
			server.Account.CountEviction(accountant.ReasonIdle)
			idle.closeAfterPending()
		}
	}
	return reason
}

// longestIdle returns the connection that has had no request for longest, or nil. The mutex
// is held.
func (server *Server) longestIdle() (longest *connection) {
	now := server.Clock.Now()
	if now.Sub(server.idleSearched) < idleSearchInterval {
		return nil
	}
	since := now.Add(-minIdle)
	for conn := range server.connections {
		conn.mutex.Lock()
		if len(conn.pending) == 0 && !conn.reading && !conn.closing && conn.idleSince.Before(since) {
			longest, since = conn, conn.idleSince
		}
		conn.mutex.Unlock()
	}
	if longest == nil {
		server.idleSearched = now
	}
	return longest
}
