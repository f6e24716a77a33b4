package sender_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/sender"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// Guards against an upstream connection that stays open, with its slot, until the deadline
// after the caller has failed to send the rest of its body.
func TestFailedUploadEndsTheConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	ended := make(chan error)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, err = io.Copy(io.Discard, conn)
			ended <- err
		}
	}()
	stalled := errors.New("stalled")
	for _, length := range []int64{-1, 200_000} {
		sending := &sender.Sender{Clock: clocker.System{}, Protocol: protocol{}, Dial: (&net.Dialer{}).DialContext}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		began := time.Now()
		_, err = sending.Send(ctx, sender.Upstream{ID: "u", Address: listener.Addr().String()}, &sender.Request{
			ID: "r", Method: "POST", Target: "/", Host: "h", Header: http.Header{}, ContentLength: length,
			Stream: io.MultiReader(bytes.NewReader(make([]byte, 100_000)), failingReader{stalled}),
		})
		var incomplete *sender.IncompleteResponseError
		assert.Assert(t, errors.As(err, &incomplete), "%v", err)
		assert.Assert(t, time.Since(began) < 10*time.Second)
		<-ended
	}
}

type failingReader struct{ err error }

func (reader failingReader) Read([]byte) (int, error) { return 0, reader.err }
