package upstreamer

import (
	"errors"
	"net"
	"sync"
)

// errSealed is returned for writes after the connection was sealed.
var errSealed = errors.New("the attempt has ended")

// connection counts the bytes that were handed to the kernel. Once sealed it
// accepts no more of them, so that the count is final.
type connection struct {
	net.Conn
	mutex   sync.Mutex
	written int64
	sealed  bool
}

// Write counts the bytes before it writes them, so that the count is never too
// low.
func (connection *connection) Write(data []byte) (int, error) {
	connection.mutex.Lock()
	if connection.sealed {
		connection.mutex.Unlock()
		return 0, errSealed
	}
	connection.written += int64(len(data))
	connection.mutex.Unlock()
	return connection.Conn.Write(data)
}

func (connection *connection) count() int64 {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	return connection.written
}

// seal ends the connection and returns the final count.
func (connection *connection) seal() int64 {
	connection.mutex.Lock()
	connection.sealed = true
	written := connection.written
	connection.mutex.Unlock()
	_ = connection.Close()
	return written
}

// attempt follows the connection that one request is written to.
type attempt struct {
	mutex      sync.Mutex
	connection *connection
	before     int64
}

func (attempt *attempt) got(conn net.Conn) {
	attempt.mutex.Lock()
	defer attempt.mutex.Unlock()
	if counted, ok := conn.(*connection); ok {
		attempt.connection, attempt.before = counted, counted.count()
	}
}

// unsent reports whether no byte of the request has left and none ever will.
// It must be called after the round trip has failed.
func (attempt *attempt) unsent() bool {
	attempt.mutex.Lock()
	defer attempt.mutex.Unlock()
	return attempt.connection == nil || attempt.connection.seal() == attempt.before
}
