package router_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/carrier"
	"github.com/cuminstream/cuminstream/pkg/answerer"
)

// Guards against a request whose Trailer header announces an invalid name: net/http does not
// send it, so that its upstream would count as unreachable.
func TestInvalidAnnouncedTrailerIsRefused(t *testing.T) {
	server := startRouter(t, &fakeVMs{handlers: map[string]func(context.Context, *carrier.Request) (*carrier.Response, error){"a": echo}})
	send := func(text string) *http.Response {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = io.WriteString(conn, "PUT /quotes/k HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"+text)
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		return response
	}
	assertError(t, send("Trailer: X Y\r\n\r\n1\r\na\r\n0\r\nX Y: 1\r\n\r\n"), answerer.Malformed)
	assert.Equal(t, send("Trailer: X\r\n\r\n1\r\na\r\n0\r\nX: 1\r\nX Y: 1\r\n\r\n").StatusCode, http.StatusOK)
	assert.Equal(t, send("\r\n1\r\na\r\n0\r\nX Y: 1\r\n\r\n").StatusCode, http.StatusOK)
}
