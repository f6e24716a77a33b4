package linker

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cuminstream/cuminstream/internal/carrier"
	"github.com/cuminstream/cuminstream/internal/verifier"
	"github.com/cuminstream/cuminstream/pkg/answerer"
)

// clientExchange is the connecting side of one request on a request link. It is
// also the body of the response.
type clientExchange struct {
	link             *requestClient
	request          *carrier.Request
	inlineBody       *bytes.Buffer // the whole request body, if it is sent with the head
	response         carrier.Response
	stopContextWatch func() bool // undoes the AfterFunc that aborts the link when context ends
	context          context.Context

	// Used only by the goroutine that reads the response.
	unread   *bytes.Buffer // received body bytes that Read has not returned
	readErr  error         // result of Read once unread is empty
	finished bool          // the response's side no longer uses the link

	streaming        bool
	bodySender       errgroup.Group
	responseComplete atomic.Bool // the rest of the request body is not needed
	bodyError        atomic.Pointer[error]

	mutex     sync.Mutex
	linkUsers int // sides of the exchange (request, response) that still use the link
	unusable  bool
}

// forwardFailure is the result of an exchange without a response. undelivered is
// set if the peer has provably not received the whole head.
type forwardFailure struct {
	err         *answerer.Error
	undelivered bool
}

// run sends the request and waits for the head of the response.
func (exchange *clientExchange) run(ctx context.Context) *forwardFailure {
	link := exchange.link
	exchange.context, exchange.linkUsers = ctx, 1
	left, ok := timeLeft(link.peer.pool.Clock, exchange.request.Deadline)
	if !ok {
		link.peer.releaseLink(link, true)
		return &forwardFailure{err: answerer.New(answerer.NotRunDeadline, "the deadline passed before the request was forwarded")}
	}
	if left > 0 {
		link.connection.setTimeout(left + deadlineGrace)
	}
	exchange.stopContextWatch = context.AfterFunc(ctx, link.connection.abort)
	if err := exchange.sendHead(left); err != nil {
		exchange.finish(false)
		return err
	}
	if exchange.request.Body != nil && exchange.inlineBody == nil {
		exchange.streaming = true
		exchange.linkUsers++
		exchange.bodySender.Go(func() error {
			exchange.releaseLink(exchange.sendBody())
			return nil
		})
	}
	return exchange.awaitResponse()
}

// write sends one message. It must not be called concurrently.
func (exchange *clientExchange) write(kind messageKind, last bool, typed any, data []byte) error {
	buffer := newBuffer()
	defer freeBuffer(buffer)
	link := exchange.link
	link.outFrame = frame{Kind: kind, Sequence: link.messagesSent + 1, Request: link.requestNumber, Last: last}
	if err := encode(buffer, &link.outFrame, typed); err != nil {
		return err
	}
	if buffer.Len()+len(data) > maxMessage {
		return answerer.New(answerer.TooLarge, "the head has %d bytes, above the bound of %d", buffer.Len(), maxMessage)
	}
	buffer.Write(data)
	link.messagesSent++
	return link.connection.write(buffer.Bytes())
}

func (exchange *clientExchange) sendHead(left time.Duration) *forwardFailure {
	request := exchange.request
	exchange.link.requestNumber++
	block := newBuffer()
	defer freeBuffer(block)
	head := requestHead{
		ID: request.ID, Service: request.Service, Group: request.Group, Key: request.Key, Shard: request.Shard,
		Rank: int(request.Rank), Idempotent: request.Idempotent, Timeout: left, Fingerprint: request.Fingerprint,
		Method: request.Method, Target: request.Target, Host: request.Host, Header: appendHeader(block, request.Header),
		ContentLength: request.ContentLength, HasBody: request.Body != nil,
	}
	var data []byte
	if exchange.inlineBody != nil {
		head.Trailer = appendRequestTrailer(block, request.Trailer)
		data = exchange.inlineBody.Bytes()
	}
	err := exchange.write(kindRequestHead, exchange.inlineBody != nil, &head, data)
	var known *answerer.Error
	if errors.As(err, &known) {
		return &forwardFailure{err: known}
	}
	if err != nil {
		return &forwardFailure{err: answerer.New(answerer.NotRunUnavailable, "send request: %w", err), undelivered: true}
	}
	return nil
}

