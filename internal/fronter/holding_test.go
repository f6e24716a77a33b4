package fronter_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cuminstream/cuminstream/internal/accountant"
	"github.com/cuminstream/cuminstream/internal/fronter"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// startBounded starts a server with an account and a bound of its connections.
func startBounded(t *testing.T, serve handler, connections int) (*server, *accountant.Account) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	account := accountant.New(accountant.LimitsFor(64<<20), clocker.System{}, slog.New(slog.DiscardHandler))
	running := &fronter.Server{
		Listener: listener, Handler: serve, Clock: clocker.System{}, Log: slog.New(slog.DiscardHandler), Account: account, MaxConnections: connections,
		Limits: func() fronter.Limits {
			return fronter.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second}
		},
	}
	ctx, stop := context.WithCancel(context.Background())
	started := &server{address: listener.Addr().String(), stop: stop, done: make(chan struct{})}
	go func() {
		defer close(started.done)
		assert.Check(t, running.Run(ctx))
	}()
	t.Cleanup(func() {
		stop()
		<-started.done
		for _, use := range []accountant.Use{accountant.Connections, accountant.Requests, accountant.Responses} {
			assert.Check(t, account.Used(use) == 0, "%v: %d bytes were not released", use, account.Used(use))
		}
	})
	return started, account
}

const largeHead = "GET / HTTP/1.1\r\nHost: h\r\n"

// Guards against heads that are parsed before there is room for them, and against requests of
// one connection that hold more than their share, whatever their number.
func TestHeadsAreReserved(t *testing.T) {
	release := make(chan struct{})
	var present atomic.Int32
	running, account := startBounded(t, func(_ context.Context, request *fronter.Request) *fronter.Response {
		present.Add(1)
		<-release
		return &fronter.Response{Status: 200, Body: []byte(fmt.Sprint(len(request.Header)))}
	}, 0)
	conn, reader := running.dial(t)
	head := largeHead + strings.Repeat("a:\r\n", 2000) + "\r\n"
	go func() { _, _ = io.WriteString(conn, strings.Repeat(head, 8)) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if present.Load() == 1 && account.Used(accountant.Requests) > 300<<10 {
			return poll.Success()
		}
		return poll.Continue("%d present", present.Load())
	})
	other := account.NewHolder(netip.Addr{}, nil, nil)
	other.Force(accountant.Requests, account.Limits.Uses[accountant.Requests])
	refused, refusedReader := running.dial(t)
	_, err := io.WriteString(refused, head)
	assert.NilError(t, err)
	response, _ := readResponse(t, refusedReader)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, response.Header.Get("Retry-After") != "" && response.Close)
	assert.Equal(t, present.Load(), int32(1), "further requests of the connection wait")
	other.Close()
	close(release)
	for range 8 {
		response, body := readResponse(t, reader)
		assert.Equal(t, response.StatusCode, 200)
		assert.Equal(t, body, "1")
	}
}

// Guards against a head whose lines come in pieces, or after another request in the same
// packet, and that is not read as a whole.
func TestHeadsInPieces(t *testing.T) {
	running, _ := startBounded(t, func(_ context.Context, request *fronter.Request) *fronter.Response {
		body := []byte(nil)
		if request.Body != nil {
			body, _ = io.ReadAll(request.Body)
		}
		return &fronter.Response{Status: 200, Body: []byte(fmt.Sprint(len(request.Header["A"]), " ", len(body)))}
	}, 0)
	conn, reader := running.dial(t)
	requests := strings.Repeat(largeHead+strings.Repeat("a: b\n", 2000)+"\r\n"+largeHead+"Content-Length: 7000\r\n\r\n"+strings.Repeat("x", 7000), 2)
	go func() {
		for piece := range slices.Chunk([]byte(requests), 1013) {
			_, _ = conn.Write(piece)
		}
	}()
	for range 2 {
		_, body := readResponse(t, reader)
		assert.Equal(t, body, "2000 0")
		_, body = readResponse(t, reader)
		assert.Equal(t, body, "0 7000")
	}
}

// Guards against an eviction that reaches a handler as a complete body, and against one that
// ends a connection whose body has been read.
func TestEvictedUpload(t *testing.T) {
	errs, started := make(chan error, 2), make(chan struct{}, 2)
	running, account := startBounded(t, func(_ context.Context, request *fronter.Request) *fronter.Response {
		started <- struct{}{}
		_, err := io.ReadAll(request.Body)
		errs <- err
		return &fronter.Response{Status: 503}
	}, 0)
	conn, reader := running.dial(t)
	_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbodyPOST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbod")
	assert.NilError(t, err)
	assert.NilError(t, <-errs)
	for range 2 {
		<-started // a head that has not been read is refused from here on
	}
	other := account.NewHolder(netip.Addr{}, nil, nil)
	defer other.Close()
	other.Force(accountant.Requests, account.Limits.Uses[accountant.Requests])
	account.EvictStalled()
	assert.Equal(t, len(errs), 0, "the upload has not stalled yet")
	time.Sleep(1100 * time.Millisecond)
	account.EvictStalled()
	assert.Assert(t, errors.Is(<-errs, fronter.ErrBodyEvicted))
	readResponse(t, reader)
	response, _ := readResponse(t, reader)
	assert.Equal(t, response.StatusCode, 503)
	assert.Assert(t, response.Close)
}

// Guards against connections beyond the bound, and against idle ones that keep out others.
func TestLongestIdleConnectionIsClosed(t *testing.T) {
	running, _ := startBounded(t, echo, 4)
	var readers []*bufio.Reader
	var conns []net.Conn
	for range 4 {
		conn, reader := running.dial(t)
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		readResponse(t, reader)
		conns, readers = append(conns, conn), append(readers, reader)
		time.Sleep(50 * time.Millisecond) // the server notes the time after it has written
	}
	over, overReader := running.dial(t)
	_, _ = io.WriteString(over, "GET / HTTP/1.1\r\nHost: h\r\n\r\n") // the server may have closed it
	_, err := http.ReadResponse(overReader, nil)
	assert.Assert(t, err != nil, "there is no room: no connection has been idle for a second")
	time.Sleep(1100 * time.Millisecond)
	running.dial(t)
	_ = conns[0].SetReadDeadline(time.Now().Add(3 * time.Second))
	_, err = readers[0].ReadByte()
	assert.Equal(t, err, io.EOF, "the first one is closed")
	for i, conn := range conns[1:] {
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		readResponse(t, readers[i+1])
	}
}

// closeRecorder is the rest of a response. closed is closed with it.
type closeRecorder struct {
	io.Reader
	closed chan struct{}
}

func (recorder *closeRecorder) Close() error {
	close(recorder.closed)
	return nil
}

// Guards against a large response that stays on the upstream's connection, and keeps its
// slot, because its caller does not read.
func TestLargeResponseLeavesItsUpstream(t *testing.T) {
	const size = 4 << 20
	closed := make(chan struct{})
	running, _ := startBounded(t, func(context.Context, *fronter.Request) *fronter.Response {
		rest := &closeRecorder{Reader: io.LimitReader(zeros{}, size), closed: closed}
		return &fronter.Response{Status: 200, Rest: rest, ContentLength: size}
	}, 0)
	conn, reader := running.dial(t)
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the response stays at its upstream until the caller reads it")
	}
	_, body := readResponse(t, reader)
	assert.Equal(t, len(body), size)
}

type zeros struct{}

func (zeros) Read(data []byte) (int, error) { return len(data), nil }
