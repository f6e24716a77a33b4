package sender_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// What an upstream says of itself is believed only in the response to this request, and not
// from another upstream at its address.
func TestNoticesNeedProof(t *testing.T) {
	const notices = "Leaving: 1\r\nBusy: 2s\r\nContent-Length: 0\r\n\r\n"
	for name, test := range map[string]struct {
		text string
		want bool
	}{
		"its response":     {"HTTP/1.1 503 Busy\r\nId: 1\r\n" + notices, true},
		"another upstream": {"HTTP/1.1 421 Misdirected\r\nId: 1\r\n" + notices, false},
		"without an ID":    {"HTTP/1.1 503 Busy\r\n" + notices, false},
		"another request":  {"HTTP/1.1 503 Busy\r\nId: 0\r\n" + notices + okResponse, false},
	} {
		target := startUpstream(t, func(conn net.Conn, requests *bufio.Reader) { respond(conn, requests, test.text) })
		response, err := newSender().Send(t.Context(), target, request("1"))
		assert.NilError(t, err, name)
		assert.Equal(t, response.Metadata.Leaving, test.want, name)
		assert.Equal(t, response.Metadata.BusyFor > 0, test.want, name)
	}
}

// A response that is too large to buffer must be streamed to its end after the context of
// its request is done, as long as the caller stays: answers of over 256 KiB never arrived
// complete. When the caller leaves, the connection is closed.
func TestLargeResponseOutlivesTheRequest(t *testing.T) {
	const size = 3 << 20
	text := strings.Repeat("0123456789abcdef", size/16)
	for name, head := range map[string]string{
		"length":      fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: %d\r\n\r\n", size),
		"chunked":     fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", size),
		"until close": "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n",
	} {
		script := func(conn net.Conn, requests *bufio.Reader) {
			respond(conn, requests, head+text)
			if name == "chunked" {
				_, _ = io.WriteString(conn, "\r\n0\r\n\r\n")
			}
		}
		target := startUpstream(t, script, script)
		for _, leaves := range []bool{false, true} {
			caller, leave := context.WithCancel(t.Context())
			ctx, cancel := context.WithCancel(caller)
			large := request("1")
			large.StreamContext = caller
			response, err := newSender().Send(ctx, target, large)
			assert.NilError(t, err, name)
			cancel()
			if leaves {
				leave()
				time.Sleep(20 * time.Millisecond)
			}
			rest, err := io.ReadAll(response.Rest)
			assert.Equal(t, err != nil, leaves, "%s: %v", name, err)
			assert.Assert(t, leaves || string(response.Body)+string(rest) == text, name)
			_ = response.Rest.Close() // the connection is closed if the caller has left
			leave()
		}
	}
}

// A response that ends at any byte before its last one must not count as complete, the head
// included: other operators' callers got a 200 with an empty or short body whose upstream
// had closed the connection in the middle of the head.
func TestResponseCutAtAnyByte(t *testing.T) {
	for name, whole := range map[string]string{
		"length":         "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 12\r\n\r\nhello, world",
		"length, LF":     "HTTP/1.1 200 OK\nId: 1\nContent-Length: 2\n\nok",
		"chunked":        "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX: y\r\n\r\n",
		"interim":        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok",
		"length at last": "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
		"no length":      "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\n",
	} {
		scripts := make([]func(net.Conn, *bufio.Reader), len(whole)+1)
		for end := range scripts {
			scripts[end] = func(conn net.Conn, requests *bufio.Reader) { respond(conn, requests, whole[:end]) }
		}
		target := startUpstream(t, scripts...)
		for end := range len(whole) {
			response, err := newSender().Send(t.Context(), target, request("1"))
			assert.Check(t, err != nil, "%s, %q: %+v", name, whole[:end], response)
		}
		_, err := newSender().Send(t.Context(), target, request("1"))
		assert.Check(t, err, name)
	}
}
