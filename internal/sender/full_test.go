package sender_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/sender"
)

// Guards against a request that counts as "may have run" although a full upstream has
// reset the new connection before it took any byte, and against one that counts as not
// sent although the upstream has read it before the reset.
func TestResetBeforeAndAfterTheRequest(t *testing.T) {
	reset := func(conn net.Conn) { _ = errors.Join(conn.(*net.TCPConn).SetLinger(0), conn.Close()) }
	for _, test := range []struct {
		name    string
		script  func(conn net.Conn, requests *bufio.Reader)
		notSent bool
	}{
		{"before", func(conn net.Conn, _ *bufio.Reader) { reset(conn) }, true},
		{"after", func(conn net.Conn, requests *bufio.Reader) { respond(conn, requests, ""); reset(conn) }, false},
	} {
		for _, streamed := range []bool{false, true} {
			client := newSender()
			dial := client.Dial
			client.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dial(ctx, network, address)
				if test.notSent {
					time.Sleep(50 * time.Millisecond) // the reset arrives before the request is written
				}
				return conn, err
			}
			sent := request("1")
			if streamed {
				sent.Method, sent.Stream, sent.ContentLength = "POST", &io.LimitedReader{}, 0
			}
			_, err := client.Send(t.Context(), startUpstream(t, test.script), sent)
			var notSent *sender.NotSentError
			assert.Equal(t, errors.As(err, &notSent), test.notSent, "%s: %v", test.name, err)
			assert.Assert(t, !test.notSent || notSent.Connected, "%v", err)
			var incomplete *sender.IncompleteResponseError
			assert.Equal(t, errors.As(err, &incomplete), !test.notSent, "%s: %v", test.name, err)
		}
	}
}

// Guards against a large buffered request that counts as not sent although the upstream has
// got a part of it: it is written without a copy, past the connection that counts the bytes.
func TestResetDuringALargeRequest(t *testing.T) {
	target := startUpstream(t, func(conn net.Conn, requests *bufio.Reader) {
		_, _ = io.CopyN(io.Discard, requests, 64<<10)
		_ = errors.Join(conn.(*net.TCPConn).SetLinger(0), conn.Close())
	})
	large := request("1")
	large.Method, large.Body = "POST", make([]byte, 64<<20)
	_, err := newSender().Send(t.Context(), target, large)
	var notSent *sender.NotSentError
	var incomplete *sender.IncompleteResponseError
	assert.Assert(t, errors.As(err, &incomplete) && !errors.As(err, &notSent), "%v", err)
}
