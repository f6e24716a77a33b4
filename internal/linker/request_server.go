package linker

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cuminstream/cuminstream/internal/carrier"
	"github.com/cuminstream/cuminstream/pkg/answerer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/queuer"
)

// requestServer is the accepting side of a request link. One goroutine reads the
// link, so that a cancelled request is detected while its handler runs; another
// one runs the handlers and writes the answers.
type requestServer struct {
	server            *Server
	connection        *connection
	context           context.Context
	cancel            context.CancelFunc
	work              chan *serverExchange
	messagesReceived  uint64
	messagesSent      uint64
	inFrame, outFrame frame // frame of the newest message in each direction

	mutex     sync.Mutex
	accepted  uint64          // requests accepted so far
	current   *serverExchange // the request that is not yet answered
	answering bool            // a handler runs or its answer is being written
	stopping  bool            // no further request is accepted
	closing   bool            // the closing message is sent or about to be sent

	// Used only by the goroutine that reads the link.
	body       *requestBody // body of the newest request, until its end has arrived
	discarding bool         // drop everything, since a request arrived while the link was stopping
}

// serverExchange is the accepting side of one request on a request link.
type serverExchange struct {
	number     uint64
	request    carrier.Request
	inlineBody bytes.Reader // the body, if it came with the head
	body       *requestBody // the body, if it is streamed
	context    context.Context
	cancel     context.CancelFunc
}

func newRequestServer(server *Server, connection *connection) *requestServer {
	ctx, cancel := context.WithCancel(context.Background())
	return &requestServer{server: server, connection: connection, context: ctx, cancel: cancel, work: make(chan *serverExchange, 1)}
}

func (link *requestServer) abort() {
	link.cancel()
	link.connection.abort()
}

// stop ends the link after the request in flight, or immediately if there is none.
// The closing message tells the client which requests were accepted, so that it
// can send the next one on another link.
func (link *requestServer) stop() {
	link.mutex.Lock()
	link.stopping = true
	link.mutex.Unlock()
	link.closeIfIdle()
}

// closeIfIdle sends the closing message if the link is stopping and no request is
// in flight. It is sent only once.
func (link *requestServer) closeIfIdle() {
	link.mutex.Lock()
	closeNow := link.stopping && !link.closing && !link.answering && link.current == nil
	link.closing = link.closing || closeNow
	accepted := link.accepted
	link.mutex.Unlock()
	if !closeNow {
		return
	}
	buffer := newBuffer()
	defer freeBuffer(buffer)
	link.connection.setWriteTimeout(closingTimeout)
	link.messagesSent++
	link.outFrame = frame{Kind: kindClosing, Sequence: link.messagesSent, Request: accepted}
	if encode(buffer, &link.outFrame, closing{Accepted: accepted}) != nil || link.connection.write(buffer.Bytes()) != nil {
		link.abort()
		return
	}
	// The client closes the link once it has read the message. What it sends
	// before that is dropped.
	link.connection.setTimeout(closingTimeout)
}

func (link *requestServer) serve() error {
	var group errgroup.Group
	group.Go(func() error {
		for exchange := range link.work {
			if err := link.runHandler(exchange); err != nil {
				link.abort()
			}
			link.mutex.Lock()
			link.answering = false
			link.mutex.Unlock()
			link.closeIfIdle()
		}
		return nil
	})
	var err error
	for err == nil {
		err = link.receive()
	}
	link.cancel()
	link.body.fail(err)
	close(link.work)
	_ = group.Wait()
	return err
}

func (link *requestServer) receive() error {
	buffer, err := link.connection.read()
	if err != nil {
		return err
	}
	return link.handle(buffer)
}

// handle processes a message and takes ownership of its buffer.
func (link *requestServer) handle(buffer *bytes.Buffer) error {
	if link.discarding {
		freeBuffer(buffer)
		return nil
	}
	link.inFrame = frame{}
	rest, err := decodeFirst(buffer.Bytes(), &link.inFrame)
	if err != nil {
		return err
	}
	frame := link.inFrame
	link.messagesReceived++
	if frame.Sequence != link.messagesReceived {
		return fmt.Errorf("%w: message %d arrived in place of %d", errProtocol, frame.Sequence, link.messagesReceived)
	}
	switch frame.Kind {
	case kindRequestHead:
		err = link.acceptRequest(frame, rest)
		freeBuffer(buffer)
		return err
	case kindBodyChunk, kindBodyEnd:
		if link.body == nil || frame.Request != link.body.number {
			return fmt.Errorf("%w: body of request %d is not open", errProtocol, frame.Request)
		}
		return link.handleBody(frame, rest, buffer)
	default:
		return fmt.Errorf("%w: message kind %d on a request link", errProtocol, frame.Kind)
	}
}

