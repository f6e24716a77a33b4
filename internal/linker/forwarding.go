package linker

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cuminstream/cuminstream/internal/carrier"
	"github.com/cuminstream/cuminstream/pkg/answerer"
)

// forwarding is one request on a request link, seen from the connecting side.
// It is also the body of the response.
type forwarding struct {
	link     *requestClient
	request  *carrier.Request
	whole    *bytes.Buffer // the whole body, when it is sent with the head
	response carrier.Response
	stop     func() bool // ends the watch of the context
	context  context.Context

	// Used by the reader of the response only.
	pending *bytes.Buffer // body bytes that were received
	result  error         // of Read, once pending is empty
	ended   bool          // the link was given back or closed

	streaming bool
	sending   errgroup.Group
	answered  atomic.Bool // the answer is complete; the rest of the body is not wanted
	bodyError atomic.Pointer[error]

	mutex    sync.Mutex
	open     int // sides of the exchange that still use the link
	unusable bool
}

// failedForward is the end of an exchange without a response. undelivered means
// that the peer has provably not received the whole head.
type failedForward struct {
	err         *answerer.Error
	undelivered bool
}

// run sends the request and waits for the head of the response.
func (forwarding *forwarding) run(ctx context.Context) *failedForward {
	link := forwarding.link
	forwarding.context, forwarding.open = ctx, 1
	left, ok := remaining(link.peer.pool.Clock, forwarding.request.Deadline)
	if !ok {
		link.peer.give(link, true)
		return &failedForward{err: answerer.New(answerer.NotRunDeadline, "the deadline passed before the request was forwarded")}
	}
	if left > 0 {
		link.connection.setTimeout(left + deadlineGrace)
	}
	forwarding.stop = context.AfterFunc(ctx, link.connection.abort)
	if err := forwarding.sendHead(left); err != nil {
		forwarding.finish(false)
		return err
	}
	if forwarding.request.Body != nil && forwarding.whole == nil {
		forwarding.streaming = true
		forwarding.open++
		forwarding.sending.Go(func() error {
			forwarding.leave(forwarding.sendBody())
			return nil
		})
	}
	return forwarding.awaitHead()
}

// write sends one message. Only one goroutine at a time writes.
func (forwarding *forwarding) write(kind messageKind, last bool, typed any, data []byte) error {
	buffer := newBuffer()
	defer freeBuffer(buffer)
	link := forwarding.link
	link.out = frame{Kind: kind, Sequence: link.sent + 1, Request: link.number, Last: last}
	if err := encode(buffer, &link.out, typed); err != nil {
		return err
	}
	if buffer.Len()+len(data) > maxMessage {
		return answerer.New(answerer.TooLarge, "the head has %d bytes, above the bound of %d", buffer.Len(), maxMessage)
	}
	buffer.Write(data)
	link.sent++
	return link.connection.write(buffer.Bytes())
}

func (forwarding *forwarding) sendHead(left time.Duration) *failedForward {
	request := forwarding.request
	forwarding.link.number++
	block := newBuffer()
	defer freeBuffer(block)
	head := requestHead{
		ID: request.ID, Service: request.Service, Group: request.Group, Key: request.Key, Shard: request.Shard,
		Rank: int(request.Rank), Idempotent: request.Idempotent, Left: left, Fingerprint: request.Fingerprint,
		Method: request.Method, Target: request.Target, Host: request.Host, Header: appendHeader(block, request.Header),
		ContentLength: request.ContentLength, HasBody: request.Body != nil,
	}
	var data []byte
	if forwarding.whole != nil {
		head.Trailer = appendHeader(block, request.Trailer)
		data = forwarding.whole.Bytes()
	}
	err := forwarding.write(kindRequestHead, forwarding.whole != nil, &head, data)
	var known *answerer.Error
	if errors.As(err, &known) {
		return &failedForward{err: known}
	}
	if err != nil {
		return &failedForward{err: answerer.New(answerer.NotRunUnavailable, "send request: %w", err), undelivered: true}
	}
	return nil
}

