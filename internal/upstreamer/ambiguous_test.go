package upstreamer_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/carrier"
	"github.com/cuminstream/cuminstream/pkg/answerer"
)

// endless is a body that never ends.
type endless struct{}

func (endless) Read(data []byte) (int, error) { return len(data), nil }

// Guards against a response without a length that looks complete although its connection
// was reset while the request's body was being written.
func TestResetDuringUpload(t *testing.T) {
	for _, size := range []int{4, 300 << 10} {
		var number atomic.Int32
		upstream := startRawServer(t, func(request *http.Request, conn net.Conn) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", size))
			if number.Add(1)%2 == 0 {
				_, _ = io.CopyN(io.Discard, request.Body, 1<<20) // the upload is being written when the reset comes
			} else {
				time.Sleep(5 * time.Millisecond) // the upload is blocked when the reset comes
			}
			_ = conn.(*net.TCPConn).SetLinger(0)
			return false
		})
		client := newClient(t)
		for attempt := range 60 {
			upload := request(http.MethodPut)
			upload.Body, upload.ContentLength = endless{}, 1<<40
			response, err := client.Send(t.Context(), upstream, upload, 1)
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
				assert.Check(t, err == nil || answerer.From(err).Kind == answerer.CutBody, "%v", err)
				_ = response.Body.Close()
			}
			assert.Assert(t, err != nil, "attempt %d: %d bytes look like a complete response", attempt, size)
		}
	}
}

// Guards against a status that is none: net/http accepts any three digits, and panics when
// it writes one below 100.
func TestInvalidStatus(t *testing.T) {
	send := func(status string) (*carrier.Response, error) {
		upstream := startRawServer(t, func(_ *http.Request, conn net.Conn) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" X\r\nContent-Length: 0\r\n\r\n")
			return false
		})
		return newClient(t).Send(t.Context(), upstream, request(http.MethodGet), 1)
	}
	for _, status := range []string{"000", "099", "0200", "1000", "-200", "-20", "+20", "+99", "600", "999", "20", ""} {
		response, err := send(status)
		assert.Check(t, err != nil, "status %q: %+v", status, response)
	}
	for _, status := range []int{200, 404, 599} {
		response, err := send(strconv.Itoa(status))
		assert.NilError(t, err)
		assert.Equal(t, response.Status, status)
		assert.NilError(t, response.Body.Close())
	}
}
