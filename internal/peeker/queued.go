package peeker

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Queued returns the bytes that the kernel has received on a connection and nobody has read,
// and those that were written and that the peer has not acknowledged.
func Queued(conn net.Conn) (received, sent int64) {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return 0, 0
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return 0, 0
	}
	_ = raw.Control(func(fd uintptr) { // fails if the connection is closed: nothing is queued
		in, _ := unix.IoctlGetInt(int(fd), unix.SIOCINQ)
		out, _ := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		received, sent = int64(in), int64(out)
	})
	return received, sent
}
