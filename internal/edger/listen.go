package edger

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/cuminstream/cuminstream/internal/accountant"
)

// listenForCallers opens the listener for callers. Its connections inherit the sizes of
// their buffers from it, which bound what the kernel holds of each: the kernel's own choice
// grows to several MB.
func (edge *Edge) listenForCallers(ctx context.Context) (net.Listener, error) {
	size := accountant.SocketBuffer(edge.MemoryBytes)
	config := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) (err error) {
		controlErr := conn.Control(func(fd uintptr) {
			err = errors.Join(
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size),
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, size),
			)
		})
		return errors.Join(err, controlErr)
	}}
	return config.Listen(ctx, "tcp", edge.CallerListen)
}
