package linker

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"github.com/cuminstream/cuminstream/internal/carrier"
)

// bodyAhead is how many chunks of a request body are read before its handler
// takes them. Further bytes stay with the sender.
const bodyAhead = 2

// requestBody hands the body of a streamed request from the goroutine that
// reads the link to the handler. A nil requestBody accepts all calls.
type requestBody struct {
	number  uint64
	request *carrier.Request
	chunks  chan *bytes.Buffer

	// Set by the reading goroutine before it closes chunks.
	failure error
	trailer http.Header

	abandoned chan struct{}
	once      sync.Once

	current *bytes.Buffer // used by the handler only
	result  error
}

func newRequestBody(number uint64, request *carrier.Request) *requestBody {
	return &requestBody{number: number, request: request, chunks: make(chan *bytes.Buffer, bodyAhead), abandoned: make(chan struct{})}
}

// push hands a chunk to the handler, or drops it when the handler has answered.
// While the handler takes nothing, it watches for a reset of the link.
func (body *requestBody) push(chunk *bytes.Buffer, link *requestServer) error {
	select {
	case <-body.abandoned:
		freeBuffer(chunk)
		return nil
	case body.chunks <- chunk:
		return nil
	default:
	}
	timer := link.resetCheck()
	defer timer.Stop()
	for {
		select {
		case <-body.abandoned:
			freeBuffer(chunk)
			return nil
		case body.chunks <- chunk:
			return nil
		case <-link.context.Done():
			return link.context.Err()
		case <-timer.C():
			if link.connection.isReset() {
				return io.ErrUnexpectedEOF
			}
			timer.Reset(resetCheckInterval)
		}
	}
}

// end closes the body after its last byte.
func (body *requestBody) end(end bodyEnd) error {
	trailer, err := end.Trailer.trailer()
	if err != nil {
		return err
	}
	if end.Aborted {
		body.failure = io.ErrUnexpectedEOF
	}
	body.trailer = trailer
	close(body.chunks)
	return nil
}

// fail closes the body when the link ends.
func (body *requestBody) fail(err error) {
	if body == nil {
		return
	}
	body.failure = err
	close(body.chunks)
}

// abandon lets the link drop what arrives after the answer.
func (body *requestBody) abandon() {
	if body != nil {
		body.once.Do(func() { close(body.abandoned) })
	}
}

// Read returns io.EOF only after the end message; a cut body ends with an error
// of kind answerer.CutBody.
func (body *requestBody) Read(data []byte) (int, error) {
	for body.current == nil || body.current.Len() == 0 {
		if body.result != nil {
			return 0, body.result
		}
		freeBuffer(body.current)
		body.current = nil
		chunk, open := <-body.chunks
		if open {
			body.current = chunk
			continue
		}
		body.result = io.EOF
		if body.failure != nil {
			body.result = cutBody(body.failure)
		} else {
			body.request.Trailer = body.trailer
		}
	}
	return body.current.Read(data)
}
