package sender_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/sender"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// protocol parses the headers of the tests' responses.
type protocol struct{}

func (protocol) ParseMetadata(status int, header http.Header) sender.Metadata {
	busyFor, _ := time.ParseDuration(header.Get("Busy"))
	return sender.Metadata{
		RequestID: header.Get("Id"), NotExecuted: status == http.StatusServiceUnavailable, Misdirected: status == http.StatusMisdirectedRequest,
		Leaving: header.Get("Leaving") != "", BusyFor: busyFor,
	}
}

// startUpstream listens on a free port and runs one script for each connection, in
// order.
func startUpstream(t *testing.T, scripts ...func(conn net.Conn, requests *bufio.Reader)) sender.Upstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for _, script := range scripts {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				script(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return sender.Upstream{ID: "u", StartedAt: 1, Address: listener.Addr().String()}
}

func newSender() *sender.Sender {
	return &sender.Sender{Clock: clocker.System{}, Protocol: protocol{}, Dial: sender.NewDialer()}
}

func request(id string) *sender.Request {
	return &sender.Request{ID: id, Method: "GET", Target: "/a%2Fb//c/../%00?x=%zz", Host: "h.example", Header: http.Header{"X": {"1", "2"}}}
}

// respond reads one request and writes text as the response. It returns nil if no
// request arrives.
func respond(conn net.Conn, requests *bufio.Reader, text string) *http.Request {
	received, err := http.ReadRequest(requests)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, received.Body)
	_, _ = io.WriteString(conn, text)
	return received
}

const okResponse = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"

// The upstream must receive the request line byte for byte, without any
// normalization of the target.
func TestRequestLineIsUnchanged(t *testing.T) {
	lines := make(chan string, 1)
	target := startUpstream(t, func(conn net.Conn, requests *bufio.Reader) {
		line, _ := requests.ReadString('\n')
		lines <- line
		_, _ = io.WriteString(conn, okResponse)
	})
	response, err := newSender().Send(t.Context(), target, request("1"))
	assert.NilError(t, err)
	assert.Equal(t, string(response.Body), "ok")
	assert.Equal(t, <-lines, "GET /a%2Fb//c/../%00?x=%zz HTTP/1.1\r\n")
}

// A late response to another request is skipped, and its connection is not reused.
func TestLateResponseIsSkipped(t *testing.T) {
	late := "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 4\r\n\r\nlate"
	target := startUpstream(t,
		func(conn net.Conn, requests *bufio.Reader) {
			respond(conn, requests, late+okResponse)
			respond(conn, requests, late)
		},
		func(conn net.Conn, requests *bufio.Reader) { respond(conn, requests, okResponse) })
	client := newSender()
	for range 2 {
		response, err := client.Send(t.Context(), target, request("1"))
		assert.NilError(t, err)
		assert.Equal(t, string(response.Body), "ok")
	}
}

// A request that is sent again must not use a connection that has carried it: a late
// second copy of the rejection has the ID of the retry (review/1: callers were told "not
// run" of requests that had run, or these ran twice). Other requests use the connection.
func TestRetryUsesAnotherConnection(t *testing.T) {
	const rejected = "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nContent-Length: 0\r\n\r\n"
	target := startUpstream(t,
		func(conn net.Conn, requests *bufio.Reader) {
			respond(conn, requests, rejected)
			respond(conn, requests, rejected+strings.ReplaceAll(okResponse, "Id: 1", "Id: 2"))
		},
		func(conn net.Conn, requests *bufio.Reader) { respond(conn, requests, okResponse) })
	client := newSender()
	var history sender.History
	for _, status := range []int{503, 200} {
		attempt := request("1")
		attempt.History = &history
		response, err := client.Send(t.Context(), target, attempt)
		assert.NilError(t, err)
		assert.Equal(t, response.Status, status)
	}
	response, err := client.Send(t.Context(), target, request("2"))
	assert.NilError(t, err)
	assert.Equal(t, response.Status, 200)
}

// A connection with bytes after the response is not reused: a later request would
// take them for its response.
func TestBytesAfterResponse(t *testing.T) {
	target := startUpstream(t,
		func(conn net.Conn, requests *bufio.Reader) {
			respond(conn, requests, okResponse)
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nbad")
			time.Sleep(time.Second)
		},
		func(conn net.Conn, requests *bufio.Reader) { respond(conn, requests, okResponse) })
	client := newSender()
	for range 2 {
		response, err := client.Send(t.Context(), target, request("1"))
		assert.NilError(t, err)
		assert.Equal(t, string(response.Body), "ok")
		time.Sleep(60 * time.Millisecond)
	}
}

