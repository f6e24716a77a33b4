package fronter_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/fronter"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// handler adapts a function to fronter.Handler.
type handler func(ctx context.Context, request *fronter.Request) *fronter.Response

func (handler handler) Serve(ctx context.Context, request *fronter.Request) *fronter.Response {
	return handler(ctx, request)
}

type server struct {
	address string
	stop    context.CancelFunc
	done    chan struct{}
}

func startServer(t *testing.T, serve handler) *server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	running := &fronter.Server{
		Listener: listener, Handler: serve, Clock: clocker.System{}, Log: slog.New(slog.DiscardHandler),
		Limits: func() fronter.Limits {
			return fronter.Limits{HeaderBytes: 2000, BodyBytes: 5000, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: 400 * time.Millisecond}
		},
		StopNotice: 100 * time.Millisecond, StopTimeout: 2 * time.Second,
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
	})
	return started
}

func (server *server) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", server.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn, bufio.NewReader(conn)
}

func readResponse(t *testing.T, reader *bufio.Reader) (*http.Response, string) {
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response, string(body)
}

// echo responds with the target and, if there is a body, its length and the error
// of reading it. ?wait=… delays the response.
func echo(ctx context.Context, request *fronter.Request) *fronter.Response {
	if _, wait, ok := strings.Cut(request.Target, "wait="); ok {
		d, _ := time.ParseDuration(wait)
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
	}
	body := request.Target
	if request.Body != nil {
		data, err := io.ReadAll(request.Body)
		body += fmt.Sprintf(" %d %v", len(data), err)
	}
	return &fronter.Response{Status: 200, Header: http.Header{}, Body: []byte(body)}
}

