package fronter_test

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/fronter"
)

// A request that has begun to arrive when the server stops must be served: the caller
// cannot know whether it has run if the connection is closed after it was read.
func TestRequestThatArrivesDuringTheStopIsServed(t *testing.T) {
	running := startServer(t, echo)
	conn, reader := running.dial(t)
	_, err := io.WriteString(conn, "GET /1 HTTP/1.1\r\nHo")
	assert.NilError(t, err)
	time.Sleep(20 * time.Millisecond)
	running.stop()
	time.Sleep(160 * time.Millisecond) // idle connections are closed by now
	_, err = io.WriteString(conn, "st: h\r\n\r\n")
	assert.NilError(t, err)
	response, body := readResponse(t, reader)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, body, "/1")
	assert.Assert(t, response.Close)
}

// During shutdown, requests in flight and requests on keep-alive connections are
// still served, and new connections are accepted until the load balancer has
// noticed.
func TestGracefulStop(t *testing.T) {
	running := startServer(t, echo)
	busy, busyReader := running.dial(t)
	kept, keptReader := running.dial(t)
	_, err := io.WriteString(kept, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	readResponse(t, keptReader)
	_, err = io.WriteString(busy, "GET /busy?wait=300ms HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	running.stop()
	time.Sleep(20 * time.Millisecond)
	for _, connect := range []bool{false, true} {
		conn, reader := kept, keptReader
		if connect {
			conn, reader = running.dial(t)
		}
		_, err = io.WriteString(conn, "GET /second HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		response, body := readResponse(t, reader)
		assert.Equal(t, body, "/second")
		assert.Assert(t, response.Close, "response without Connection: close")
	}
	response, body := readResponse(t, busyReader)
	assert.Equal(t, body, "/busy?wait=300ms")
	assert.Assert(t, response.Close)
	select {
	case <-running.done:
	case <-time.After(3 * time.Second):
		t.Fatal("shutdown does not finish")
	}
}

// A stop must end connections whose callers always have several requests in progress,
// and answer each request that has reached the handler (review/4: such connections were
// cut at the end of the stop, with three requests in progress on each).
func TestStopEndsPipelinedConnections(t *testing.T) {
	var served atomic.Int64
	running := startServer(t, func(ctx context.Context, request *fronter.Request) *fronter.Response {
		served.Add(1)
		return echo(ctx, request)
	})
	conn, reader := running.dial(t)
	var group errgroup.Group
	closed := make(chan struct{})
	group.Go(func() error {
		for {
			select {
			case <-closed:
				return nil
			case <-time.After(20 * time.Millisecond):
			}
			if _, err := io.WriteString(conn, "GET /?wait=50ms HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
				return err
			}
		}
	})
	answered := int64(0)
	var stoppedAt time.Time
	for {
		response, _ := readResponse(t, reader)
		answered++
		if answered == 10 {
			running.stop()
			stoppedAt = time.Now()
		}
		if response.Close {
			break
		}
	}
	close(closed)
	assert.NilError(t, group.Wait())
	_, err := reader.ReadByte()
	assert.Equal(t, err, io.EOF)
	assert.Assert(t, time.Since(stoppedAt) < 500*time.Millisecond, "the connection is closed %v after the stop", time.Since(stoppedAt))
	assert.Equal(t, answered, served.Load())
}

// While the last responses of a stop are awaited, the caller's close must still cancel
// its requests.
func TestCallerThatLeavesDuringTheStopIsNoticed(t *testing.T) {
	cancelled := make(chan struct{}, 2)
	running := startServer(t, func(ctx context.Context, request *fronter.Request) *fronter.Response {
		<-ctx.Done()
		cancelled <- struct{}{}
		return echo(ctx, request)
	})
	conn, _ := running.dial(t)
	_, err := io.WriteString(conn, "GET /first HTTP/1.1\r\nHost: h\r\n\r\nGET /second HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	time.Sleep(20 * time.Millisecond)
	running.stop()
	time.Sleep(300 * time.Millisecond) // no more requests are read by now
	_, err = io.WriteString(conn, "GET /third HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	time.Sleep(20 * time.Millisecond)
	assert.NilError(t, conn.Close())
	for range 2 {
		select {
		case <-cancelled:
		case <-time.After(time.Second):
			t.Fatal("the requests of the caller that left go on")
		}
	}
}