func (link *requestServer) handleBody(frame frame, rest []byte, buffer *bytes.Buffer) error {
	if frame.Kind == kindBodyChunk {
		if len(rest) > maxChunk {
			return fmt.Errorf("%w: body chunk of %d bytes", errProtocol, len(rest))
		}
		buffer.Next(buffer.Len() - len(rest))
		return link.body.push(buffer, link)
	}
	var end bodyEnd
	_, err := decodeFirst(rest, &end)
	freeBuffer(buffer)
	if err != nil {
		return err
	}
	if err := link.body.finish(end); err != nil {
		return err
	}
	link.body = nil
	return nil
}

// acceptRequest accepts a request and passes it to the goroutine that runs the
// handlers. A request that arrives while the link is stopping is dropped.
func (link *requestServer) acceptRequest(frame frame, rest []byte) error {
	var head requestHead
	data, err := decodeFirst(rest, &head)
	if err != nil {
		return err
	}
	exchange, err := newServerExchange(frame, head, data)
	if err != nil {
		return err
	}
	link.mutex.Lock()
	busy, stopping := link.current != nil || link.body != nil, link.stopping
	expected := link.accepted + 1
	if !busy && !stopping && frame.Request == expected {
		link.accepted++
		link.current = exchange
		link.answering = true
	}
	link.mutex.Unlock()
	switch {
	case stopping && !busy:
		link.discarding = true
		return nil
	case busy || frame.Request != expected:
		return fmt.Errorf("%w: request %d in place of %d", errProtocol, frame.Request, expected)
	}
	clock := link.server.Clock
	if head.Timeout > 0 {
		exchange.request.Deadline = clock.Now().Add(head.Timeout)
	}
	exchange.context, exchange.cancel = withOptionalTimeout(link.context, clock, head.Timeout)
	link.body = exchange.body
	link.work <- exchange
	return nil
}

func newServerExchange(frame frame, head requestHead, data []byte) (*serverExchange, error) {
	header, err := head.Header.header()
	if err != nil {
		return nil, err
	}
	trailer, err := head.Trailer.trailer()
	if err != nil {
		return nil, err
	}
	exchange := &serverExchange{number: frame.Request, request: carrier.Request{
		ID: head.ID, Service: head.Service, Group: head.Group, Key: head.Key, Shard: head.Shard,
		Rank: queuer.Rank(head.Rank), Idempotent: head.Idempotent, Fingerprint: head.Fingerprint,
		Method: head.Method, Target: head.Target, Host: head.Host, Header: header, ContentLength: head.ContentLength,
	}}
	switch {
	case head.HasBody && frame.Last:
		// Copy the body, since the handler may read it after it has answered,
		// when the buffer has been recycled.
		exchange.inlineBody.Reset(bytes.Clone(data))
		exchange.request.Body = &exchange.inlineBody
		exchange.request.Trailer = trailer
	case head.HasBody:
		exchange.body = newRequestBody(frame.Request, &exchange.request)
		exchange.request.Body = exchange.body
	}
	return exchange, nil
}

// runHandler runs the handler and writes its answer.
func (link *requestServer) runHandler(exchange *serverExchange) error {
	defer exchange.cancel()
	defer exchange.body.discard()
	if link.server.Handler == nil {
		refusal := answerer.New(answerer.NotRunUnavailable, "VM %q accepts no requests", link.server.VM)
		return link.writeMessage(exchange, kindFailure, true, newFailure(refusal), nil)
	}
	response, err := link.server.Handler.Handle(exchange.context, &exchange.request)
	if err == nil && response == nil {
		err = answerer.New(answerer.Internal, "the handler gave no response")
	}
	if err != nil {
		return link.writeMessage(exchange, kindFailure, true, newFailure(err), nil)
	}
	if response.Body == nil {
		response.Body = http.NoBody
	}
	defer response.Body.Close()
	return link.sendResponse(exchange, response)
}

