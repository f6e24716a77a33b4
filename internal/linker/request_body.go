package linker

import (
	"bytes"
	"io"
	"net/http"
	"sync"

	"github.com/cuminstream/cuminstream/internal/carrier"
)

// maxBufferedChunks is how many chunks of a request body are read ahead of its
// handler. TCP's flow control holds further bytes back at the sender.
const maxBufferedChunks = 2

// requestBody passes the body of a streamed request from the goroutine that reads
// the link to the handler. fail and discard do nothing on a nil requestBody.
type requestBody struct {
	number  uint64
	request *carrier.Request
	chunks  chan *bytes.Buffer

	// Set by the goroutine that reads the link before it closes chunks.
	endErr  error
	trailer http.Header

	discarded chan struct{}
	once      sync.Once

	current *bytes.Buffer // used by the handler only
	readErr error
}

func newRequestBody(number uint64, request *carrier.Request) *requestBody {
	return &requestBody{number: number, request: request, chunks: make(chan *bytes.Buffer, maxBufferedChunks), discarded: make(chan struct{})}
}

// push passes a chunk to the handler, or drops it if the handler has answered.
// While it waits for the handler to read, it checks for a reset of the link.
func (body *requestBody) push(chunk *bytes.Buffer, link *requestServer) error {
	select {
	case <-body.discarded:
		freeBuffer(chunk)
		return nil
	case body.chunks <- chunk:
		return nil
	default:
	}
	timer := link.newResetCheckTimer()
	defer timer.Stop()
	for {
		select {
		case <-body.discarded:
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

// finish closes the body after the end message.
func (body *requestBody) finish(end bodyEnd) error {
	trailer, err := end.Trailer.trailer()
	if err != nil {
		return err
	}
	if end.Aborted {
		body.endErr = io.ErrUnexpectedEOF
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
	body.endErr = err
	close(body.chunks)
}

// discard makes push drop the chunks that arrive after the answer.
func (body *requestBody) discard() {
	if body != nil {
		body.once.Do(func() { close(body.discarded) })
	}
}

// Read returns io.EOF only after the end message; a cut body ends with an error
// of kind answerer.CutBody.
func (body *requestBody) Read(data []byte) (int, error) {
	for body.current == nil || body.current.Len() == 0 {
		if body.readErr != nil {
			return 0, body.readErr
		}
		freeBuffer(body.current)
		body.current = nil
		chunk, open := <-body.chunks
		if open {
			body.current = chunk
			continue
		}
		body.readErr = io.EOF
		if body.endErr != nil {
			body.readErr = cutBodyError(body.endErr)
		} else {
			body.request.Trailer = body.trailer
		}
	}
	return body.current.Read(data)
}