// sendBody streams the request body, as fast as TCP's flow control allows. It
// reports whether the link can be reused.
func (exchange *clientExchange) sendBody() bool {
	link, request := exchange.link, exchange.request
	buffer := newBuffer()
	defer freeBuffer(buffer)
	var total int64
	for {
		buffer.Reset()
		link.outFrame = frame{Kind: kindBodyChunk, Sequence: link.messagesSent + 1, Request: link.requestNumber}
		if encode(buffer, &link.outFrame) != nil {
			return false
		}
		// Read the body directly behind the frame, which saves a copy.
		buffer.Grow(maxChunk)
		count, err := request.Body.Read(buffer.AvailableBuffer()[:maxChunk])
		if exchange.responseComplete.Load() {
			return exchange.write(kindBodyEnd, true, bodyEnd{Aborted: true}, nil) == nil
		}
		total += int64(count)
		if length := request.ContentLength; length >= 0 && (total > length || (errors.Is(err, io.EOF) && total < length)) {
			err = fmt.Errorf("body has %d bytes in place of %d", total, length)
		} else if count > 0 {
			buffer.Write(buffer.AvailableBuffer()[:count])
			link.messagesSent++
			if link.connection.write(buffer.Bytes()) != nil {
				return false
			}
		}
		if errors.Is(err, io.EOF) {
			return exchange.write(kindBodyEnd, true, bodyEnd{Trailer: appendRequestTrailer(new(bytes.Buffer), request.Trailer)}, nil) == nil
		}
		if err != nil {
			exchange.bodyError.Store(&err)
			link.connection.abort()
			return false
		}
	}
}

// releaseLink is called by each side of the exchange when it no longer uses the
// link. The last side to call it returns the link to the peer.
func (exchange *clientExchange) releaseLink(healthy bool) {
	exchange.mutex.Lock()
	exchange.linkUsers--
	exchange.unusable = exchange.unusable || !healthy
	last, unusable := exchange.linkUsers == 0, exchange.unusable
	exchange.mutex.Unlock()
	if last {
		exchange.link.peer.releaseLink(exchange.link, !unusable)
	}
}

// finish ends the response's side of the exchange. Repeated calls do nothing.
func (exchange *clientExchange) finish(healthy bool) {
	if exchange.finished {
		return
	}
	exchange.finished = true
	healthy = exchange.stopContextWatch() && healthy
	exchange.responseComplete.Store(true)
	if !healthy {
		exchange.link.connection.abort()
	}
	exchange.releaseLink(healthy)
}

// readMessage reads one message of the answer and checks its place in the sequence.
func (exchange *clientExchange) readMessage() (received frame, rest []byte, buffer *bytes.Buffer, err error) {
	link := exchange.link
	buffer, err = link.connection.read()
	if err != nil {
		return frame{}, nil, nil, err
	}
	link.inFrame = frame{}
	rest, err = decodeFirst(buffer.Bytes(), &link.inFrame)
	if err != nil {
		return frame{}, nil, nil, err
	}
	frame := link.inFrame
	link.messagesReceived++
	if frame.Sequence != link.messagesReceived || (frame.Request != link.requestNumber && frame.Kind != kindClosing) {
		link.peer.pool.Metrics.violations.Inc()
		return frame, nil, nil, fmt.Errorf("%w: message %d of request %d arrived in place of message %d of request %d",
			errProtocol, frame.Sequence, frame.Request, link.messagesReceived, link.requestNumber)
	}
	return frame, rest, buffer, nil
}

