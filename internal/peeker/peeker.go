package peeker

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is the state of the receiving side of a connection.
type State int

const (
	// Unknown means that the connection has no file descriptor.
	Unknown State = iota
	// Quiet means that the connection is open and has no unread bytes.
	Quiet
	// Readable means that there are unread bytes. The peer may have closed the
	// connection after them.
	Readable
	// Closed means that the peer has closed or reset the connection, or that it is
	// closed on this side.
	Closed
)

// Peek returns the state of the connection. It may be called while another goroutine
// reads from it.
func Peek(conn net.Conn) State {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return Unknown
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	// Control does not wait for a Read in progress, unlike RawConn.Read.
	err = raw.Control(func(fd uintptr) { state = peek(int(fd)) })
	if err != nil {
		return Closed
	}
	return state
}

func peek(fd int) State {
	for {
		var peeked [1]byte
		n, _, err := unix.Recvfrom(fd, peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == unix.EINTR:
		case err == unix.EAGAIN || err == unix.EWOULDBLOCK:
			return Quiet
		case err == nil && n > 0:
			return Readable
		default:
			return Closed
		}
	}
}

// EndedByReset reports whether a connection that has no more bytes to read ended in another
// way than by the peer's end of its stream: by a reset, a timeout, or on this side. The
// kernel reports such an end to one system call only; if that is a write, a read afterwards
// reports the end of the stream. It reports false for a connection without a TCP socket.
func EndedByReset(conn net.Conn) bool {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == unix.BPF_TCP_CLOSE
	})
	return closed || err != nil
}