// sendBody streams the request body. TCP slows it down to the pace of the peer.
// It reports whether the link can be used again.
func (forwarding *forwarding) sendBody() bool {
	link, request := forwarding.link, forwarding.request
	buffer := newBuffer()
	defer freeBuffer(buffer)
	var total int64
	for {
		buffer.Reset()
		link.out = frame{Kind: kindBodyChunk, Sequence: link.sent + 1, Request: link.number}
		if encode(buffer, &link.out) != nil {
			return false
		}
		// The body is read directly behind the frame, without another copy.
		buffer.Grow(maxChunk)
		count, err := request.Body.Read(buffer.AvailableBuffer()[:maxChunk])
		if forwarding.answered.Load() {
			return forwarding.write(kindBodyEnd, true, bodyEnd{Aborted: true}, nil) == nil
		}
		total += int64(count)
		if length := request.ContentLength; length >= 0 && (total > length || (errors.Is(err, io.EOF) && total < length)) {
			err = fmt.Errorf("body has %d bytes in place of %d", total, length)
		} else if count > 0 {
			buffer.Write(buffer.AvailableBuffer()[:count])
			link.sent++
			if link.connection.write(buffer.Bytes()) != nil {
				return false
			}
		}
		if errors.Is(err, io.EOF) {
			return forwarding.write(kindBodyEnd, true, bodyEnd{Trailer: appendHeader(new(bytes.Buffer), request.Trailer)}, nil) == nil
		}
		if err != nil {
			forwarding.bodyError.Store(&err)
			link.connection.abort()
			return false
		}
	}
}

// leave is called by each side of the exchange when it no longer uses the link.
func (forwarding *forwarding) leave(healthy bool) {
	forwarding.mutex.Lock()
	forwarding.open--
	forwarding.unusable = forwarding.unusable || !healthy
	last, unusable := forwarding.open == 0, forwarding.unusable
	forwarding.mutex.Unlock()
	if last {
		forwarding.link.peer.give(forwarding.link, !unusable)
	}
}

// finish ends the response's side of the exchange.
func (forwarding *forwarding) finish(healthy bool) {
	if forwarding.ended {
		return
	}
	forwarding.ended = true
	healthy = forwarding.stop() && healthy
	forwarding.answered.Store(true)
	if !healthy {
		forwarding.link.connection.abort()
	}
	forwarding.leave(healthy)
}

// next reads one message of the answer.
func (forwarding *forwarding) next() (received frame, rest []byte, buffer *bytes.Buffer, err error) {
	link := forwarding.link
	buffer, err = link.connection.read()
	if err != nil {
		return frame{}, nil, nil, err
	}
	link.in = frame{}
	rest, err = decodeFirst(buffer.Bytes(), &link.in)
	if err != nil {
		return frame{}, nil, nil, err
	}
	frame := link.in
	link.received++
	if frame.Sequence != link.received || (frame.Request != link.number && frame.Kind != kindClosing) {
		link.peer.pool.Metrics.violations.Inc()
		return frame, nil, nil, fmt.Errorf("%w: message %d of request %d arrived in place of message %d of request %d",
			errProtocol, frame.Sequence, frame.Request, link.received, link.number)
	}
	return frame, rest, buffer, nil
}

