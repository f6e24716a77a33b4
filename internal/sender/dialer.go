package sender

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// NewDialer returns a function that opens connections and detects an unresponsive
// peer that sends no RST: TCP_USER_TIMEOUT closes a connection whose sent data is not
// acknowledged, and keep-alive probes close an idle one, both within a few seconds.
// Data that has not been delivered when a connection is closed is discarded.
func NewDialer() func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failure error
			err := raw.Control(func(fd uintptr) {
				failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failure
		},
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		// With SO_LINGER 0, Close resets the connection. Otherwise the kernel would
		// go on sending data that a network partition has held up, and the upstream
		// would run a request seconds after the sender has given up.
		if tcp, ok := conn.(*net.TCPConn); ok {
			if err := tcp.SetLinger(0); err != nil {
				return nil, errors.Join(err, conn.Close())
			}
		}
		return conn, nil
	}
}
