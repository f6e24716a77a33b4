package sender

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/cuminstream/cuminstream/internal/limiter"
	"github.com/cuminstream/cuminstream/internal/verifier"
)

// roundTrip writes the request and reads its response. reusable reports that the
// connection can carry another request. The connection of a response with Rest stays open
// until Rest is closed. The error is a *NotSentError if no byte of the request was accepted.
func (sender *Sender) roundTrip(conn *connection, request *Request) (response *Response, reusable bool, err error) {
	if err := writeStart(conn, request); err != nil {
		return nil, false, err
	}
	written := make(chan error, 1)
	if request.Stream == nil {
		written <- nil
	} else {
		// The upstream may respond before it has read the whole body.
		sender.bodyWriters.Go(func() error {
			written <- writeStream(conn, request)
			return nil
		})
	}
	response, closing, err := sender.readResponse(conn, request)
	if err != nil {
		_ = conn.Close()
		return nil, false, err
	}
	select {
	case err := <-written:
		closing = closing || err != nil
	default:
		// The rest of the request body will not be sent, so the connection cannot be
		// reused.
		closing = true
	}
	return response, !closing && response.Rest == nil && conn.reader.Buffered() == 0, nil
}

// writeStart writes the header, and the body if it is buffered.
func writeStart(conn *connection, request *Request) error {
	before := conn.written.Load()
	var err error
	if request.Stream == nil {
		err = writeBuffered(conn, request)
	} else {
		_, err = conn.Write(requestHead(request, request.ContentLength).Bytes())
	}
	if err != nil && conn.written.Load() == before {
		return &NotSentError{Cause: err, Connected: true}
	}
	return err
}

// readResponse reads the response to the request. It skips interim (1xx) responses
// and late responses to other requests. closing reports that the connection must not
// be reused.
func (sender *Sender) readResponse(conn *connection, request *Request) (response *Response, closing bool, err error) {
	skipped := 0
	conn.limited.Remaining = maxHeaderBytes
	for {
		message, err := http.ReadResponse(conn.reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, true, fmt.Errorf("read the response: %w", err)
		}
		if err := verifier.Response(message); err != nil {
			return nil, true, err
		}
		if message.StatusCode < http.StatusOK {
			if message.StatusCode == http.StatusSwitchingProtocols {
				return nil, true, errors.New("unexpected response 101 Switching Protocols")
			}
			continue
		}
		conn.limited.Remaining = limiter.Unlimited
		metadata := sender.Protocol.ParseMetadata(message.StatusCode, message.Header)
		body, err := io.ReadAll(io.LimitReader(message.Body, maxBufferedBody+1))
		if err != nil {
			return nil, true, fmt.Errorf("read the response body: %w", err)
		}
		if metadata.RequestID != "" && metadata.RequestID != request.ID {
			if skipped++; skipped > maxSkipped || message.Close || len(body) > maxBufferedBody {
				return nil, true, fmt.Errorf("received a response to another request, %q", metadata.RequestID)
			}
			conn.limited.Remaining = maxHeaderBytes
			continue
		}
		if metadata.RequestID == "" && request.ID != "" && conn.reused {
			return nil, true, errNoRequestID
		}
		conn.idleTimeout = parseIdleTimeout(message.Header)
		response = &Response{
			Status: message.StatusCode, Header: message.Header, Body: body, Metadata: metadata.withoutUnprovenNotices(request.ID), ContentLength: int64(len(body)),
		}
		if len(body) > maxBufferedBody {
			response.Rest, response.ContentLength = message.Body, message.ContentLength
		}
		return response, message.Close || skipped > 0, nil
	}
}
