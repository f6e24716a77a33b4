package linker

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"

	"github.com/cuminstream/cuminstream/internal/carrier"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// Server accepts the links of other VMs. It is the http.Handler of the link
// listener. The exported fields must be set before the first link and Run.
type Server struct {
	// VM is the name of the local VM.
	VM string
	// SharedKey is the key that all VMs of the system share.
	SharedKey []byte
	// Handler handles the requests that arrive on request links.
	Handler carrier.Handler
	// Clock defaults to clocker.System.
	Clock clocker.Clock
	// Metrics may be shared with the Pool.
	Metrics *Metrics

	// HandshakeTimeout bounds the time of a handshake.
	HandshakeTimeout time.Duration
	// ShutdownTimeout bounds the wait for requests in flight when Run ends.
	ShutdownTimeout time.Duration
	// MaxPendingHandshakes bounds the connections that are not yet authenticated.
	MaxPendingHandshakes int
	// MaxLinks bounds the authenticated links.
	MaxLinks int

	once     sync.Once
	handlers map[string]CallHandler

	mutex             sync.Mutex
	stopping          bool
	pendingHandshakes int
	links             map[acceptedLink]struct{}
	running           sync.WaitGroup // links, and connections in their handshake
	ready             chan struct{}
}

// acceptedLink is the accepting side of either kind of link.
type acceptedLink interface {
	// serve reads messages until the link ends.
	serve() error
	// stop ends a request link once its request in flight is answered, and a
	// control link immediately.
	stop()
	// abort resets the link and cancels its requests or calls.
	abort()
}

var _ Registrar = (*Server)(nil)

// Handle registers the handler of a control call. It must be called before the
// first link is accepted.
func (server *Server) Handle(method string, handler CallHandler) {
	if server.handlers == nil {
		server.handlers = map[string]CallHandler{}
	}
	server.handlers[method] = handler
}

func (server *Server) init() {
	server.once.Do(func() {
		if server.Clock == nil {
			server.Clock = clocker.System{}
		}
		if server.Metrics == nil {
			server.Metrics = NewMetrics()
		}
		server.HandshakeTimeout = orDefault(server.HandshakeTimeout, defaultHandshakeTimeout)
		server.ShutdownTimeout = orDefault(server.ShutdownTimeout, defaultShutdownTimeout)
		server.MaxPendingHandshakes = orDefault(server.MaxPendingHandshakes, defaultMaxPendingHandshakes)
		server.MaxLinks = orDefault(server.MaxLinks, defaultMaxLinks)
		server.links = map[acceptedLink]struct{}{}
	})
}

// Run waits until ctx is done, and then ends the links: control links and idle
// request links immediately, the others when their requests are answered or
// ShutdownTimeout has passed.
func (server *Server) Run(ctx context.Context) error {
	server.init()
	<-ctx.Done()
	server.mutex.Lock()
	server.stopping = true
	links := server.openLinks()
	server.mutex.Unlock()
	for _, link := range links {
		link.stop()
	}
	shutdownContext, cancel := clocker.WithTimeout(context.WithoutCancel(ctx), server.Clock, server.ShutdownTimeout)
	defer cancel()
	stop := context.AfterFunc(shutdownContext, func() {
		server.mutex.Lock()
		unfinished := server.openLinks()
		server.mutex.Unlock()
		for _, link := range unfinished {
			link.abort()
		}
	})
	defer stop()
	server.running.Wait()
	return nil
}

func (server *Server) openLinks() []acceptedLink {
	links := make([]acceptedLink, 0, len(server.links))
	for link := range server.links {
		links = append(links, link)
	}
	return links
}

// ServeHTTP accepts one link and serves it until it ends.
func (server *Server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	server.init()
	if !server.beginHandshake() {
		server.Metrics.handshakes.WithLabelValues("accepting", "refused").Inc()
		http.Error(writer, "the bound on connections is reached, or the VM is stopping", http.StatusServiceUnavailable)
		return
	}
	defer server.running.Done()
	connection, err := server.authenticate(writer, request)
	link := server.endHandshake(connection, err)
	if link == nil {
		return
	}
	gauge := server.Metrics.links.WithLabelValues(string(connection.kind), "accepting")
	gauge.Inc()
	defer gauge.Dec()
	if err := link.serve(); errors.Is(err, errProtocol) {
		server.Metrics.violations.Inc()
	}
	link.abort()
	connection.close()
	server.mutex.Lock()
	delete(server.links, link)
	server.mutex.Unlock()
}

func (server *Server) beginHandshake() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.stopping || server.pendingHandshakes >= server.MaxPendingHandshakes || len(server.links) >= server.MaxLinks {
		return false
	}
	server.pendingHandshakes++
	server.running.Add(1)
	return true
}

// endHandshake records the result of a handshake. It returns the link to serve, or
// nil if the connection was closed.
func (server *Server) endHandshake(connection *connection, err error) acceptedLink {
	result := "accepted"
	switch {
	case errors.Is(err, errKeyNotProved):
		result = "unproved"
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		result = "timeout"
	case err != nil:
		result = "failed"
	}
	server.Metrics.handshakes.WithLabelValues("accepting", result).Inc()
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.pendingHandshakes--
	if err != nil || server.stopping {
		if connection != nil {
			_ = connection.socket.CloseNow()
		}
		return nil
	}
	link := server.newLink(connection)
	server.links[link] = struct{}{}
	return link
}

func (server *Server) newLink(connection *connection) acceptedLink {
	connection.finishHandshake(server.Metrics)
	if connection.kind == controlLink {
		return newCallServer(server, connection)
	}
	return newRequestServer(server, connection)
}

func (server *Server) authenticate(writer http.ResponseWriter, request *http.Request) (*connection, error) {
	ctx, cancel := clocker.WithTimeout(context.Background(), server.Clock, server.HandshakeTimeout)
	defer cancel()
	hijacker := &countingHijacker{ResponseWriter: writer}
	socket, err := websocket.Accept(hijacker, request, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return nil, err
	}
	socket.SetReadLimit(maxHandshakeMessage)
	connection := newConnection(socket, hijacker.conn)
	if err := serverHandshake(ctx, connection, server.SharedKey, server.VM); err != nil {
		if errors.Is(err, errKeyNotProved) {
			// Best effort: lets a VM with a wrong key report why its links fail.
			_ = socket.Close(websocket.StatusPolicyViolation, "unauthenticated")
		}
		return connection, err
	}
	socket.SetReadLimit(maxMessage)
	return connection, nil
}

// countingHijacker gives the WebSocket library a connection that counts bytes.
type countingHijacker struct {
	http.ResponseWriter
	conn *countingConn
}

// Hijack takes over the connection from the HTTP server.
func (hijacker *countingHijacker) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	conn, buffered, err := http.NewResponseController(hijacker.ResponseWriter).Hijack()
	if err != nil {
		return nil, nil, err
	}
	hijacker.conn = &countingConn{Conn: conn}
	return hijacker.conn, bufio.NewReadWriter(buffered.Reader, bufio.NewWriter(hijacker.conn)), nil
}
