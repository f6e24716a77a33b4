package linker

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cuminstream/cuminstream/pkg/answerer"
)

// callClient is the connecting side of a control link.
type callClient struct {
	peer       *peer
	connection *connection
	sender     *sender

	mutex    sync.Mutex
	lastID   uint64
	pending  map[uint64]chan callResult
	endErr   error // set once the link has ended
	lastUsed time.Time
}

// callResult is the result of a call: an answer, whose body is part of buffer, or
// an error.
type callResult struct {
	buffer *bytes.Buffer
	body   []byte
	err    error
}

// Call makes a control call. A call to the local VM uses no link. The error is
// always an *answerer.Error; its kind is NotRunUnavailable when the call was
// not sent, and OutcomeUnknown when it was sent but no answer arrived.
func (pool *Pool) Call(ctx context.Context, vm, method string, body, answer any) error {
	pool.init()
	if vm == pool.VM && pool.LocalServer != nil {
		return pool.callLocal(ctx, method, body, answer)
	}
	peer, err := pool.peer(vm)
	if err != nil {
		return linkError(false, false, "control call %q: %w", method, err)
	}
	link, err := peer.controlLink(ctx)
	if err != nil {
		return linkError(false, false, "control call %q: %w", method, err)
	}
	return link.call(ctx, method, body, answer)
}

// callLocal encodes and decodes the body and the answer as a link does, so that
// the caller and the handler share no memory.
func (pool *Pool) callLocal(ctx context.Context, method string, body, answer any) error {
	var request, response bytes.Buffer
	if err := encode(&request, body); err != nil {
		return answerer.New(answerer.Internal, "control call %q: %w", method, err)
	}
	value, err := pool.LocalServer.call(ctx, pool.VM, method, request.Bytes())
	if err != nil {
		return answerer.From(err)
	}
	if answer == nil {
		return nil
	}
	if err := encode(&response, value); err != nil {
		return answerer.New(answerer.Internal, "answer of control call %q: %w", method, err)
	}
	return decodeAnswer(method, response.Bytes(), answer)
}

func decodeAnswer(method string, body []byte, answer any) error {
	if err := bodyDecoder.Unmarshal(body, answer); err != nil {
		return answerer.New(answerer.Internal, "answer of control call %q: %w", method, err)
	}
	return nil
}