// awaitHead reads the head of the response, or what comes in its place.
func (forwarding *forwarding) awaitHead() *failedForward {
	frame, rest, buffer, err := forwarding.next()
	if err != nil {
		return forwarding.failed(err)
	}
	switch frame.Kind {
	case kindResponseHead:
		var head responseHead
		data, err := decodeFirst(rest, &head)
		if err != nil {
			return forwarding.failed(err)
		}
		if err := forwarding.begin(frame, head, data, buffer); err != nil {
			return forwarding.failed(err)
		}
		return nil
	case kindFailure:
		var received failure
		if _, err := decodeFirst(rest, &received); err != nil {
			return forwarding.failed(err)
		}
		freeBuffer(buffer)
		forwarding.finish(true)
		return &failedForward{err: received.err()}
	case kindClosing:
		var notice closing
		if _, err := decodeFirst(rest, &notice); err != nil {
			return forwarding.failed(err)
		}
		freeBuffer(buffer)
		if notice.Accepted >= forwarding.link.number {
			return forwarding.failed(fmt.Errorf("%w: closing before the answer", errProtocol))
		}
		forwarding.finish(false)
		return &failedForward{err: answerer.New(answerer.NotRunUnavailable, "the VM is stopping"), undelivered: true}
	default:
		return forwarding.failed(fmt.Errorf("%w: message kind %d as a response", errProtocol, frame.Kind))
	}
}

func (forwarding *forwarding) begin(frame frame, head responseHead, data []byte, buffer *bytes.Buffer) error {
	header, err := head.Header.header()
	if err != nil {
		return err
	}
	trailer, err := head.Trailer.trailer()
	if err != nil {
		return err
	}
	forwarding.response = carrier.Response{
		Status: head.Status, Header: header, Trailer: trailer, ContentLength: head.ContentLength, Body: forwarding,
	}
	buffer.Next(buffer.Len() - len(data))
	forwarding.pending = buffer
	if frame.Last {
		forwarding.result = io.EOF
		forwarding.finish(true)
	}
	return nil
}

// failed ends the exchange after the head was sent and the link has failed.
func (forwarding *forwarding) failed(err error) *failedForward {
	cause := context.Cause(forwarding.context)
	forwarding.finish(false)
	request := forwarding.request
	var known *answerer.Error
	switch body := forwarding.bodyError.Load(); {
	case body != nil:
		known = bodyError(request, true, *body)
	case cause != nil:
		known = lost(true, request.Idempotent, "forwarded request was given up: %w", cause)
	default:
		known = lost(true, request.Idempotent, "VM %q: %w: %w", forwarding.link.peer.name, ErrLinkLost, err)
	}
	forwarding.link.peer.pool.Metrics.failures.WithLabelValues(string(known.Kind)).Inc()
	return &failedForward{err: known}
}

// Read reads the body of the response. It returns io.EOF only after the end
// message; a cut body ends with an error of kind answerer.CutBody.
func (forwarding *forwarding) Read(data []byte) (int, error) {
	for forwarding.pending == nil || forwarding.pending.Len() == 0 {
		freeBuffer(forwarding.pending)
		forwarding.pending = nil
		if forwarding.result != nil {
			return 0, forwarding.result
		}
		if err := forwarding.readChunk(); err != nil {
			forwarding.finish(false)
			forwarding.result = cutBody(err)
		}
	}
	return forwarding.pending.Read(data)
}

func (forwarding *forwarding) readChunk() error {
	frame, rest, buffer, err := forwarding.next()
	if err != nil {
		return err
	}
	switch frame.Kind {
	case kindBodyChunk:
		if len(rest) > maxChunk {
			return fmt.Errorf("%w: body chunk of %d bytes", errProtocol, len(rest))
		}
		buffer.Next(buffer.Len() - len(rest))
		forwarding.pending = buffer
		return nil
	case kindResponseEnd:
		var end bodyEnd
		if _, err := decodeFirst(rest, &end); err != nil {
			return err
		}
		freeBuffer(buffer)
		forwarding.response.Trailer, err = end.Trailer.trailer()
		if err != nil {
			return err
		}
		forwarding.result = io.EOF
		forwarding.finish(true)
		return nil
	default:
		return fmt.Errorf("%w: message kind %d in a response body", errProtocol, frame.Kind)
	}
}

// errBodyClosed is returned by Read after Close.
var errBodyClosed = errors.New("read of a closed response body")

// Close cancels the request unless the response has arrived completely.
func (forwarding *forwarding) Close() error {
	forwarding.finish(false)
	freeBuffer(forwarding.pending)
	forwarding.pending = nil
	forwarding.result = errBodyClosed
	return nil
}
