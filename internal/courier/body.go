package courier

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cuminstream/cuminstream/internal/accountant"
	"github.com/cuminstream/cuminstream/internal/fronter"
)

const (
	// maxBufferedBody is the largest request body that is buffered and can be sent
	// again. Uploads of usual size fit, so a slow caller holds no slot while it sends
	// its body.
	maxBufferedBody = 1 << 20
	// shortRetryAfter is the Retry-After time while the account of bytes is short. Stalled
	// uploads are evicted after a second.
	shortRetryAfter = 500 * time.Millisecond
	// minStreamed must arrive of a streamed upload in each streamWindow. Otherwise the
	// upload has stalled, and gives its slot back. An upload is streamed after 1 MiB, which
	// has arrived within the few seconds of its deadline.
	minStreamed  = 16 << 10
	streamWindow = time.Second
)

// bufferBody reads the body into memory if it is small enough, and the beginning of a
// larger one, whose rest is streamed to the upstream. Each byte is reserved before it is
// read. It returns an answer if the body is too large, cannot be read or has no room.
func (exchange *exchange) bufferBody() *fronter.Response {
	request := exchange.request
	if request.Body == nil {
		return nil
	}
	limits := exchange.Limits()
	if request.ContentLength > limits.BodyBytes {
		return exchange.answerWith(http.StatusRequestEntityTooLarge, "the body exceeds the limit")
	}
	request.SetBodyDeadline(exchange.deadline)
	exchange.stop.add(exchange, func() { request.SetBodyDeadline(time.Unix(1, 0)) })
	defer exchange.stop.remove(exchange)
	body, reason, err := readReserved(request, maxBufferedBody)
	if reason == "" && (err == nil || err == io.EOF) {
		exchange.bufferedBody = body
		if err == nil {
			exchange.bodyRest = &streamedUpload{exchange: exchange}
		}
		return nil
	}
	giveBodyBuffer(body)
	switch {
	case reason != "":
		return exchange.answerNotRun(http.StatusServiceUnavailable, "the account of bytes has no room for the body: "+string(reason), shortRetryAfter)
	case errors.Is(err, fronter.ErrBodyEvicted):
		return exchange.answerNotRun(http.StatusServiceUnavailable, err.Error(), shortRetryAfter)
	case errors.Is(err, fronter.ErrBodyTooLarge):
		return exchange.answerWith(http.StatusRequestEntityTooLarge, "the body exceeds the limit")
	case isTimeout(err) && exchange.endsAfterStop():
		return exchange.answerStopping()
	case isTimeout(err):
		return exchange.answerNotRun(http.StatusRequestTimeout, "the body did not arrive in time", 0)
	default:
		return exchange.answerWith(http.StatusBadRequest, "the body could not be read: "+err.Error())
	}
}

// isTimeout reports whether the error is that of a deadline of a connection.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// readReserved reads up to limit bytes of the body, and a few more if there are any. The
// error is io.EOF at the end of the body, and nil if the body goes on after the limit.
func readReserved(request *fronter.Request, limit int) (body []byte, reason accountant.Reason, err error) {
	for index := 0; ; {
		if len(body) > limit {
			return body, "", nil
		}
		if len(body) == cap(body) {
			if reason := request.Holder.Reserve(accountant.Requests, int64(bodyBufferSize(index))); reason != "" {
				return body, reason, nil
			}
			grown := append(takeBodyBuffer(index), body...)
			index++
			request.Holder.Release(accountant.Requests, int64(cap(body)))
			giveBodyBuffer(body)
			body = grown
		}
		n, err := request.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err != nil {
			return body, "", err
		}
	}
}

// streamedUpload reads the part of a body that is too large to buffer.
type streamedUpload struct {
	exchange *exchange
	until    time.Time // end of the current window
	arrived  int       // in the current window
	// failed is set when the caller did not send the rest.
	failed atomic.Bool
}

// errStalled is the cause of a streamed upload that was given up.
var errStalled = errors.New("the upload has stalled")

// Read implements io.Reader. It fails if less than minStreamed arrives in a window.
func (upload *streamedUpload) Read(data []byte) (int, error) {
	exchange := upload.exchange
	now := exchange.Clock.Now()
	if upload.until.IsZero() || upload.arrived >= minStreamed {
		upload.until, upload.arrived = now.Add(streamWindow), 0
	} else if !now.Before(upload.until) {
		upload.failed.Store(true)
		return 0, errStalled
	}
	deadline := upload.until
	if exchange.deadline.Before(deadline) {
		deadline = exchange.deadline
	}
	exchange.request.SetBodyDeadline(deadline)
	n, err := exchange.request.Body.Read(data)
	upload.arrived += n
	if err != nil && err != io.EOF {
		upload.failed.Store(true)
	}
	return n, err
}

// uploadFailed reports whether the caller did not send the rest of a streamed body.
func (exchange *exchange) uploadFailed() bool {
	return exchange.bodyRest != nil && exchange.bodyRest.failed.Load()
}