// controlLink returns the open control link. If there is none, it waits for the
// dial in progress, or starts one.
func (peer *peer) controlLink(ctx context.Context) (*callClient, error) {
	peer.mutex.Lock()
	if peer.control != nil {
		defer peer.mutex.Unlock()
		return peer.control, nil
	}
	if peer.controlDialed == nil {
		err := peer.checkBackoff()
		if err == nil {
			connecting := make(chan struct{})
			peer.controlDialed = connecting
			// start locks the pool, which must be locked before the peer.
			peer.mutex.Unlock()
			err = peer.pool.start(func() { peer.connectControl(connecting) })
			peer.mutex.Lock()
			if err != nil {
				peer.controlDialed = nil
				close(connecting)
			}
		}
		if err != nil {
			defer peer.mutex.Unlock()
			return nil, err
		}
	}
	connecting := peer.controlDialed
	peer.mutex.Unlock()
	if connecting != nil {
		select {
		case <-connecting:
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
	peer.mutex.Lock()
	defer peer.mutex.Unlock()
	if peer.control == nil {
		return nil, fmt.Errorf("VM %q: %w", peer.name, orDefault(peer.lastError, errLinkClosed))
	}
	return peer.control, nil
}

// connectControl dials the control link and serves it until it ends.
func (peer *peer) connectControl(connecting chan struct{}) {
	connection, err := peer.dial(context.Background(), controlLink)
	var link *callClient
	if err == nil {
		link = &callClient{
			peer: peer, connection: connection, sender: newSender(connection),
			pending: map[uint64]chan callResult{}, lastUsed: peer.pool.Clock.Now(),
		}
	}
	peer.mutex.Lock()
	peer.control = link
	peer.controlDialed = nil
	peer.mutex.Unlock()
	close(connecting)
	if link != nil {
		link.serve()
	}
}

// serve reads answers until the link ends, and then fails the pending calls.
func (link *callClient) serve() {
	gauge := link.peer.pool.Metrics.links.WithLabelValues(string(controlLink), "connecting")
	gauge.Inc()
	defer gauge.Dec()
	if link.peer.pool.isClosed() {
		link.connection.abort()
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error {
		defer link.connection.abort()
		return link.sender.run(ctx)
	})
	var err error
	for err == nil {
		err = link.receive()
	}
	link.peer.removeControl(link)
	cancel()
	link.connection.abort()
	_ = group.Wait()
	link.connection.close()
	link.failPending(err)
}

func (pool *Pool) isClosed() bool {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.closed
}

func (peer *peer) removeControl(link *callClient) {
	peer.mutex.Lock()
	defer peer.mutex.Unlock()
	if peer.control == link {
		peer.control = nil
	}
}

func (link *callClient) failPending(err error) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	link.endErr = err
	for id, waiting := range link.pending {
		delete(link.pending, id)
		waiting <- callResult{err: linkError(true, false, "VM %q: the control link ended: %w", link.peer.name, err)}
	}
}

func (link *callClient) receive() error {
	buffer, err := link.connection.read()
	if err != nil {
		return err
	}
	return link.handle(buffer)
}

// handle processes a message and takes ownership of its buffer.
func (link *callClient) handle(buffer *bytes.Buffer) error {
	var frame callFrame
	rest, err := decodeFirst(buffer.Bytes(), &frame)
	if err != nil {
		return err
	}
	result := callResult{buffer: buffer, body: rest}
	switch frame.Kind {
	case kindAnswer:
	case kindFailure:
		var failure failure
		if _, err := decodeFirst(rest, &failure); err != nil {
			return err
		}
		result.err = failure.toError()
	default:
		return fmt.Errorf("%w: message kind %d as an answer", errProtocol, frame.Kind)
	}
	waiting := link.removePending(frame.ID)
	if waiting == nil {
		freeBuffer(buffer) // the call was cancelled
		return nil
	}
	waiting <- result
	return nil
}

func (link *callClient) removePending(id uint64) chan callResult {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	waiting := link.pending[id]
	delete(link.pending, id)
	return waiting
}

// addPending registers a new call and returns its ID and the channel that receives
// its result.
func (link *callClient) addPending() (uint64, chan callResult, error) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	if link.endErr != nil {
		return 0, nil, link.endErr
	}
	link.lastID++
	link.lastUsed = link.peer.pool.Clock.Now()
	waiting := make(chan callResult, 1)
	link.pending[link.lastID] = waiting
	return link.lastID, waiting, nil
}

func (link *callClient) unusedSince(before time.Time) bool {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	return len(link.pending) == 0 && link.lastUsed.Before(before)
}

func (link *callClient) call(ctx context.Context, method string, body, answer any) error {
	id, waiting, err := link.addPending()
	if err != nil {
		return linkError(false, false, "control call %q: %w", method, err)
	}
	buffer := newBuffer()
	head := callHead{Method: method, TimeoutMilliseconds: remainingMilliseconds(ctx, link.peer.pool.Clock)}
	err = encode(buffer, callFrame{Kind: kindCall, ID: id}, head, body)
	switch {
	case err != nil:
		err = answerer.New(answerer.Internal, "control call %q: %w", method, err)
	case buffer.Len() > maxMessage:
		err = answerer.New(answerer.TooLarge, "control call %q has %d bytes, above the bound of %d", method, buffer.Len(), maxMessage)
	default:
		if err = link.sender.tryEnqueue(buffer); err != nil {
			err = linkError(false, false, "control call %q to VM %q: %w", method, link.peer.name, err)
		}
	}
	if err != nil {
		freeBuffer(buffer)
		link.removePending(id)
		return err
	}
	return link.awaitResult(ctx, id, waiting, method, answer)
}

func (link *callClient) awaitResult(ctx context.Context, id uint64, waiting chan callResult, method string, answer any) error {
	select {
	case result := <-waiting:
		defer freeBuffer(result.buffer)
		if result.err != nil || answer == nil {
			return result.err
		}
		return decodeAnswer(method, result.body, answer)
	case <-ctx.Done():
		if link.removePending(id) != nil {
			link.sendCancel(id)
		}
		return linkError(true, false, "control call %q to VM %q: %w", method, link.peer.name, context.Cause(ctx))
	}
}

// sendCancel asks the peer to cancel a call whose answer is no longer awaited.
func (link *callClient) sendCancel(id uint64) {
	buffer := newBuffer()
	if encode(buffer, callFrame{Kind: kindCancel, ID: id}) != nil || link.sender.tryEnqueue(buffer) != nil {
		freeBuffer(buffer)
	}
}