// awaitResponse reads the first message of the answer: the head of the response, a
// failure, or a notice that the server is closing the link.
func (exchange *clientExchange) awaitResponse() *forwardFailure {
	frame, rest, buffer, err := exchange.readMessage()
	if err != nil {
		return exchange.linkFailed(err)
	}
	switch frame.Kind {
	case kindResponseHead:
		var head responseHead
		data, err := decodeFirst(rest, &head)
		if err != nil {
			return exchange.linkFailed(err)
		}
		if err := exchange.startResponse(frame, head, data, buffer); err != nil {
			return exchange.linkFailed(err)
		}
		return nil
	case kindFailure:
		var received failure
		if _, err := decodeFirst(rest, &received); err != nil {
			return exchange.linkFailed(err)
		}
		freeBuffer(buffer)
		exchange.finish(true)
		return &forwardFailure{err: received.toError()}
	case kindClosing:
		var notice closing
		if _, err := decodeFirst(rest, &notice); err != nil {
			return exchange.linkFailed(err)
		}
		freeBuffer(buffer)
		if notice.Accepted >= exchange.link.requestNumber {
			return exchange.linkFailed(fmt.Errorf("%w: closing before the answer", errProtocol))
		}
		exchange.finish(false)
		return &forwardFailure{err: answerer.New(answerer.NotRunUnavailable, "the VM is stopping"), undelivered: true}
	default:
		return exchange.linkFailed(fmt.Errorf("%w: message kind %d as a response", errProtocol, frame.Kind))
	}
}

func (exchange *clientExchange) startResponse(frame frame, head responseHead, data []byte, buffer *bytes.Buffer) error {
	if err := verifier.Status(head.Status); err != nil || head.Status < http.StatusOK {
		return fmt.Errorf("%w: status %d of a response", errProtocol, head.Status)
	}
	header, err := head.Header.header()
	if err != nil {
		return err
	}
	trailer, err := head.Trailer.trailer()
	if err != nil {
		return err
	}
	exchange.response = carrier.Response{
		Status: head.Status, Header: header, Trailer: trailer, ContentLength: head.ContentLength, Body: exchange,
	}
	buffer.Next(buffer.Len() - len(data))
	exchange.unread = buffer
	if frame.Last {
		exchange.readErr = io.EOF
		exchange.finish(true)
	}
	return nil
}

// linkFailed ends an exchange whose link failed after the head was sent.
func (exchange *clientExchange) linkFailed(err error) *forwardFailure {
	cause := context.Cause(exchange.context)
	exchange.finish(false)
	request := exchange.request
	var known *answerer.Error
	switch body := exchange.bodyError.Load(); {
	case body != nil:
		known = requestBodyError(request, true, *body)
	case cause != nil:
		known = linkError(true, request.Idempotent, "forwarded request was given up: %w", cause)
	default:
		known = linkError(true, request.Idempotent, "VM %q: %w: %w", exchange.link.peer.name, ErrLinkLost, err)
	}
	exchange.link.peer.pool.Metrics.failures.WithLabelValues(string(known.Kind)).Inc()
	return &forwardFailure{err: known}
}

// Read reads the body of the response. It returns io.EOF only after the end
// message; a cut body ends with an error of kind answerer.CutBody.
func (exchange *clientExchange) Read(data []byte) (int, error) {
	for exchange.unread == nil || exchange.unread.Len() == 0 {
		freeBuffer(exchange.unread)
		exchange.unread = nil
		if exchange.readErr != nil {
			return 0, exchange.readErr
		}
		if err := exchange.readChunk(); err != nil {
			exchange.finish(false)
			exchange.readErr = cutBodyError(err)
		}
	}
	return exchange.unread.Read(data)
}

func (exchange *clientExchange) readChunk() error {
	frame, rest, buffer, err := exchange.readMessage()
	if err != nil {
		return err
	}
	switch frame.Kind {
	case kindBodyChunk:
		if len(rest) > maxChunk {
			return fmt.Errorf("%w: body chunk of %d bytes", errProtocol, len(rest))
		}
		buffer.Next(buffer.Len() - len(rest))
		exchange.unread = buffer
		return nil
	case kindResponseEnd:
		var end bodyEnd
		if _, err := decodeFirst(rest, &end); err != nil {
			return err
		}
		freeBuffer(buffer)
		exchange.response.Trailer, err = end.Trailer.trailer()
		if err != nil {
			return err
		}
		exchange.readErr = io.EOF
		exchange.finish(true)
		return nil
	default:
		return fmt.Errorf("%w: unexpected message kind %d in a response body", errProtocol, frame.Kind)
	}
}

// errBodyClosed is returned by Read after Close.
var errBodyClosed = errors.New("read of a closed response body")

// Close cancels the request unless the end of the response has been received.
func (exchange *clientExchange) Close() error {
	exchange.finish(false)
	freeBuffer(exchange.unread)
	exchange.unread = nil
	exchange.readErr = errBodyClosed
	return nil
}
