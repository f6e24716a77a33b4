package dispatcher

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/cuminstream/cuminstream/internal/carrier"
	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/pkg/answerer"
	"github.com/cuminstream/cuminstream/pkg/deduper"
	"github.com/cuminstream/cuminstream/pkg/queuer"
)

// phase is where a request is between admission and its end.
type phase int

const (
	parked  phase = iota // waits for an owner of its key
	queued               // waits for a slot of its upstream
	solo                 // has a slot and waits until it is alone
	running              // has a slot; may be sent
	ended
)

// maxAttempts bounds the sends of one request of which at most one was not
// provably unstarted, plus one retry of an idempotent request.
const maxAttempts = 3

// ticket is one request between admission and its end. Its fields are guarded
// by the dispatcher's mutex, except those that are set once.
type ticket struct {
	request *carrier.Request
	tenure  *tenure
	id      string // the request's ID, or a generated one
	ready   chan *answerer.Error

	phase    phase
	upstream *upstream           // while it is queued or has a slot
	spec     configurer.Upstream // of the upstream that gave the slot
	queue    *queuer.Queue[*ticket]
	parkedAt time.Time
	started  time.Time // when it received its slot
	sent     bool      // the send has begun
	intent   bool      // the intent may have been copied
	cancel   context.CancelFunc
	attempts int
	retried  bool
	// mayHaveRun is set once an attempt was sent and its answer was lost.
	mayHaveRun bool
	lost       bool          // was in flight on an upstream that was lost
	entry      deduper.Entry // of a non-idempotent request
}

// answer tells the waiting goroutine that the ticket has a slot, or why it is
// refused. It never blocks, because a ticket waits for one answer at a time.
func (ticket *ticket) answer(err *answerer.Error) {
	select {
	case ticket.ready <- err:
	default:
	}
}

// touchedBody notes whether anything was read from a body that can be read only
// once.
type touchedBody struct {
	io.Reader
	touched atomic.Bool
}

// Read reads the caller's body.
func (body *touchedBody) Read(buffer []byte) (int, error) {
	body.touched.Store(true)
	return body.Reader.Read(buffer)
}

// rewind prepares the body for another attempt, or returns false when the body
// has been read and cannot be read again.
func (ticket *ticket) rewind() bool {
	switch body := ticket.request.Body.(type) {
	case nil:
		return true
	case io.Seeker:
		_, err := body.Seek(0, io.SeekStart)
		return err == nil
	case *touchedBody:
		return !body.touched.Load()
	}
	return false
}
