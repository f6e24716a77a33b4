package router

import (
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cuminstream/cuminstream/internal/carrier"
	"github.com/cuminstream/cuminstream/pkg/answerer"
)

// copyBuffers holds the buffers for copying response bodies.
var copyBuffers = sync.Pool{New: func() any { return new([32 << 10]byte) }}

// writeResponse sends the response to the caller and returns resultDone, or
// answerer.CutBody if reading or writing the body failed.
func (router *Router) writeResponse(writer http.ResponseWriter, incoming *http.Request, response *carrier.Response) answerer.Kind {
	defer response.Body.Close()
	header := writer.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	header.Set(answerer.HeaderResult, string(resultDone))
	announced := announceTrailers(header, response.Trailer)
	if response.ContentLength >= 0 && !announced {
		header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	writer.WriteHeader(response.Status)
	if incoming.Method == http.MethodHead {
		return resultDone
	}
	if !copyBody(writer, response) {
		return answerer.CutBody
	}
	for name, values := range response.Trailer {
		header[http.TrailerPrefix+name] = values
	}
	return resultDone
}

// announceTrailers adds the names of the trailers to the header, and reports whether
// there are any.
func announceTrailers(header, trailer http.Header) bool {
	for name := range trailer {
		header.Add("Trailer", name)
	}
	return len(trailer) > 0
}

// copyBody reports whether the whole body was copied. It flushes each part of a body
// of unknown length.
func copyBody(writer http.ResponseWriter, response *carrier.Response) bool {
	buffer := copyBuffers.Get().(*[32 << 10]byte)
	defer copyBuffers.Put(buffer)
	flush := response.ContentLength < 0
	for {
		count, err := response.Body.Read(buffer[:])
		if count > 0 {
			if _, writeErr := writer.Write(buffer[:count]); writeErr != nil {
				return false
			}
			if flush {
				_ = http.NewResponseController(writer).Flush()
			}
		}
		if err != nil {
			return err == io.EOF
		}
	}
}

// resetConnection resets a caller's connection. To an HTTP/1.0 caller, a response without
// a length would look complete if the connection were closed.
func resetConnection(writer http.ResponseWriter) {
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return // the connection has failed already
	}
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed already
	}
	_ = conn.Close()
}

// writeError sends the response that package answerer defines for the error's kind.
// The request is nil if no service matches it.
func (router *Router) writeError(writer http.ResponseWriter, request *carrier.Request, err *answerer.Error, started time.Time) {
	response := err.Kind.Response()
	header := writer.Header()
	header.Set(answerer.HeaderResult, string(err.Kind))
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if response.NotRun {
		header.Set(answerer.HeaderNotRun, "true")
	}
	if err.RetryAfter > 0 {
		// Retry-After has whole seconds; the other header has milliseconds.
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(err.RetryAfter.Seconds()))))
		header.Set(headerRetryAfter, strconv.FormatInt(err.RetryAfter.Milliseconds()+1, 10))
	}
	writer.WriteHeader(response.Status)
	_, _ = io.WriteString(writer, strings.TrimSpace(err.Error())+"\n")
	if request == nil {
		request = &carrier.Request{}
	}
	router.Metrics.observe(request, err.Kind, router.Clock.Now().Sub(started))
}
