package upstreamer

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cuminstream/cuminstream/internal/carrier"
	"github.com/cuminstream/cuminstream/pkg/answerer"
)

// requestBody is the request body of one attempt. The transport may still read it
// after the attempt has failed; a closed body returns no more data.
type requestBody struct {
	request *carrier.Request
	trailer http.Header // of the outgoing request
	mutex   sync.Mutex
	closed  atomic.Bool
}

// Read reads from the caller's body. At its end, it sets the trailers.
func (body *requestBody) Read(buffer []byte) (int, error) {
	body.mutex.Lock()
	defer body.mutex.Unlock()
	if body.closed.Load() {
		return 0, errAttemptEnded
	}
	if body.request.Body == nil {
		return 0, io.EOF
	}
	count, err := body.request.Body.Read(buffer)
	if errors.Is(err, io.EOF) {
		for name := range body.trailer {
			body.trailer[name] = body.request.Trailer[name]
		}
	}
	return count, err
}

// Close makes further reads fail. If the body can be read again for another
// attempt, Close also waits for a read in progress, which takes little time because
// such a body is in memory. It does not wait for a read from the caller's
// connection, which may block.
func (body *requestBody) Close() error {
	body.closed.Store(true)
	if _, ok := body.request.Body.(io.Seeker); ok {
		body.mutex.Lock()
		defer body.mutex.Unlock()
	}
	return nil
}

// responseBody converts read errors of a truncated response to the error kind
// CutBody and copies the trailers.
type responseBody struct {
	io.ReadCloser
	upstream string
	response *http.Response
	trailer  http.Header
}

// Read reads the body of the upstream's response.
func (body *responseBody) Read(buffer []byte) (int, error) {
	count, err := body.ReadCloser.Read(buffer)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		for name, values := range body.response.Trailer {
			body.trailer[name] = values
		}
	default:
		err = answerer.New(answerer.CutBody, "answer of upstream %s ended early: %w", body.upstream, err)
	}
	return count, err
}
