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

// Guards against a second request on a connection on which a full upstream does not
// respond: it would not get a response either. The first request may have run.
func TestUnresponsiveConnectionIsClosed(t *testing.T) {
	closed := make(chan error, 1)
	target := startUpstream(t,
		func(conn net.Conn, requests *bufio.Reader) {
			respond(conn, requests, okResponse)
			respond(conn, requests, "") // never responds to the second request
			_, err := requests.ReadByte()
			closed <- err
		},
		func(conn net.Conn, requests *bufio.Reader) { respond(conn, requests, okResponse) })
	client := newSender()
	limited := request("1")
	limited.FirstByteTimeout = 100 * time.Millisecond
	_, err := client.Send(t.Context(), target, limited)
	assert.NilError(t, err)
	_, err = client.Send(t.Context(), target, limited)
	var incomplete *sender.IncompleteResponseError
	assert.Assert(t, errors.As(err, &incomplete) && errors.Is(err, sender.ErrUnresponsive), "%v", err)
	assert.Assert(t, <-closed != nil)
	_, err = client.Send(t.Context(), target, limited)
	assert.NilError(t, err)
}

// Guards against a response that is cut off because its body takes longer than the bound
// for its first byte.
func TestFirstByteTimeoutDoesNotBoundTheBody(t *testing.T) {
	target := startUpstream(t, func(conn net.Conn, requests *bufio.Reader) {
		respond(conn, requests, "H")
		time.Sleep(200 * time.Millisecond)
		_, _ = io.WriteString(conn, okResponse[1:])
		respond(conn, requests, okResponse)
	})
	limited := request("1")
	limited.FirstByteTimeout = 100 * time.Millisecond
	client := newSender()
	for range 2 {
		response, err := client.Send(t.Context(), target, limited)
		assert.NilError(t, err)
		assert.Equal(t, string(response.Body), "ok")
		limited.FirstByteTimeout = 0 // the connection keeps no deadline of an earlier request
	}
}

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
