package breaker

import (
	"context"
	"net"
	"time"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Delay is how late a process that gets little processor time begins its reads, and returns
// from its writes.
type Delay struct {
	Read, Write time.Duration
}

// Delays returns delays that make reads and writes end in different orders.
func Delays() map[string]Delay {
	return map[string]Delay{
		"no delay":    {},
		"late reads":  {Read: 20 * time.Millisecond},
		"late writes": {Write: 20 * time.Millisecond},
		"both late":   {Read: 20 * time.Millisecond, Write: 50 * time.Millisecond},
	}
}

// WrapDial returns a dial function whose connections have the delay. They hide the TCP socket.
func (delay Delay) WrapDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &lateConn{Conn: conn, delay: delay}, nil
	}
}

// lateConn is a connection with a delay.
type lateConn struct {
	net.Conn
	delay Delay
}

func (conn *lateConn) Read(buffer []byte) (int, error) {
	_ = clocker.Sleep(context.Background(), clocker.System{}, conn.delay.Read)
	return conn.Conn.Read(buffer)
}

func (conn *lateConn) Write(data []byte) (int, error) {
	count, err := conn.Conn.Write(data)
	_ = clocker.Sleep(context.Background(), clocker.System{}, conn.delay.Write)
	return count, err
}
