package upstreamer_test

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/dispatcher"
	"github.com/cuminstream/cuminstream/internal/standin/breaker"
	"github.com/cuminstream/cuminstream/pkg/answerer"
)

// startBrokenServer starts a server that answers each request with the response. connections
// returns the number of connections on which it got requests.
func startBrokenServer(t *testing.T, broken breaker.Response) (upstream configurer.Upstream, connections func() int) {
	var mutex sync.Mutex
	used := map[net.Conn]struct{}{}
	upstream = startRawServer(t, func(_ *http.Request, conn net.Conn) bool {
		mutex.Lock()
		used[conn] = struct{}{}
		mutex.Unlock()
		_, _ = io.WriteString(conn, broken.Text)
		return !broken.Closes
	})
	return upstream, func() int {
		mutex.Lock()
		defer mutex.Unlock()
		return len(used)
	}
}

// Guards against a response with an invalid field name that is passed on (net/http keeps
// names with spaces), against one that counts as "not started", and against the reuse of its
// connection.
func TestInvalidFields(t *testing.T) {
	for name, broken := range breaker.InvalidFields("Cuminstream-Refusal: shed\r\n") {
		upstream, connections := startBrokenServer(t, broken)
		client := newClient(t)
		for range 2 {
			response, err := client.Send(t.Context(), upstream, request(http.MethodGet), 1)
			if err == nil { // an invalid trailer is found at the end of the body
				_, err = io.ReadAll(response.Body)
				assert.Check(t, err == nil || answerer.From(err).Kind == answerer.CutBody, "%s: %v", name, err)
				_ = response.Body.Close()
			}
			var notStarted *dispatcher.NotStartedError
			assert.Check(t, err != nil && !errors.As(err, &notStarted), "%s: %v", name, err)
		}
		assert.Check(t, connections() == 2, "%s: a connection was reused", name)
	}
}

// Guards against a status that is none, and against the reuse of the connection of a response
// that has one.
func TestInvalidStatuses(t *testing.T) {
	for name, broken := range breaker.InvalidStatuses("Cuminstream-Refusal: shed\r\n") {
		upstream, connections := startBrokenServer(t, broken)
		client := newClient(t)
		for range 2 {
			_, err := client.Send(t.Context(), upstream, request(http.MethodGet), 1)
			var notStarted *dispatcher.NotStartedError
			assert.Check(t, err != nil && !errors.As(err, &notStarted), "%s: %v", name, err)
		}
		assert.Check(t, connections() == 2, "%s: a connection was reused", name)
	}
}

// Guards against a broken reply to a grant or a probe that counts as a reply: what it says
// may not be the upstream's.
func TestBrokenReplies(t *testing.T) {
	forms := breaker.InvalidFields("Content-Type: application/json\r\n")
	maps.Copy(forms, breaker.InvalidStatuses(""))
	for name, broken := range forms {
		upstream, _ := startBrokenServer(t, broken)
		client := newClient(t)
		_, err := client.Grant(t.Context(), upstream, dispatcher.Grant{Group: "g", Term: 1, Seq: 1})
		assert.Check(t, err != nil, "%s: the grant was confirmed", name)
		_, err = client.Probe(t.Context(), upstream)
		assert.Check(t, err != nil, "%s: the probe was answered", name)
	}
}

// Guards against a part of a response without a length that counts as the whole, because a
// write of the upload has taken the reset from the kernel, or is taking it.
func TestResetOfAnEarlyResponse(t *testing.T) {
	for name, delay := range breaker.Delays() {
		for _, size := range []int{4, 300 << 10} {
			for range 8 {
				_, err := sendLongUpload(t, delay, func(conn net.Conn, upload io.Reader) {
					breaker.ResetDuringUpload(conn, upload, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", size))
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
				body, err := sendLongUpload(t, delay, func(conn net.Conn, upload io.Reader) {
					breaker.CloseDuringUpload(conn, upload, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"+length+"\r\n"+strings.Repeat("x", size))
				})
				assert.Check(t, err, "%s, %q", name, length)
				assert.Check(t, len(body) == size, "%s, %q: %d of %d bytes", name, length, len(body), size)
			}
		}
	}
}

// sendLongUpload sends an upload without end over a connection with the delay, and returns the
// body of the response.
func sendLongUpload(t *testing.T, delay breaker.Delay, script func(conn net.Conn, upload io.Reader)) ([]byte, error) {
	upstream := startRawServer(t, func(request *http.Request, conn net.Conn) bool {
		script(conn, request.Body)
		return false
	})
	client := newClient(t)
	client.Dial = delay.WrapDial(client.Dial)
	upload := request(http.MethodPut)
	upload.Body, upload.ContentLength = endless{}, 1<<40
	response, err := client.Send(t.Context(), upstream, upload, 1)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	return io.ReadAll(response.Body)
}
