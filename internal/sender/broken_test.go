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
