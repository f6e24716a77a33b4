package breaker

import (
	"io"
	"net"
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
