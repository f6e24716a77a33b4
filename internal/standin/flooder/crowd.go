package flooder

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
)

// Player sends what a hostile caller sends on one connection. It returns when the
// connection has ended or ctx is done, in which case the connection is closed.
type Player func(ctx context.Context, conn net.Conn)

// Crowd is a number of callers that play the same. A caller whose connection ends opens
// another one after a pause.
type Crowd struct {
	// Address is the host:port of the process.
	Address string
	Callers int
	// Addresses is the number of client addresses of the callers, from 127.0.1.1 on.
	Addresses int
	// ReceiveBuffer is the size of the callers' receive buffers in bytes, or 0 for the
	// kernel's choice.
	ReceiveBuffer int
	Player        Player
}

const (
	// reconnectDelay keeps a crowd whose connections are refused from being a load of
	// its own.
	reconnectDelay = 100 * time.Millisecond
	dialTimeout    = 3 * time.Second
)

// Run plays for the given time.
func (crowd Crowd) Run(ctx context.Context, duration time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var group errgroup.Group
	for number := range crowd.Callers {
		group.Go(func() error {
			crowd.call(ctx, number)
			return nil
		})
	}
	return group.Wait()
}

// call plays one caller until ctx is done.
func (crowd Crowd) call(ctx context.Context, number int) {
	client := number % max(crowd.Addresses, 1)
	address := net.ParseIP(fmt.Sprintf("127.0.%d.%d", 1+client/250, 1+client%250))
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: address}, Control: crowd.setReceiveBuffer}
	for ctx.Err() == nil {
		if conn, err := dialer.DialContext(ctx, "tcp", crowd.Address); err == nil {
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			crowd.Player(ctx, conn)
			stop()
			_ = conn.Close()
		}
		sleep(ctx, reconnectDelay)
	}
}

// setReceiveBuffer is a net.Dialer.Control: the window of a connection depends on the buffer
// at the time of its handshake.
func (crowd Crowd) setReceiveBuffer(_, _ string, conn syscall.RawConn) (err error) {
	if crowd.ReceiveBuffer == 0 {
		return nil
	}
	controlErr := conn.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, crowd.ReceiveBuffer)
	})
	return errors.Join(err, controlErr)
}

// sleep waits until the time has passed or ctx is done.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
