package peeker_test

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/peeker"
)

// pair returns the two ends of a TCP connection.
func pair(t *testing.T) (near, far *net.TCPConn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = dialed.Close()
		_ = accepted.Close()
	})
	return accepted.(*net.TCPConn), dialed.(*net.TCPConn)
}

// awaitState waits until the connection has the state.
func awaitState(t *testing.T, conn net.Conn, want peeker.State) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for peeker.Peek(conn) != want {
		assert.Assert(t, time.Now().Before(deadline), "state %d, want %d", peeker.Peek(conn), want)
		time.Sleep(time.Millisecond)
	}
}

func TestStates(t *testing.T) {
	near, far := pair(t)
	assert.Equal(t, peeker.Peek(near), peeker.Quiet)
	_, err := far.Write([]byte("x"))
	assert.NilError(t, err)
	awaitState(t, near, peeker.Readable)
	_, err = near.Read(make([]byte, 8))
	assert.NilError(t, err)
	assert.NilError(t, far.CloseWrite())
	awaitState(t, near, peeker.Closed)

	near, far = pair(t)
	assert.NilError(t, far.SetLinger(0)) // Close resets the connection
	assert.NilError(t, far.Close())
	awaitState(t, near, peeker.Closed)

	near, _ = pair(t)
	assert.NilError(t, near.Close())
	assert.Equal(t, peeker.Peek(near), peeker.Closed)

	pipe, _ := net.Pipe()
	assert.Equal(t, peeker.Peek(pipe), peeker.Unknown)
}

// A goroutine that waits in Read must not delay Peek, nor must a read deadline that has
// passed make a connection look closed.
func TestPeekDuringRead(t *testing.T) {
	near, _ := pair(t)
	reading := make(chan struct{})
	go func() {
		defer close(reading)
		_, _ = near.Read(make([]byte, 1))
	}()
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, peeker.Peek(near), peeker.Quiet)
	assert.NilError(t, near.SetReadDeadline(time.Unix(1, 0)))
	<-reading
	assert.Equal(t, peeker.Peek(near), peeker.Quiet)
}

// Guards against a reset that is taken for the end of the peer's stream, and the reverse.
func TestEndedByReset(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	for _, reset := range []bool{false, true} {
		conn, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		accepted, err := listener.Accept()
		assert.NilError(t, err)
		assert.Assert(t, !peeker.EndedByReset(conn))
		if reset {
			assert.NilError(t, accepted.(*net.TCPConn).SetLinger(0))
		}
		assert.NilError(t, accepted.Close())
		_, err = conn.Read(make([]byte, 1))
		assert.Assert(t, err != nil)
		assert.Equal(t, peeker.EndedByReset(conn), reset)
		assert.NilError(t, conn.Close())
		assert.Assert(t, peeker.EndedByReset(conn))
	}
	pipe, other := net.Pipe()
	assert.NilError(t, other.Close())
	assert.Assert(t, !peeker.EndedByReset(pipe))
}

// Guards against bytes in the kernel's buffers that are not seen: received and not read, and
// written and not acknowledged.
func TestQueued(t *testing.T) {
	near, far := pair(t)
	received, sent := peeker.Queued(near)
	assert.Equal(t, received+sent, int64(0))
	_, err := far.Write(make([]byte, 1000))
	assert.NilError(t, err)
	for deadline := time.Now().Add(5 * time.Second); received < 1000 && time.Now().Before(deadline); {
		received, _ = peeker.Queued(near)
	}
	assert.Equal(t, received, int64(1000))
	for { // until the peer's receive buffer is full
		assert.NilError(t, near.SetWriteDeadline(time.Now().Add(200*time.Millisecond)))
		if _, err := near.Write(make([]byte, 64<<10)); err != nil {
			break
		}
	}
	_, sent = peeker.Queued(near)
	assert.Assert(t, sent > 0)
	_ = near.Close()
	received, sent = peeker.Queued(near)
	assert.Equal(t, received+sent, int64(0))
}