// Anything but a complete, matching response gives an IncompleteResponseError, because
// the request may have run.
func TestBrokenResponses(t *testing.T) {
	for name, text := range map[string]string{
		"nothing":             "",
		"cut header":          "HTTP/1.1 200 OK\r\nId: 1",
		"cut body":            "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nok",
		"cut chunks":          "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok",
		"no response":         "\x00\x01\x02 rubbish\r\n\r\n",
		"of another":          "HTTP/1.1 200 OK\r\nId: 9\r\nContent-Length: 2\r\n\r\nok",
		"changed protocol":    "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n",
		"two lengths":         "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
		"length is no number": "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: two\r\n\r\nok",
	} {
		target := startUpstream(t, func(conn net.Conn, requests *bufio.Reader) { respond(conn, requests, text) })
		_, err := newSender().Send(t.Context(), target, request("1"))
		var broken *sender.IncompleteResponseError
		assert.Assert(t, errors.As(err, &broken), "%s: %v", name, err)
	}
}

// A response without a length that ends with a reset must not look complete.
func TestResetResponseWithoutLength(t *testing.T) {
	target := startUpstream(t, func(conn net.Conn, requests *bufio.Reader) {
		respond(conn, requests, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart")
		time.Sleep(20 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	_, err := newSender().Send(t.Context(), target, request("1"))
	var broken *sender.IncompleteResponseError
	assert.Assert(t, errors.As(err, &broken), "%v", err)
}

// A refused connection gives a NotSentError.
func TestRefusedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, err = newSender().Send(t.Context(), sender.Upstream{ID: "u", Address: address}, request("1"))
	var notSent *sender.NotSentError
	assert.Assert(t, errors.As(err, &notSent), "%v", err)
}

// An idle connection that the upstream has closed is not reused.
func TestClosedIdleConnection(t *testing.T) {
	target := startUpstream(t,
		func(conn net.Conn, requests *bufio.Reader) { respond(conn, requests, okResponse) },
		func(conn net.Conn, requests *bufio.Reader) { respond(conn, requests, okResponse) })
	client := newSender()
	for range 2 {
		_, err := client.Send(t.Context(), target, request("1"))
		assert.NilError(t, err)
		time.Sleep(50 * time.Millisecond)
	}
}

// A restarted upstream at the same address gets a new connection, not an idle one to
// its former process.
func TestRestartedUpstreamGetsNewConnection(t *testing.T) {
	script := func(conn net.Conn, requests *bufio.Reader) {
		for range 10 {
			respond(conn, requests, okResponse)
		}
	}
	target := startUpstream(t, script, script)
	client := newSender()
	opened := 0
	dial := client.Dial
	client.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		opened++
		return dial(ctx, network, address)
	}
	for _, startedAt := range []int64{1, 1, 2, 2} {
		target.StartedAt = startedAt
		_, err := client.Send(t.Context(), target, request("1"))
		assert.NilError(t, err)
	}
	assert.Equal(t, opened, 2)
}

// When the caller leaves, the connection to the upstream must be closed at once.
func TestCancelEndsTheConnection(t *testing.T) {
	ended := make(chan error, 1)
	target := startUpstream(t, func(_ net.Conn, requests *bufio.Reader) {
		_, err := http.ReadRequest(requests)
		assert.Check(t, err)
		_, err = requests.ReadByte()
		ended <- err
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, cancel)
	_, err := newSender().Send(ctx, target, request("1"))
	assert.ErrorIs(t, err, context.Canceled)
	select {
	case err := <-ended:
		assert.Assert(t, err != nil)
	case <-time.After(time.Second):
		t.Fatal("the upstream's connection is still open")
	}
}

// Guards against the reuse of a connection after an early response: the upstream
// still expects the rest of the long body there and would read the next request as
// part of it.
func TestEarlyResponse(t *testing.T) {
	target := startUpstream(t,
		func(conn net.Conn, requests *bufio.Reader) {
			_, err := requests.ReadString('\n')
			assert.Check(t, err)
			_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nId: 1\r\nContent-Length: 0\r\n\r\n")
			time.Sleep(time.Second)
		},
		func(conn net.Conn, requests *bufio.Reader) { respond(conn, requests, okResponse) })
	client := newSender()
	body, writer := io.Pipe()
	defer func() { _ = writer.Close() }()
	go func() { _, _ = writer.Write(bytes.Repeat([]byte("x"), 1000)) }()
	upload := request("1")
	upload.Method, upload.Stream, upload.ContentLength = "POST", body, 1<<20
	response, err := client.Send(t.Context(), target, upload)
	assert.NilError(t, err)
	assert.Equal(t, response.Status, 413)
	next, err := client.Send(t.Context(), target, request("1"))
	assert.NilError(t, err)
	assert.Equal(t, next.Status, 200)
}

// A streamed body arrives completely, with Content-Length or chunked.
func TestStreamedBodyArrivesWhole(t *testing.T) {
	text := strings.Repeat("0123456789", 20_000)
	for _, length := range []int64{int64(len(text)), -1} {
		got := make(chan string, 1)
		target := startUpstream(t, func(conn net.Conn, requests *bufio.Reader) {
			received, err := http.ReadRequest(requests)
			assert.Check(t, err)
			body, err := io.ReadAll(received.Body)
			assert.Check(t, err)
			got <- string(body)
			_, _ = io.WriteString(conn, okResponse)
		})
		upload := request("1")
		upload.Method, upload.Stream, upload.ContentLength = "POST", strings.NewReader(text), length
		_, err := newSender().Send(t.Context(), target, upload)
		assert.NilError(t, err)
		assert.Equal(t, <-got, text)
	}
}

// The end of a large response body is streamed through Rest.
func TestLargeResponse(t *testing.T) {
	text := strings.Repeat("x", 1<<20)
	target := startUpstream(t, func(conn net.Conn, requests *bufio.Reader) {
		respond(conn, requests, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 1048576\r\n\r\n"+text)
	})
	response, err := newSender().Send(t.Context(), target, request("1"))
	assert.NilError(t, err)
	assert.Equal(t, response.ContentLength, int64(1<<20))
	rest, err := io.ReadAll(response.Rest)
	assert.NilError(t, err)
	assert.Equal(t, len(response.Body)+len(rest), 1<<20)
	assert.NilError(t, response.Rest.Close())
}

// Guards against sending the request of a caller that has left. It can happen when the
// broker assigns the slot just as the caller leaves and an idle connection is
// available, so that nothing waits on ctx.
func TestNothingIsSentForACallerThatHasLeft(t *testing.T) {
	const attempts = 20
	var received atomic.Int32
	script := func(conn net.Conn, requests *bufio.Reader) {
		for respond(conn, requests, okResponse) != nil {
			received.Add(1)
		}
	}
	scripts := make([]func(net.Conn, *bufio.Reader), attempts+1)
	for i := range scripts {
		scripts[i] = script
	}
	target, client := startUpstream(t, scripts...), newSender()
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	for range attempts {
		_, err := client.Send(t.Context(), target, request("1"))
		assert.NilError(t, err)
		_, err = client.Send(cancelled, target, request("1"))
		var notSent *sender.NotSentError
		assert.Assert(t, errors.As(err, &notSent), "%v", err)
	}
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, received.Load(), int32(attempts))
}

// A request whose caller has left while it waited for a connection must not be sent, on
// a new connection or an idle one.
func TestCallerIsCheckedBeforeSending(t *testing.T) {
	var received atomic.Int32
	script := func(conn net.Conn, requests *bufio.Reader) {
		for respond(conn, requests, okResponse) != nil {
			received.Add(1)
		}
	}
	target, client := startUpstream(t, script, script), newSender()
	abandoned := request("1")
	abandoned.CallerLeft = func() bool { return true }
	var notSent *sender.NotSentError
	_, err := client.Send(t.Context(), target, abandoned)
	assert.Assert(t, errors.As(err, &notSent), "%v", err)
	_, err = client.Send(t.Context(), target, request("1"))
	assert.NilError(t, err)
	_, err = client.Send(t.Context(), target, abandoned)
	assert.Assert(t, errors.As(err, &notSent), "%v", err)
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, received.Load(), int32(1))
}
