package sender_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/sender"
)

// endless is a body that never ends.
type endless struct{}

func (endless) Read(data []byte) (int, error) { return len(data), nil }

// Guards against a response without a length that looks complete although its connection
// was reset: the kernel reports the reset to one system call only, and if that is a write of
// the request's body, the next read reports the end of the connection. Another system took
// part of a response for all of it this way.
func TestResetDuringUpload(t *testing.T) {
	const attempts = 60
	for name, start := range map[string]string{"buffered": "part", "streamed": string(make([]byte, 300<<10))} {
		scripts := make([]func(net.Conn, *bufio.Reader), attempts)
		for number := range scripts {
			scripts[number] = func(conn net.Conn, requests *bufio.Reader) {
				if _, err := requests.ReadString('\n'); err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n"+start)
				if number%2 == 0 {
					_, _ = io.CopyN(io.Discard, requests, 1<<20) // the upload is being written when the reset comes
				} else {
					time.Sleep(5 * time.Millisecond) // the upload is blocked when the reset comes
				}
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
		}
		target := startUpstream(t, scripts...)
		client := newSender()
		for number := range attempts {
			upload := request("1")
			upload.Method, upload.Stream, upload.ContentLength = "POST", endless{}, 1<<40
			response, err := client.Send(t.Context(), target, upload)
			if err == nil && response.Rest != nil {
				_, err = io.Copy(io.Discard, response.Rest)
				_ = response.Rest.Close()
			}
			assert.Assert(t, err != nil, "%s, attempt %d: %d bytes look like a complete response", name, number, len(start))
		}
	}
}

// Guards against a status that is none. Another system passed on a response with status 000.
// One below 200 must not be taken for an interim response either: what follows it is not
// the response.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "0200", "1000", "-200", "-20", "+20", "+99", "600", "999", "2 0", "20", ""} {
		target := startUpstream(t, func(conn net.Conn, requests *bufio.Reader) {
			respond(conn, requests, "HTTP/1.1 "+status+" X\r\nId: 1\r\nContent-Length: 0\r\n\r\n"+okResponse)
		})
		response, err := newSender().Send(t.Context(), target, request("1"))
		var incomplete *sender.IncompleteResponseError
		assert.Check(t, errors.As(err, &incomplete), "status %q: %+v, %v", status, response, err)
	}
	for _, status := range []string{"200", "404", "599"} {
		target := startUpstream(t, func(conn net.Conn, requests *bufio.Reader) {
			respond(conn, requests, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 "+status+" X\r\nId: 1\r\nContent-Length: 0\r\n\r\n")
		})
		response, err := newSender().Send(t.Context(), target, request("1"))
		assert.NilError(t, err)
		assert.Equal(t, strconv.Itoa(response.Status), status)
	}
}
