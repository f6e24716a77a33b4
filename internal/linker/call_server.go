package linker

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cuminstream/cuminstream/pkg/answerer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// callServer is the accepting side of a control link.
type callServer struct {
	server     *Server
	connection *connection
	sender     *sender
	context    context.Context
	cancel     context.CancelFunc

	mutex   sync.Mutex
	running map[uint64]context.CancelFunc // by call ID
}

func newCallServer(server *Server, connection *connection) *callServer {
	ctx, cancel := context.WithCancel(context.Background())
	return &callServer{
		server: server, connection: connection, sender: newSender(connection),
		context: ctx, cancel: cancel, running: map[uint64]context.CancelFunc{},
	}
}

func (link *callServer) abort() {
	link.cancel()
	link.connection.abort()
}

// stop ends the link at once, also while calls are running: their callers repeat
// them or treat them as unanswered.
func (link *callServer) stop() { link.abort() }

func (link *callServer) serve() error {
	var calls errgroup.Group
	calls.SetLimit(maxConcurrentCalls + 1)
	calls.Go(func() error {
		err := link.sender.run(link.context)
		link.abort()
		return err
	})
	var err error
	for err == nil {
		err = link.receive(&calls)
	}
	link.abort()
	_ = calls.Wait()
	return err
}

func (link *callServer) receive(calls *errgroup.Group) error {
	buffer, err := link.connection.read()
	if err != nil {
		return err
	}
	return link.handle(calls, buffer)
}

// handle processes a message and takes ownership of its buffer.
func (link *callServer) handle(calls *errgroup.Group, buffer *bytes.Buffer) error {
	var frame callFrame
	rest, err := decodeFirst(buffer.Bytes(), &frame)
	if err != nil {
		return err
	}
	switch frame.Kind {
	case kindCancel:
		link.endCall(frame.ID)
		freeBuffer(buffer)
		return nil
	case kindCall:
		var head callHead
		body, err := decodeFirst(rest, &head)
		if err != nil {
			return err
		}
		return link.startCall(calls, frame.ID, head, body, buffer)
	default:
		return fmt.Errorf("%w: unexpected message kind %d on a control link", errProtocol, frame.Kind)
	}
}

// startCall runs the call in its own goroutine. While maxConcurrentCalls are
// running it blocks, so that nothing is read and TCP slows the peer down.
func (link *callServer) startCall(calls *errgroup.Group, id uint64, head callHead, body []byte, buffer *bytes.Buffer) error {
	ctx, cancel := withOptionalTimeout(link.context, link.server.Clock, time.Duration(head.TimeoutMilliseconds)*time.Millisecond)
	link.mutex.Lock()
	_, duplicate := link.running[id]
	if !duplicate {
		link.running[id] = cancel
	}
	link.mutex.Unlock()
	if duplicate {
		cancel()
		return fmt.Errorf("%w: call ID %d is in use", errProtocol, id)
	}
	calls.Go(func() error {
		defer freeBuffer(buffer)
		defer link.endCall(id)
		answer, err := link.server.call(ctx, link.connection.peer, head.Method, body)
		link.sendAnswer(ctx, id, answer, err)
		return nil
	})
	return nil
}

func (link *callServer) endCall(id uint64) {
	link.mutex.Lock()
	cancel := link.running[id]
	delete(link.running, id)
	link.mutex.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (link *callServer) sendAnswer(ctx context.Context, id uint64, answer any, err error) {
	buffer := newBuffer()
	if err == nil {
		err = encode(buffer, callFrame{Kind: kindAnswer, ID: id}, answer)
		if err == nil && buffer.Len() > maxMessage {
			err = answerer.New(answerer.TooLarge, "the answer has %d bytes, above the bound of %d", buffer.Len(), maxMessage)
		}
	}
	if err != nil {
		buffer.Reset()
		err = encode(buffer, callFrame{Kind: kindFailure, ID: id}, newFailure(err))
	}
	if err != nil || link.sender.enqueue(ctx, buffer) != nil {
		freeBuffer(buffer)
	}
}

// call runs the handler of a control call that came over a link or from the local
// VM.
func (server *Server) call(ctx context.Context, from, method string, body []byte) (any, error) {
	handler, ok := server.handlers[method]
	if !ok {
		return nil, answerer.New(answerer.Malformed, "VM %q has no control call %q", server.VM, method)
	}
	return handler(ctx, from, func(value any) error {
		if err := bodyDecoder.Unmarshal(body, value); err != nil {
			return answerer.New(answerer.Malformed, "body of control call %q: %w", method, err)
		}
		return nil
	})
}

// sender writes the messages of a control link in the order in which they were
// queued, so that a slow peer does not block the goroutines that make calls.
type sender struct {
	connection *connection
	queue      chan *bytes.Buffer
	closed     chan struct{}
}

func newSender(connection *connection) *sender {
	return &sender{connection: connection, queue: make(chan *bytes.Buffer, maxQueuedMessages), closed: make(chan struct{})}
}

var (
	errLinkClosed = errors.New("the control link is closed")
	errQueueFull  = errors.New("the control link accepts no more messages")
)

// run writes messages until ctx is done or a write fails.
func (sender *sender) run(ctx context.Context) error {
	defer close(sender.closed)
	for {
		select {
		case <-ctx.Done():
			return nil
		case buffer := <-sender.queue:
			sender.connection.setWriteTimeout(controlWriteTimeout)
			err := sender.connection.write(buffer.Bytes())
			freeBuffer(buffer)
			if err != nil {
				return err
			}
		}
	}
}

// tryEnqueue queues the message, or fails immediately when the queue is full.
func (sender *sender) tryEnqueue(buffer *bytes.Buffer) error {
	select {
	case <-sender.closed:
		return errLinkClosed
	default:
	}
	select {
	case sender.queue <- buffer:
		return nil
	default:
		return errQueueFull
	}
}

// enqueue waits for space in the queue and queues the message.
func (sender *sender) enqueue(ctx context.Context, buffer *bytes.Buffer) error {
	select {
	case sender.queue <- buffer:
		return nil
	case <-sender.closed:
		return errLinkClosed
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// remainingMilliseconds returns the milliseconds until the context's deadline, at
// least 1, or 0 when it has none.
func remainingMilliseconds(ctx context.Context, clock clocker.Clock) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(deadline.Sub(clock.Now()).Milliseconds(), 1)
}

// withOptionalTimeout returns a context that ends after the timeout, or one
// without a deadline when the timeout is 0.
func withOptionalTimeout(ctx context.Context, clock clocker.Clock, timeout time.Duration) (context.Context, context.CancelFunc) {
	if timeout > 0 {
		return clocker.WithTimeout(ctx, clock, timeout)
	}
	return context.WithCancel(ctx)
}
