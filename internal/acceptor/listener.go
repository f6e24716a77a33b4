package acceptor

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cuminstream/cuminstream/internal/accountant"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

const (
	// connectionBytes is the cost of a connection: buffers of net/http, two stacks, and
	// the structures of the connection.
	connectionBytes = 24 << 10
	// minStall is the time without progress after which the connection of a request in
	// progress may be closed in favor of a new one.
	minStall = time.Second
)

// Acceptor bounds the connections and requests of callers. The exported fields must be set
// before its first use.
type Acceptor struct {
	Account *accountant.Account
	Clock   clocker.Clock
	// MaxConnections bounds the open connections. At the bound, a new connection takes the
	// place of the one that has waited for its caller for the longest time.
	MaxConnections int
	// SocketBuffer is the size of the kernel's buffers of a connection; 0 for its choice.
	SocketBuffer int

	mutex sync.Mutex
	open  map[*connection]struct{}
}

// Listen returns a listener for the server, which must not serve on others as well.
func (acceptor *Acceptor) Listen(listener net.Listener, server *http.Server) net.Listener {
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, conn)
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if conn, ok := conn.(*connection); ok && state == http.StateIdle {
			conn.awaitHead()
		}
	}
	server.Handler = acceptor.handler(server.Handler)
	return &boundedListener{Listener: listener, acceptor: acceptor}
}

// connectionKey is the key of the connection in the context of its requests.
type connectionKey struct{}

// boundedListener accepts only what the acceptor admits.
type boundedListener struct {
	net.Listener
	acceptor *Acceptor
}

// Accept returns the next connection that is admitted, and closes those before it.
func (listener *boundedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := listener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := listener.acceptor.admit(accepted); conn != nil {
			return conn, nil
		}
		_ = accepted.Close()
	}
}

// admit returns the connection with its place among the open ones, or nil if it is refused.
func (acceptor *Acceptor) admit(accepted net.Conn) *connection {
	if tcp, ok := accepted.(*net.TCPConn); ok && acceptor.SocketBuffer > 0 {
		// Without these sizes, the kernel holds more; the connection works all the same.
		_, _ = tcp.SetReadBuffer(acceptor.SocketBuffer), tcp.SetWriteBuffer(acceptor.SocketBuffer)
	}
	conn := &connection{Conn: accepted, acceptor: acceptor, address: clientAddress(accepted)}
	conn.holder = acceptor.Account.NewHolder(conn.address, func(accountant.Activity) { _ = conn.Close() }, nil)
	conn.awaitHead()
	conn.markProgress()
	if !acceptor.makeRoom() {
		acceptor.Account.CountRefusal(accountant.ReasonConnections)
		conn.holder.Close()
		return nil
	}
	if conn.holder.Reserve(accountant.Connections, connectionBytes) != "" && !(acceptor.evictOldest() && conn.holder.Reserve(accountant.Connections, connectionBytes) == "") {
		conn.holder.Close()
		return nil
	}
	acceptor.mutex.Lock()
	defer acceptor.mutex.Unlock()
	if acceptor.open == nil {
		acceptor.open = map[*connection]struct{}{}
	}
	acceptor.open[conn] = struct{}{}
	return conn
}

// makeRoom reports whether another connection may be opened. It closes one if need be.
func (acceptor *Acceptor) makeRoom() bool {
	acceptor.mutex.Lock()
	full := len(acceptor.open) >= acceptor.MaxConnections
	acceptor.mutex.Unlock()
	return !full || acceptor.evictOldest()
}

// evictOldest closes the connection that has waited for its caller for the longest time. It
// reports false if there is none.
func (acceptor *Acceptor) evictOldest() bool {
	now := acceptor.Clock.Now().UnixNano()
	acceptor.mutex.Lock()
	var oldest *connection
	for conn := range acceptor.open {
		if conn.evictable(now) && (oldest == nil || conn.progress.Load() < oldest.progress.Load()) {
			oldest = conn
		}
	}
	acceptor.mutex.Unlock()
	if oldest == nil {
		return false
	}
	acceptor.Account.CountEviction(accountant.ReasonDescriptors)
	_ = oldest.Close()
	return true
}

// remove forgets a closed connection.
func (acceptor *Acceptor) remove(conn *connection) {
	acceptor.mutex.Lock()
	defer acceptor.mutex.Unlock()
	delete(acceptor.open, conn)
}

// clientAddress returns the address of the caller without its port.
func clientAddress(conn net.Conn) netip.Addr {
	address, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return address.Addr().Unmap()
}
