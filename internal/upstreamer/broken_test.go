package upstreamer_test

import (
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/dispatcher"
	"github.com/cuminstream/cuminstream/internal/standin/breaker"
	"github.com/cuminstream/cuminstream/pkg/answerer"
)

// Guards against a response with an invalid field name that is passed on (net/http keeps
// names with spaces), against one that counts as "not started", and against the reuse of its
// connection.
func TestInvalidFields(t *testing.T) {
	for name, broken := range breaker.InvalidFields("Cuminstream-Refusal: shed\r\n") {
		var mutex sync.Mutex
		connections := map[net.Conn]int{}
		upstream := startRawServer(t, func(_ *http.Request, conn net.Conn) bool {
			mutex.Lock()
			connections[conn]++
			mutex.Unlock()
			_, _ = io.WriteString(conn, broken.Text)
			return !broken.Closes
		})
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
		mutex.Lock()
		assert.Check(t, len(connections) == 2, "%s: a connection was reused", name)
		mutex.Unlock()
	}
}

// Guards against a status that is none, and against the reuse of the connection of a response
// that has one.
func TestInvalidStatuses(t *testing.T) {
	for name, broken := range breaker.InvalidStatuses("Cuminstream-Refusal: shed\r\n") {
		var mutex sync.Mutex
		connections := map[net.Conn]int{}
		upstream := startRawServer(t, func(_ *http.Request, conn net.Conn) bool {
			mutex.Lock()
			connections[conn]++
			mutex.Unlock()
			_, _ = io.WriteString(conn, broken.Text)
			return true
		})
		client := newClient(t)
		for range 2 {
			_, err := client.Send(t.Context(), upstream, request(http.MethodGet), 1)
			var notStarted *dispatcher.NotStartedError
			assert.Check(t, err != nil && !errors.As(err, &notStarted), "%s: %v", name, err)
		}
		mutex.Lock()
		assert.Check(t, len(connections) == 2, "%s: a connection was reused", name)
		mutex.Unlock()
	}
}

// Guards against a broken reply to a grant or a probe that counts as a reply: what it says
// may not be the upstream's.
func TestBrokenReplies(t *testing.T) {
	forms := breaker.InvalidFields("Content-Type: application/json\r\n")
	maps.Copy(forms, breaker.InvalidStatuses(""))
	for name, broken := range forms {
		upstream := startRawServer(t, func(_ *http.Request, conn net.Conn) bool {
			_, _ = io.WriteString(conn, broken.Text)
			return !broken.Closes
		})
		client := newClient(t)
		_, err := client.Grant(t.Context(), upstream, dispatcher.Grant{Group: "g", Term: 1, Seq: 1})
		assert.Check(t, err != nil, "%s: the grant was confirmed", name)
		_, err = client.Probe(t.Context(), upstream)
		assert.Check(t, err != nil, "%s: the probe was answered", name)
	}
}
