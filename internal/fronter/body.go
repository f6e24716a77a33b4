package fronter

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cuminstream/cuminstream/internal/accountant"
)

// ErrBodyTooLarge is returned by reads of a request body that exceeds
// Limits.BodyBytes.
var ErrBodyTooLarge = errors.New("the request's body exceeds the limit")

// ErrBodyEvicted is returned by reads of a request body that was given up because its caller
// sent nothing while memory was short.
var ErrBodyEvicted = errors.New("the body made no progress while memory was short")

// errBodyReadAfterResponse is returned by reads after the handler has returned.
var errBodyReadAfterResponse = errors.New("the request has been answered")

// requestBody reads the body of a request from the caller's connection. The next
// request on the connection is read only after this body is done.
type requestBody struct {
	conn           *connection
	holder         *accountant.Holder
	body           io.Reader
	remaining      int64
	expectContinue bool // the caller waits for "100 Continue" before it sends the body

	mutex     sync.Mutex // held during Read
	err       error      // returned by reads after the first one that failed or reached EOF
	complete  atomic.Bool
	stopped   atomic.Bool
	evicted   atomic.Bool
	done      chan struct{} // closed when the body has been read, has failed or is no longer read
	closeDone sync.Once
}

func newRequestBody(conn *connection, message *http.Request, holder *accountant.Holder, limit int64) *requestBody {
	holder.Await(accountant.Uploading)
	return &requestBody{
		conn: conn, holder: holder, body: message.Body, remaining: limit, done: make(chan struct{}),
		expectContinue: strings.EqualFold(message.Header.Get("Expect"), "100-continue"),
	}
}

// Read implements io.Reader.
func (body *requestBody) Read(data []byte) (int, error) {
	body.mutex.Lock()
	defer body.mutex.Unlock()
	switch {
	case body.stopped.Load():
		return 0, errBodyReadAfterResponse
	case body.err != nil:
		return 0, body.err
	case body.evicted.Load():
		return 0, ErrBodyEvicted
	}
	if body.expectContinue {
		body.expectContinue = false
		if _, err := body.conn.netConn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return 0, err
		}
	}
	n, err := body.body.Read(data)
	body.remaining -= int64(n)
	if n > 0 {
		body.holder.Progress()
	}
	if err != nil && body.evicted.Load() {
		err = ErrBodyEvicted
	}
	if body.remaining < 0 {
		err = ErrBodyTooLarge
	}
	if err != nil {
		body.err = err
		body.complete.Store(err == io.EOF)
		body.holder.Await(accountant.None)
		body.closeDone.Do(func() { close(body.done) })
	}
	return n, err
}

// fullyRead reports whether the body was read up to EOF.
func (body *requestBody) fullyRead() bool { return body.complete.Load() }

// evict makes reads fail, and interrupts a blocked one. It does nothing if the whole body has
// been read: the connection may be reading the next request.
func (body *requestBody) evict() {
	if body.complete.Load() {
		return
	}
	body.evicted.Store(true)
	_ = body.conn.netConn.SetReadDeadline(time.Unix(1, 0))
}

// stop makes further reads fail, and interrupts a blocked one through the read
// deadline of the connection.
func (body *requestBody) stop() {
	if !body.complete.Load() {
		body.stopped.Store(true)
		_ = body.conn.netConn.SetReadDeadline(time.Unix(1, 0))
	}
	body.closeDone.Do(func() { close(body.done) })
}

// waitUntilDone waits until the body has been read or is no longer read. It
// reports whether it was read up to EOF.
func (body *requestBody) waitUntilDone() bool {
	<-body.done
	return body.complete.Load()
}