func (link *requestServer) sendResponse(exchange *serverExchange, response *carrier.Response) error {
	block := newBuffer()
	defer freeBuffer(block)
	head := responseHead{
		Status: response.Status, Header: appendHeader(block, response.Header), ContentLength: response.ContentLength,
	}
	if !hasBody(exchange.request.Method, response.Status) {
		return link.writeMessage(exchange, kindResponseHead, true, &head, nil)
	}
	if response.ContentLength >= 0 && response.ContentLength <= maxChunk {
		buffer := newBuffer()
		defer freeBuffer(buffer)
		bodyErr := readExactly(buffer, response.Body, response.ContentLength)
		head.Trailer = appendHeader(block, response.Trailer)
		if err := link.writeMessage(exchange, kindResponseHead, bodyErr == nil, &head, buffer.Bytes()); err != nil {
			return err
		}
		return bodyErr
	}
	if err := link.writeMessage(exchange, kindResponseHead, false, &head, nil); err != nil {
		return err
	}
	return link.sendBody(exchange, response)
}

// hasBody reports whether HTTP allows a body in the response. If it does not, a
// content length gives the size of the body that another response would have.
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

func (link *requestServer) sendBody(exchange *serverExchange, response *carrier.Response) error {
	buffer := newBuffer()
	defer freeBuffer(buffer)
	buffer.Grow(maxChunk)
	chunk := buffer.AvailableBuffer()[:maxChunk]
	var total int64
	for {
		count, err := response.Body.Read(chunk)
		total += int64(count)
		if length := response.ContentLength; length >= 0 && (total > length || (errors.Is(err, io.EOF) && total < length)) {
			return fmt.Errorf("response body has %d bytes instead of %d", total, length)
		}
		if count > 0 {
			if err := link.writeMessage(exchange, kindBodyChunk, false, nil, chunk[:count]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return link.writeMessage(exchange, kindResponseEnd, true, bodyEnd{Trailer: appendHeader(new(bytes.Buffer), response.Trailer)}, nil)
		}
		if err != nil {
			return fmt.Errorf("read response body: %w", err)
		}
	}
}

// writeMessage writes one message of the answer. Before it writes the last one, it
// makes the link ready for the next request, which the client may send as soon as
// it has read that message.
func (link *requestServer) writeMessage(exchange *serverExchange, kind messageKind, last bool, typed any, data []byte) error {
	link.messagesSent++
	buffer := newBuffer()
	defer freeBuffer(buffer)
	link.outFrame = frame{Kind: kind, Sequence: link.messagesSent, Request: exchange.number, Last: last}
	err := encode(buffer, &link.outFrame)
	if err == nil && typed != nil {
		err = encode(buffer, typed)
	}
	if err != nil {
		return err
	}
	if buffer.Len()+len(data) > maxMessage {
		return fmt.Errorf("message of %d bytes is above the bound of %d", buffer.Len()+len(data), maxMessage)
	}
	buffer.Write(data)
	if !last {
		return link.connection.write(buffer.Bytes())
	}
	exchange.body.discard()
	link.mutex.Lock()
	link.current = nil
	link.mutex.Unlock()
	return link.connection.write(buffer.Bytes())
}

// newResetCheckTimer returns the timer with which a blocked push checks for a reset.
func (link *requestServer) newResetCheckTimer() clocker.Timer {
	return link.server.Clock.NewTimer(resetCheckInterval)
}

// cutBodyError returns the error of a body that ended before its end message.
func cutBodyError(cause error) *answerer.Error {
	if cause == nil || errors.Is(cause, io.EOF) {
		cause = io.ErrUnexpectedEOF
	}
	return answerer.New(answerer.CutBody, "the body was cut: %w", cause)
}

// timeLeft returns the time until the deadline, or 0 if there is none. It reports
// false if the deadline has passed.
func timeLeft(clock clocker.Clock, deadline time.Time) (time.Duration, bool) {
	if deadline.IsZero() {
		return 0, true
	}
	left := deadline.Sub(clock.Now())
	return left, left > 0
}
