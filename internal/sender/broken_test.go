package sender_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/sender"
	"github.com/cuminstream/cuminstream/internal/standin/breaker"
)

// Guards against a response with an invalid field name that is passed on: net/http keeps
// names with spaces. "Content-Length : 4" does not frame the body, so that the caller may get
// a body that is not the upstream's. The next request must use another connection.
func TestInvalidFields(t *testing.T) {
	for name, broken := range breaker.InvalidFields("Id: 1\r\n") {
		target := startUpstream(t,
			func(conn net.Conn, requests *bufio.Reader) {
				respond(conn, requests, broken.Text)
				if !broken.Closes {
					respond(conn, requests, strings.Replace(okResponse, "ok", "no", 1))
				}
			},
			func(conn net.Conn, requests *bufio.Reader) { respond(conn, requests, okResponse) })
		client := newSender()
		response, err := client.Send(t.Context(), target, request("1"))
		var incomplete *sender.IncompleteResponseError
		if !assert.Check(t, errors.As(err, &incomplete), "%s: %+v, %v", name, response, err) {
			continue
		}
		response, err = client.Send(t.Context(), target, request("1"))
		assert.NilError(t, err, name)
		assert.Equal(t, string(response.Body), "ok", name)
	}
}

// Guards against the same in the trailer of a response that is streamed: the caller has got a
// part of it, and must not take it for all.
func TestInvalidTrailerOfStreamedResponse(t *testing.T) {
	for _, line := range breaker.InvalidLines() {
		target := startUpstream(t, func(conn net.Conn, requests *bufio.Reader) {
			const size = 300 << 10
			respond(conn, requests, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n%s\r\n\r\n",
				size, strings.Repeat("x", size), line))
		})
		response, err := newSender().Send(t.Context(), target, request("1"))
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Rest)
		assert.Check(t, err != nil, "%q: the body looks complete", line)
		assert.NilError(t, response.Rest.Close())
	}
}

// Guards against a part of a response without a length that counts as the whole, because a
// write of the upload has taken the reset from the kernel, or is taking it. The process may
// get little processor time, and its connections need not be TCP sockets.
func TestResetOfAnEarlyResponse(t *testing.T) {
	for name, delay := range breaker.Delays() {
		for _, size := range []int{4, 300 << 10} {
			for range 8 {
				_, err := sendLongUpload(t, delay, func(conn net.Conn, requests *bufio.Reader) {
					breaker.ResetDuringUpload(conn, requests, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"+strings.Repeat("x", size))
				})
				assert.Check(t, err != nil, "%s: %d bytes look like a complete response", name, size)
			}
		}
	}
}

// Guards against the rejection of an early response that is complete: one with a length, and
// one without whose connection was closed in order.
func TestCompleteEarlyResponse(t *testing.T) {
	for name, delay := range breaker.Delays() {
		for _, size := range []int{4, 300 << 10} {
			for _, length := range []string{"", fmt.Sprintf("Content-Length: %d\r\n", size)} {
				body, err := sendLongUpload(t, delay, func(conn net.Conn, requests *bufio.Reader) {
					breaker.CloseDuringUpload(conn, requests, "HTTP/1.1 200 OK\r\nId: 1\r\n"+length+"\r\n"+strings.Repeat("x", size))
				})
				assert.Check(t, err, "%s, %q", name, length)
				assert.Check(t, len(body) == size, "%s, %q: %d of %d bytes", name, length, len(body), size)
			}
		}
	}
}

// sendLongUpload sends an upload without end over a connection with the delay, and returns the
// body of the response. The upstream has read the request line when it runs the script.
func sendLongUpload(t *testing.T, delay breaker.Delay, script func(conn net.Conn, requests *bufio.Reader)) ([]byte, error) {
	target := startUpstream(t, func(conn net.Conn, requests *bufio.Reader) {
		_, _ = requests.ReadString('\n')
		script(conn, requests)
	})
	client := newSender()
	client.Dial = delay.WrapDial(client.Dial)
	upload := request("1")
	upload.Method, upload.Stream, upload.ContentLength = "POST", endless{}, 1<<40
	response, err := client.Send(t.Context(), target, upload)
	if err != nil {
		return nil, err
	}
	if response.Rest == nil {
		return response.Body, nil
	}
	rest, err := io.ReadAll(response.Rest)
	_ = response.Rest.Close()
	return append(response.Body, rest...), err
}
