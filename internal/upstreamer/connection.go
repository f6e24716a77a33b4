package upstreamer

import (
	"errors"
	"net"
	"sync"
)

// errAttemptEnded is returned by reads of a request body and writes to a
// connection after the attempt has ended.
var errAttemptEnded = errors.New("the attempt has ended")

// countingConn counts the bytes that are passed to the kernel. After Close it
// accepts no more, so that the count is final.
type countingConn struct {
	net.Conn
	mutex   sync.Mutex
	written int64
	closed  bool
}

// Write counts the bytes before it writes them, so that the count is never too low.
func (conn *countingConn) Write(data []byte) (int, error) {
	conn.mutex.Lock()
	if conn.closed {
		conn.mutex.Unlock()
		return 0, errAttemptEnded
	}
	conn.written += int64(len(data))
	conn.mutex.Unlock()
	return conn.Conn.Write(data)
}

func (conn *countingConn) writtenBytes() int64 {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return conn.written
}

// Close blocks further writes and closes the connection.
func (conn *countingConn) Close() error {
	conn.mutex.Lock()
	conn.closed = true
	conn.mutex.Unlock()
	return conn.Conn.Close()
}

// closeAndCount closes the connection and returns the final count.
func (conn *countingConn) closeAndCount() int64 {
	_ = conn.Close()
	return conn.writtenBytes()
}

// attempt records the connection that a request is written to.
type attempt struct {
	mutex         sync.Mutex
	connection    *countingConn // nil until the transport has chosen one
	writtenBefore int64
}

func (attempt *attempt) setConnection(conn net.Conn) {
	attempt.mutex.Lock()
	defer attempt.mutex.Unlock()
	if counted, ok := conn.(*countingConn); ok {
		attempt.connection, attempt.writtenBefore = counted, counted.writtenBytes()
	}
}

// unsent reports whether no byte of the request was written to its connection. It
// closes the connection first, so that none can be written later. It must be called
// only after the round trip has failed.
func (attempt *attempt) unsent() bool {
	attempt.mutex.Lock()
	defer attempt.mutex.Unlock()
	return attempt.connection == nil || attempt.connection.closeAndCount() == attempt.writtenBefore
}
