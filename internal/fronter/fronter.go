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

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// Request is a request of a caller.
type Request struct {
	Method string
	Target string // as the caller sent it
	Host   string
	Header http.Header
	// Body is nil for requests without one.
	Body io.Reader
	// ContentLength is the length of the body, or -1 when it is not known.
	ContentLength int64
	// ReceivedAt is when the header had been read.
	ReceivedAt time.Time

	conn *connection
}

// SetBodyDeadline ends reads of the body at the given time.
func (request *Request) SetBodyDeadline(end time.Time) {
	if request.conn != nil {
		_ = request.conn.net.SetReadDeadline(end)
	}
}

// Response is the answer to a request.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Rest continues a body that is too large to hold; Length is then the length
	// of the whole, or -1 when it is not known.
	Rest          io.ReadCloser
	ContentLength int64
	// Close ends the connection after the answer.
	Close bool
}

// Handler serves requests. The context ends when the caller has left.
type Handler interface {
	Serve(ctx context.Context, request *Request) *Response
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Server serves the callers' listener. The exported fields are set before Run.
type Server struct {
	Listener net.Listener
	Handler  Handler
	Clock    clocker.Clock
	Log      *slog.Logger
	// Limits returns the limits in force.
	Limits func() Limits
	// StopNotice is how long new connections are accepted after the stop began,
	// because the balancer has not noticed it yet.
	StopNotice time.Duration
	// StopTimeout bounds the wait for requests in flight, counted from the stop.
	StopTimeout time.Duration

	stopping atomic.Bool
	mutex    sync.Mutex
	open     map[*connection]struct{}
	group    errgroup.Group
}

const (
	// acceptPause is the wait after a connection could not be accepted.
	acceptPause = 50 * time.Millisecond
	// maxOpen bounds the open connections. The descriptors of a VM must also do
	// for the connections to upstreams.
	maxOpen = 2500
)

// Run serves connections until ctx is done, and then stops in order: it goes on
// accepting for StopNotice, and ends each connection after its next answer.
func (server *Server) Run(ctx context.Context) error {
	server.open = map[*connection]struct{}{}
	server.group.Go(func() error {
		server.accept()
		return nil
	})
	<-ctx.Done()
	began := server.Clock.Now()
	server.stopping.Store(true)
	background := context.WithoutCancel(ctx)
	_ = clocker.Sleep(background, server.Clock, server.StopNotice)
	_ = server.Listener.Close()
	for server.Clock.Now().Sub(began) < server.StopTimeout {
		if server.closeIdle() == 0 {
			break
		}
		_ = clocker.Sleep(background, server.Clock, stopPoll)
	}
	server.mutex.Lock()
	for conn := range server.open {
		conn.abort()
	}
	server.mutex.Unlock()
	return server.group.Wait()
}

// stopPoll is the time between two looks at the open connections during a stop.
const stopPoll = 20 * time.Millisecond

// closeIdle ends the connections without requests and returns the number of the others.
func (server *Server) closeIdle() int {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for conn := range server.open {
		conn.closeWhenIdle()
	}
	return len(server.open)
}

func (server *Server) accept() {
	for {
		conn, err := server.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			server.Log.Warn("connection not accepted", "error", err.Error())
			_ = clocker.Sleep(context.Background(), server.Clock, acceptPause)
			continue
		}
		server.serve(conn)
	}
}

func (server *Server) serve(accepted net.Conn) {
	conn := newConnection(server, accepted)
	server.mutex.Lock()
	full := len(server.open) >= maxOpen
	if !full {
		server.open[conn] = struct{}{}
	}
	server.mutex.Unlock()
	if full {
		server.Log.Warn("connection refused: too many are open", "open", maxOpen)
		_ = accepted.Close()
		return
	}
	server.group.Go(func() error {
		conn.run()
		server.mutex.Lock()
		delete(server.open, conn)
		server.mutex.Unlock()
		return nil
	})
}
