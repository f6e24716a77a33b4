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
	peer       *peer
	connection *connection
	sent       uint64 // messages written
	received   uint64 // messages read
	number     uint64 // requests sent
	in, out    frame  // newest message of each direction
	address    string
	idleSince  time.Time
}

func (link *requestClient) close() {
	link.peer.gauge().Dec()
	link.connection.abort()
	link.connection.close()
}

// errTooManyLinks is the cause when MaxLinksPerPeer is reached.
var errTooManyLinks = errors.New("too many requests are being forwarded to the VM")

// take returns an idle link, or dials a new one. pooled tells which.
func (peer *peer) take(ctx context.Context) (link *requestClient, pooled bool, err error) {
	peer.mutex.Lock()
	for len(peer.idle) > 0 {
		link := peer.idle[len(peer.idle)-1]
		peer.idle = peer.idle[:len(peer.idle)-1]
		if link.connection.isQuiet() {
			peer.mutex.Unlock()
			return link, true, nil
		}
		delete(peer.open, link)
		link.close()
	}
	err = peer.gate()
	if err == nil && len(peer.open)+peer.dialing >= peer.pool.MaxLinksPerPeer {
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
	peer.gauge().Inc()
	if closed {
		link.close()
		return nil, false, errPoolClosed
	}
	peer.open[link] = struct{}{}
	return link, false, nil
}

func (peer *peer) gauge() prometheus.Gauge {
	return peer.pool.Metrics.links.WithLabelValues(string(requestLink), "connecting")
}

// give returns the link after an exchange.
func (peer *peer) give(link *requestClient, healthy bool) {
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
	delete(peer.open, link)
	link.close()
}

// Forward sends the request to the VM and returns the answer of its handler.
// The context governs the exchange until the response's body has been read to
// its end or is closed. Forward may read request.Body until then.
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
		return nil, lost(false, false, "forward to VM %q: %w", vm, err)
	}
	whole, failed := wholeBody(request)
	defer freeBuffer(whole)
	if failed != nil {
		return nil, failed
	}
	for {
		if ctx.Err() != nil {
			return nil, pool.notSent(ctx, vm, context.Cause(ctx))
		}
		link, pooled, err := peer.take(ctx)
		if err != nil {
			return nil, pool.notSent(ctx, vm, err)
		}
		exchange := &forwarding{link: link, request: request, whole: whole}
		failed := exchange.run(ctx)
		if failed == nil {
			return &exchange.response, nil
		}
		if _, again := request.Body.(io.Seeker); again && exchange.streaming {
			_ = exchange.sending.Wait() // the caller may rewind the body
		}
		// A pooled link that the peer has closed says nothing about the others.
		if failed.undelivered && pooled && !exchange.streaming && ctx.Err() == nil {
			continue
		}
		if failed.undelivered {
			return nil, pool.notSent(ctx, vm, failed.err)
		}
		return nil, failed.err
	}
}

// notSent is the error of a request of which the peer received nothing.
func (pool *Pool) notSent(ctx context.Context, vm string, err error) *answerer.Error {
	kind := answerer.NotRunUnavailable
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		kind = answerer.NotRunDeadline
	}
	pool.Metrics.failures.WithLabelValues(string(kind)).Inc()
	return answerer.New(kind, "forward to VM %q: %w", vm, err)
}

// wholeBody reads a body of known and small length, which is then sent in one
// message with the head. Nothing of the request has been sent when it fails.
func wholeBody(request *carrier.Request) (*bytes.Buffer, *answerer.Error) {
	if request.Body == nil || request.ContentLength < 0 || request.ContentLength > maxChunk {
		return nil, nil
	}
	buffer := newBuffer()
	err := readExactly(buffer, request.Body, request.ContentLength)
	if err == nil {
		return buffer, nil
	}
	freeBuffer(buffer)
	return nil, bodyError(request, false, err)
}

// readExactly reads a body of the given length up to its end, which fills in the
// trailer. What it has read is in the buffer even when it fails.
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

// bodyError is the error of a request whose body could not be read.
func bodyError(request *carrier.Request, delivered bool, err error) *answerer.Error {
	var known *answerer.Error
	if errors.As(err, &known) && !(delivered && known.Kind.Response().NotRun) {
		return known
	}
	if !delivered {
		return answerer.New(answerer.Malformed, "read request body: %w", err)
	}
	return lost(true, request.Idempotent, "read request body: %w", err)
}
