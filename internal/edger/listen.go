package edger

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cuminstream/cuminstream/internal/accountant"
)

const (
	// maxReadyConnections bounds the connections of readiness probes. A balancer has one for
	// each of its machines.
	maxReadyConnections = 64
	// readyIdleTimeout ends connections on which nothing is asked. Balancers probe once a
	// second.
	readyIdleTimeout = 5 * time.Second
	// readyHeaderBytes bounds the head of a probe.
	readyHeaderBytes = 4 << 10
)

// newReadyServer returns a server of readiness probes, which anyone may reach.
func newReadyServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: time.Second, ReadTimeout: time.Second, WriteTimeout: time.Second, IdleTimeout: readyIdleTimeout, MaxHeaderBytes: readyHeaderBytes}
}

// listenForCallers opens the listener for callers. Its connections inherit the sizes of
// their buffers from it, which bound what the kernel holds of each: the kernel's own choice
// grows to several MB.
func (edge *Edge) listenForCallers(ctx context.Context) (net.Listener, error) {
	size := accountant.SocketBuffer(edge.MemoryBytes)
	config := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
		var buffersErr error
		err := conn.Control(func(fd uintptr) {
			buffersErr = errors.Join(
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size),
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, size),
			)
		})
		if buffersErr != nil {
			// Callers can be served with larger buffers too.
			edge.Log.Warn("failed to bound the buffers of callers' sockets", "bytes", size, "error", buffersErr.Error())
		}
		return err
	}}
	return config.Listen(ctx, "tcp", edge.CallerListen)
}
