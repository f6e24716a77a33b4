package breaker

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// uploadRead is how much of an upload is read before the reset, so that the client is writing
// when it comes.
const uploadRead = 256 << 10

// ResetDuringUpload sends the beginning of a response, reads a part of the upload, and resets
// the connection.
func ResetDuringUpload(conn net.Conn, upload io.Reader, start string) {
	_, _ = io.WriteString(conn, start)
	_, _ = io.CopyN(io.Discard, upload, uploadRead)
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Close resets the connection
	}
	_ = conn.Close()
}

// CloseDuringUpload sends a response, closes its side of the connection in order, and goes on
// reading the upload until the client closes the connection.
func CloseDuringUpload(conn net.Conn, upload io.Reader, response string) {
	_, _ = io.WriteString(conn, response)
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, upload)
	_ = conn.Close()
}

// LateConn is a connection of a process that gets little processor time: its reads begin
// late, and its writes return late.
type LateConn struct {
	net.Conn
	ReadDelay, WriteDelay time.Duration
}

// Read reads after ReadDelay.
func (conn *LateConn) Read(buffer []byte) (int, error) {
	_ = clocker.Sleep(context.Background(), clocker.System{}, conn.ReadDelay)
	return conn.Conn.Read(buffer)
}

// Write returns WriteDelay after it has written.
func (conn *LateConn) Write(data []byte) (int, error) {
	count, err := conn.Conn.Write(data)
	_ = clocker.Sleep(context.Background(), clocker.System{}, conn.WriteDelay)
	return count, err
}

// Delays are the delays of LateConns with which a reset has been taken for the end of a
// stream, in different ways.
func Delays() map[string]LateConn {
	return map[string]LateConn{
		"at once":     {},
		"late reads":  {ReadDelay: 20 * time.Millisecond},
		"late writes": {WriteDelay: 20 * time.Millisecond},
		"late both":   {ReadDelay: 20 * time.Millisecond, WriteDelay: 50 * time.Millisecond},
	}
}

// WrapDial returns a dial function whose connections have the delays of conn.
func (conn LateConn) WrapDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		dialed, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &LateConn{Conn: dialed, ReadDelay: conn.ReadDelay, WriteDelay: conn.WriteDelay}, nil
	}
}
