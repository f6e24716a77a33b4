package linker

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/coder/websocket"
	"golang.org/x/sys/unix"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// linkKind distinguishes control links from request links.
type linkKind string

const (
	controlLink linkKind = "control"
	requestLink linkKind = "request"
)

// countingConn counts the bytes of a network connection. It starts to count after
// the handshake, which tells the kind of link.
type countingConn struct {
	net.Conn
	counters atomic.Pointer[byteCounters]
}

// Read reads from the connection and counts the bytes.
func (conn *countingConn) Read(data []byte) (int, error) {
	count, err := conn.Conn.Read(data)
	if traffic := conn.counters.Load(); traffic != nil {
		traffic.read.Add(float64(count))
	}
	return count, err
}

// Write writes to the connection and counts the bytes.
func (conn *countingConn) Write(data []byte) (int, error) {
	count, err := conn.Conn.Write(data)
	if traffic := conn.counters.Load(); traffic != nil {
		traffic.written.Add(float64(count))
	}
	return count, err
}

// connection is an authenticated WebSocket connection.
type connection struct {
	socket  *websocket.Conn
	conn    *countingConn
	rawConn syscall.RawConn // nil if the connection has no file descriptor
	peer    string
	kind    linkKind

	pollReadable func(descriptor uintptr)
	pollFds      [1]unix.PollFd
	noEvents     bool // result of pollReadable: open, and nothing to read
	aborted      atomic.Bool
}

func newConnection(socket *websocket.Conn, conn *countingConn) *connection {
	connection := &connection{socket: socket, conn: conn}
	if system, ok := conn.Conn.(syscall.Conn); ok {
		connection.rawConn, _ = system.SyscallConn()
	}
	connection.pollReadable = func(descriptor uintptr) {
		connection.pollFds[0] = unix.PollFd{Fd: int32(descriptor), Events: unix.POLLIN | unix.POLLRDHUP}
		count, err := unix.Poll(connection.pollFds[:], 0)
		connection.noEvents = err == nil && count == 0
	}
	return connection
}

// bufferPool recycles the buffers of messages.
var bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// maxPooledBuffer bounds the capacity of a recycled buffer. It leaves room for a
// body chunk and its frame.
const maxPooledBuffer = 2 * maxChunk

func newBuffer() *bytes.Buffer { return bufferPool.Get().(*bytes.Buffer) }

func freeBuffer(buffer *bytes.Buffer) {
	if buffer == nil || buffer.Cap() > maxPooledBuffer {
		return
	}
	buffer.Reset()
	bufferPool.Put(buffer)
}

// read returns the next message in a buffer that the caller frees. The buffer
// grows with the bytes that arrive, not to the size that the peer announces.
func (connection *connection) read() (*bytes.Buffer, error) {
	kind, reader, err := connection.socket.Reader(context.Background())
	if err != nil {
		return nil, err
	}
	if kind != websocket.MessageBinary {
		return nil, fmt.Errorf("%w: text message", errProtocol)
	}
	buffer := newBuffer()
	for {
		space := buffer.AvailableBuffer()
		if cap(space) < bytes.MinRead {
			buffer.Grow(max(bytes.MinRead, buffer.Len()))
			space = buffer.AvailableBuffer()
		}
		count, err := reader.Read(space[:cap(space)])
		buffer.Write(space[:count])
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			freeBuffer(buffer)
			return nil, err
		}
	}
}

// write sends a message. After an error, the peer has provably not received the
// whole message: it knows the length of the WebSocket frame, and the kernel did
// not accept the last byte of the frame.
func (connection *connection) write(message []byte) error {
	return connection.socket.Write(context.Background(), websocket.MessageBinary, message)
}

// abort resets the TCP connection. A reset reaches the peer even when its receive
// window is full, so that the peer notices a cancelled upload.
func (connection *connection) abort() {
	if !connection.aborted.CompareAndSwap(false, true) {
		return
	}
	if tcp, ok := connection.conn.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.conn.Close()
}

// close releases the WebSocket. It must not be called while the link is read or
// written.
func (connection *connection) close() {
	_ = connection.socket.CloseNow()
}

// isReusable reports whether an idle link is still open and the peer has sent
// nothing: a peer sends on an idle link only to close it.
func (connection *connection) isReusable() bool {
	if connection.aborted.Load() {
		return false
	}
	if connection.rawConn == nil {
		return true
	}
	connection.noEvents = false
	return connection.rawConn.Control(connection.pollReadable) == nil && connection.noEvents
}

// isReset reports whether the peer has reset the link, without reading from it.
func (connection *connection) isReset() bool {
	if connection.aborted.Load() {
		return true
	}
	if connection.rawConn == nil {
		return false
	}
	reset := false
	err := connection.rawConn.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && info.State == tcpStateClose
	})
	return reset || err != nil
}

// tcpStateClose is TCP_CLOSE in Linux's enum of TCP states.
const tcpStateClose = 7

// setTimeout sets the deadline of reads and writes; 0 removes it. It uses the
// system clock, because deadlines of the network stack know no other.
func (connection *connection) setTimeout(timeout time.Duration) {
	var deadline time.Time
	if timeout > 0 {
		deadline = clocker.System{}.Now().Add(timeout)
	}
	_ = connection.conn.SetDeadline(deadline)
}

// setWriteTimeout sets the deadline of the following writes.
func (connection *connection) setWriteTimeout(timeout time.Duration) {
	_ = connection.conn.SetWriteDeadline(clocker.System{}.Now().Add(timeout))
}

// finishHandshake starts to count bytes and sets the socket options of the kind
// of link.
func (connection *connection) finishHandshake(metrics *Metrics) {
	traffic := metrics.byteCounters(connection.kind)
	connection.conn.counters.Store(&traffic)
	if connection.kind == controlLink && connection.rawConn != nil {
		_ = connection.rawConn.Control(func(descriptor uintptr) {
			timeout := int(unackedTimeout.Milliseconds())
			_ = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, timeout)
		})
	}
}
