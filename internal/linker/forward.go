package linker

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cuminstream/cuminstream/internal/carrier"
	"github.com/cuminstream/cuminstream/pkg/answerer"
)

// requestClient is the connecting side of a request link.
type requestClient struct {
	peer              *peer
	connection        *connection
	messagesSent      uint64
	messagesReceived  uint64
	requestNumber     uint64 // of the newest request
	inFrame, outFrame frame  // frame of the newest message in each direction
	address           string
	idleSince         time.Time
}

func (link *requestClient) close() {
	link.peer.openLinksGauge().Dec()
	link.connection.abort()
	link.connection.close()
}

// errTooManyLinks is the cause of a failure when MaxLinksPerPeer is reached.
var errTooManyLinks = errors.New("too many requests are being forwarded to the VM")

// acquireLink returns an idle link, or else dials a new one. reused reports which.
func (peer *peer) acquireLink(ctx context.Context) (link *requestClient, reused bool, err error) {
	peer.mutex.Lock()
	for len(peer.idle) > 0 {
		link := peer.idle[len(peer.idle)-1]
		peer.idle = peer.idle[:len(peer.idle)-1]
		if link.connection.isReusable() {
			peer.mutex.Unlock()
			return link, true, nil
		}
		delete(peer.links, link)
		link.close()
	}
	err = peer.checkBackoff()
	if err == nil && len(peer.links)+peer.dialing >= peer.pool.MaxLinksPerPeer {
		err = errTooManyLinks
	}
	if err != nil {
		peer.mutex.Unlock()
		return nil, false, err
	}
	peer.dialing++
	address := peer.address
	peer.mutex.Unlock()
	connection, err := peer.dial(ctx, requestLink)
	closed := peer.pool.isClosed()
	peer.mutex.Lock()
	defer peer.mutex.Unlock()
	peer.dialing--
	if err != nil {
		return nil, false, err
	}
	link = &requestClient{peer: peer, connection: connection, address: address}
	peer.openLinksGauge().Inc()
	if closed {
		link.close()
		return nil, false, errPoolClosed
	}
	peer.links[link] = struct{}{}
	return link, false, nil
}

func (peer *peer) openLinksGauge() prometheus.Gauge {
	return peer.pool.Metrics.links.WithLabelValues(string(requestLink), "connecting")
}

// releaseLink keeps the link for another request if it is healthy and still leads
// to the VM's address, and closes it otherwise.
func (peer *peer) releaseLink(link *requestClient, healthy bool) {
	if healthy {
		link.connection.setTimeout(0)
	}
	closed := peer.pool.isClosed()
	peer.mutex.Lock()
	defer peer.mutex.Unlock()
	if healthy && !closed && !link.connection.aborted.Load() && link.address == peer.address {
		link.idleSince = peer.pool.Clock.Now()
		peer.idle = append(peer.idle, link)
		return
	}
	delete(peer.links, link)
	link.close()
}

// Forward sends the request to the VM and returns the answer of its handler.
// The context applies until the response's body has been read to its end or
// closed. Forward may read request.Body until then.
//
// When the link fails, the error kind is NotRunUnavailable only if the peer has
// provably not received the whole head of the request.
func (pool *Pool) Forward(ctx context.Context, vm string, request *carrier.Request) (*carrier.Response, error) {
	pool.init()
	if vm == pool.VM && pool.LocalServer != nil {
		return pool.LocalServer.Handler.Handle(ctx, request)
	}
	response, err := pool.forward(ctx, vm, request)
	if err != nil {
		return nil, err
	}
	return response, nil
}

func (pool *Pool) forward(ctx context.Context, vm string, request *carrier.Request) (*carrier.Response, *answerer.Error) {
	peer, err := pool.peer(vm)
	if err != nil {
		return nil, linkError(false, false, "forward to VM %q: %w", vm, err)
	}
	inlineBody, failed := readInlineBody(request)
	defer freeBuffer(inlineBody)
	if failed != nil {
		return nil, failed
	}
	for {
		if ctx.Err() != nil {
			return nil, pool.notSentError(ctx, vm, context.Cause(ctx))
		}
		link, reused, err := peer.acquireLink(ctx)
		if err != nil {
			return nil, pool.notSentError(ctx, vm, err)
		}
		exchange := &clientExchange{link: link, request: request, inlineBody: inlineBody}
		failed := exchange.run(ctx)
		if failed == nil {
			return &exchange.response, nil
		}
		if _, again := request.Body.(io.Seeker); again && exchange.streaming {
			_ = exchange.bodySender.Wait() // the caller may rewind the body after Forward returns
		}
		// The peer may have closed a reused link while it was idle; other links
		// may still work.
		if failed.undelivered && reused && !exchange.streaming && ctx.Err() == nil {
			continue
		}
		if failed.undelivered {
			return nil, pool.notSentError(ctx, vm, failed.err)
		}
		return nil, failed.err
	}
}

// notSentError returns the error of a request that the peer has not received.
func (pool *Pool) notSentError(ctx context.Context, vm string, err error) *answerer.Error {
	kind := answerer.NotRunUnavailable
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		kind = answerer.NotRunDeadline
	}
	pool.Metrics.failures.WithLabelValues(string(kind)).Inc()
	return answerer.New(kind, "forward to VM %q: %w", vm, err)
}

// readInlineBody reads a body of known and small length, which is then sent in the
// same message as the head. When it fails, nothing of the request has been sent.
func readInlineBody(request *carrier.Request) (*bytes.Buffer, *answerer.Error) {
	if request.Body == nil || request.ContentLength < 0 || request.ContentLength > maxChunk {
		return nil, nil
	}
	buffer := newBuffer()
	err := readExactly(buffer, request.Body, request.ContentLength)
	if err == nil {
		return buffer, nil
	}
	freeBuffer(buffer)
	return nil, requestBodyError(request, false, err)
}

// readExactly reads a body of the given length to its end, which fills in the
// trailer. When it fails, the buffer holds the bytes read so far.
func readExactly(buffer *bytes.Buffer, body io.Reader, length int64) error {
	buffer.Grow(int(length) + 1)
	space := buffer.AvailableBuffer()
	space = space[:length+1]
	count, err := io.ReadFull(body, space)
	buffer.Write(space[:min(count, int(length))])
	switch {
	case count > int(length):
		return fmt.Errorf("body is longer than the stated %d bytes", length)
	case err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		return err
	case count < int(length):
		return fmt.Errorf("body ended after %d of %d bytes: %w", count, length, io.ErrUnexpectedEOF)
	}
	return nil
}

// requestBodyError returns the error of a request whose body could not be read.
func requestBodyError(request *carrier.Request, delivered bool, err error) *answerer.Error {
	var known *answerer.Error
	if errors.As(err, &known) && !(delivered && known.Kind.Response().NotRun) {
		return known
	}
	if !delivered {
		return answerer.New(answerer.Malformed, "read request body: %w", err)
	}
	return linkError(true, request.Idempotent, "read request body: %w", err)
}