// Pipelined requests are served concurrently, and their responses are in order.
func TestPipelining(t *testing.T) {
	conn, reader := startServer(t, echo).dial(t)
	_, err := io.WriteString(conn, "GET /1?wait=200ms HTTP/1.1\r\nHost: h\r\n\r\nGET /2?wait=200ms HTTP/1.1\r\nHost: h\r\n\r\nGET /3 HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	began := time.Now()
	for _, want := range []string{"/1?wait=200ms", "/2?wait=200ms", "/3"} {
		_, body := readResponse(t, reader)
		assert.Equal(t, body, want)
	}
	assert.Assert(t, time.Since(began) < 390*time.Millisecond, "the second request waited for the first")
}

// When a caller disconnects, its requests must be cancelled at once, including
// pipelined ones.
func TestCallerLeaves(t *testing.T) {
	left := make(chan time.Time, 4)
	running := startServer(t, func(ctx context.Context, _ *fronter.Request) *fronter.Response {
		select {
		case <-ctx.Done():
			left <- time.Now()
		case <-time.After(3 * time.Second):
		}
		return &fronter.Response{Status: 200}
	})
	for _, requests := range []int{1, 3} {
		conn, _ := running.dial(t)
		_, err := io.WriteString(conn, strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", requests))
		assert.NilError(t, err)
		time.Sleep(50 * time.Millisecond)
		closed := time.Now()
		assert.NilError(t, conn.Close())
		for range requests {
			select {
			case at := <-left:
				assert.Assert(t, at.Sub(closed) < 250*time.Millisecond)
			case <-time.After(2 * time.Second):
				t.Fatal("request not cancelled after its caller disconnected")
			}
		}
	}
}

// A close by the caller must be found when it matters, also if the connection's reader
// does not run: in the benchmark (saphan-gw-grown trouble-1, lochside-gw-grown
// trouble-2), VMs with little processor time sent requests on whose callers had left
// over half a second before. Here the reader waits because too many pipelined requests
// are in progress.
func TestCallerLeftIsFoundWithoutTheReader(t *testing.T) {
	const requests = 40
	started := make(chan *fronter.Request, requests)
	cancelled := make(chan struct{}, requests)
	running := startServer(t, func(ctx context.Context, request *fronter.Request) *fronter.Response {
		started <- request
		<-ctx.Done()
		cancelled <- struct{}{}
		return &fronter.Response{Status: 200, Header: http.Header{}}
	})
	conn, _ := running.dial(t)
	_, err := io.WriteString(conn, strings.Repeat("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n", requests))
	assert.NilError(t, err)
	request := <-started
	for range 15 {
		<-started
	}
	assert.Assert(t, !request.CallerLeft())
	assert.NilError(t, conn.Close())
	deadline := time.Now().Add(5 * time.Second)
	for !request.CallerLeft() {
		assert.Assert(t, time.Now().Before(deadline), "the close is not found")
		time.Sleep(time.Millisecond)
	}
	for range 16 {
		<-cancelled
	}
}

// The target must reach the handler byte for byte, without decoding or cleaning.
func TestTargetUnchanged(t *testing.T) {
	conn, reader := startServer(t, echo).dial(t)
	for _, target := range []string{"/a%2Fb%00c", "//a//b", "/a/../b", "/a;b?c=%2F&d", "http://h.example/x"} {
		_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", target)
		assert.NilError(t, err)
		_, body := readResponse(t, reader)
		assert.Equal(t, body, target)
	}
}

// Bodies with Content-Length and chunked bodies are read completely, and the next
// request on the connection is parsed after them.
func TestBodies(t *testing.T) {
	conn, reader := startServer(t, echo).dial(t)
	_, err := io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcPOST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\nGET /c HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	for _, want := range []string{"/a 3 <nil>", "/b 2 <nil>", "/c"} {
		_, body := readResponse(t, reader)
		assert.Equal(t, body, want)
	}
}

func TestExpectContinue(t *testing.T) {
	conn, reader := startServer(t, echo).dial(t)
	_, err := io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
	assert.NilError(t, err)
	line, err := reader.ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, line, "HTTP/1.1 100 Continue\r\n")
	_, err = reader.ReadString('\n')
	assert.NilError(t, err)
	_, err = io.WriteString(conn, "abc")
	assert.NilError(t, err)
	_, body := readResponse(t, reader)
	assert.Equal(t, body, "/a 3 <nil>")
}

// A malformed request must not reach the handler: the caller gets one error
// response and the connection is closed.
func TestMalformedRequests(t *testing.T) {
	running := startServer(t, func(context.Context, *fronter.Request) *fronter.Response {
		t.Error("handler called for a malformed request")
		return &fronter.Response{Status: 200}
	})
	for name, test := range map[string]struct {
		text   string
		status int
	}{
		"not HTTP":                {"rubbish\r\n\r\n", 400},
		"missing host":            {"GET / HTTP/1.1\r\n\r\n", 400},
		"conflicting lengths":     {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
		"negative length":         {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n", 400},
		"unknown transfer coding": {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n", 400},
		"folded header":           {"GET / HTTP/1.1\r\nHost: h\r\nX: a\r\n Y: b\r\n\tZ\r\n: c\r\n\r\n", 400},
		"space before colon":      {"GET / HTTP/1.1\r\nHost: h\r\nX : y\r\n\r\n", 400},
		"space in a field name":   {"GET / HTTP/1.1\r\nHost: h\r\nX Y: z\r\n\r\n", 400},
		"header too large":        {"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 20_000) + "\r\n\r\n", 431},
	} {
		conn, reader := running.dial(t)
		_, err := io.WriteString(conn, test.text)
		assert.NilError(t, err)
		response, _ := readResponse(t, reader)
		assert.Equal(t, response.StatusCode, test.status, name)
		_, err = reader.ReadByte()
		assert.Assert(t, err != nil, "%s: connection not closed", name)
	}
}

// Connections with an incomplete header and idle connections are closed after
// their timeouts.
func TestTimeouts(t *testing.T) {
	running := startServer(t, echo)
	for name, text := range map[string]string{"slow header": "GET / HTTP/1.1\r\nHost", "idle": ""} {
		conn, reader := running.dial(t)
		_, err := io.WriteString(conn, text)
		assert.NilError(t, err)
		began := time.Now()
		_, _ = io.Copy(io.Discard, reader)
		assert.Assert(t, time.Since(began) < 2*time.Second, name)
	}
}

func TestBodyOverLimit(t *testing.T) {
	conn, reader := startServer(t, echo).dial(t)
	_, err := io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1770\r\n"+strings.Repeat("x", 6000)+"\r\n0\r\n\r\n")
	assert.NilError(t, err)
	response, body := readResponse(t, reader)
	assert.Assert(t, strings.Contains(body, fronter.ErrBodyTooLarge.Error()))
	assert.Assert(t, response.Close)
}

// If a streamed body fails midway, the caller must see an error rather than a
// response that looks complete.
func TestTruncatedResponse(t *testing.T) {
	truncated := func(length int64) handler {
		return func(context.Context, *fronter.Request) *fronter.Response {
			rest := io.NopCloser(io.MultiReader(strings.NewReader("part"), failingReader{}))
			return &fronter.Response{Status: 200, Header: http.Header{}, Rest: rest, ContentLength: length}
		}
	}
	for _, length := range []int64{100, -1} {
		conn, reader := startServer(t, truncated(length)).dial(t)
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		_, err = io.ReadAll(response.Body)
		assert.Assert(t, err != nil, "truncated response looks complete")
	}
}

// A response to an HTTP/1.0 caller that has no length ends with its connection. If it
// breaks off, the connection must be reset: a close would make it look complete.
func TestTruncatedResponseWithoutLength(t *testing.T) {
	running := startServer(t, func(context.Context, *fronter.Request) *fronter.Response {
		rest := io.NopCloser(io.MultiReader(strings.NewReader("part"), failingReader{}))
		return &fronter.Response{Status: 200, Header: http.Header{}, Rest: rest, ContentLength: -1}
	})
	conn, reader := running.dial(t)
	_, err := io.WriteString(conn, "GET / HTTP/1.0\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	response, err := http.ReadResponse(reader, nil)
	if err == nil {
		_, err = io.ReadAll(response.Body)
	}
	assert.Assert(t, err != nil, "truncated response looks complete")
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func TestWithoutHopByHop(t *testing.T) {
	kept := fronter.WithoutHopByHop(http.Header{
		"Connection": {"X-Own, close"}, "X-Own": {"1"}, "Keep-Alive": {"timeout=5"}, "Te": {"x"}, "Upgrade": {"y"}, "Accept": {"z"},
	})
	assert.DeepEqual(t, kept, http.Header{"Accept": {"z"}})
}

// For any input, no more requests are served than were sent completely, and the
// connection is closed or makes progress within its timeouts.
func FuzzConnection(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nX : y\r\n\r\n", "\r\n\r\nGET / HTTP/1.0\r\n\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		served := 0
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		running := &fronter.Server{
			Listener: listener, Clock: clocker.System{}, Log: slog.New(slog.DiscardHandler),
			Handler: handler(func(_ context.Context, request *fronter.Request) *fronter.Response {
				if request.Body != nil {
					_, _ = io.Copy(io.Discard, request.Body)
				}
				return &fronter.Response{Status: 200, Header: http.Header{"Served": {"1"}}}
			}),
			Limits: func() fronter.Limits {
				return fronter.Limits{HeaderBytes: 2000, BodyBytes: 5000, HeaderTimeout: 30 * time.Millisecond, IdleTimeout: 30 * time.Millisecond}
			},
			StopTimeout: 200 * time.Millisecond,
		}
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			assert.Check(t, running.Run(ctx))
		}()
		conn, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		_, _ = conn.Write(data)
		_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		reader := bufio.NewReader(conn)
		for {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				break
			}
			_, _ = io.Copy(io.Discard, response.Body)
			if response.Header.Get("Served") != "" {
				served++
			}
		}
		assert.Assert(t, served <= strings.Count(string(data), "HTTP/1."), "more requests served than sent")
		_ = conn.Close()
		stop()
		<-done
	})
}
