package verifier

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cuminstream/cuminstream/internal/peeker"
)

// ErrReset is returned by reads from a connection that ended otherwise than by the end of the
// peer's stream.
var ErrReset = errors.New("the connection was reset")

// Conn is a connection that reports io.EOF only if the peer has ended its stream, because a
// response without a length is complete then. The kernel reports a reset to one call only: if
// that is a write, the next read finds the end of the stream.
type Conn struct {
	net.Conn

	writing     sync.Mutex // held during a write
	writeFailed bool
}

// NewConn returns a Conn that reads from and writes to conn.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// WrapDial returns a dial function whose connections are Conns.
func WrapDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
}

// NetConn returns the connection that Conn reads from and writes to.
func (conn *Conn) NetConn() net.Conn { return conn.Conn }

// Write writes to the connection.
func (conn *Conn) Write(data []byte) (int, error) {
	conn.writing.Lock()
	defer conn.writing.Unlock()
	count, err := conn.Conn.Write(data)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		conn.writeFailed = true
	}
	return count, err
}

// Read reads from the connection. At the end of the stream, it ends a write in progress.
func (conn *Conn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if err == io.EOF && (conn.endWrite() || peeker.EndedByReset(conn.Conn)) {
		err = ErrReset
	}
	return count, err
}

// endWrite makes a write in progress and later ones end at once, and reports whether one has
// failed for another reason.
func (conn *Conn) endWrite() bool {
	_ = conn.SetWriteDeadline(time.Unix(1, 0)) // fails if the connection is closed: writes have ended
	conn.writing.Lock()
	defer conn.writing.Unlock()
	return conn.writeFailed
}
