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

// phase is the state of a call between admission and its end.
type phase int

const (
	phaseParked            phase = iota // waits for an owner of its key
	phaseQueued                         // waits for a slot of its upstream
	phaseAwaitingExclusive              // has a slot and waits until no other request runs at its upstream
	phaseRunning                        // has a slot; may be sent
	phaseEnded
)

// maxAttempts limits the sends of one request whose earlier attempts were
// provably not started. An idempotent request may also be retried once after an
// attempt that may have run.
const maxAttempts = 3

// call is one request between admission and its end. Its fields are guarded by
// the dispatcher's mutex, except those that are set once.
type call struct {
	request   *carrier.Request
	leaseTerm *leaseTerm
	id        string // the request's ID, or a generated one
	slotReady chan *answerer.Error

	phase        phase
	upstream     *upstream           // while it is queued or has a slot
	spec         configurer.Upstream // of the upstream that gave the slot
	queue        *queuer.Queue[*call]
	parkedAt     time.Time
	slotTakenAt  time.Time // when it last received a slot
	sent         bool      // the send has begun
	intentCopied bool      // the intent may have been replicated
	cancel       context.CancelFunc
	attempts     int
	retried      bool
	// mayHaveRun is set once an attempt was sent and its response was lost.
	mayHaveRun   bool
	upstreamLost bool          // was in flight on an upstream that was lost
	requestEntry deduper.Entry // of a non-idempotent request
}

// notify tells the waiting goroutine that the call has a slot, or why it is
// refused. It never blocks, because a call waits for one result at a time.
func (call *call) notify(err *answerer.Error) {
	select {
	case call.slotReady <- err:
	default:
	}
}

// singleReadBody records whether anything was read from a body that can be read
// only once.
type singleReadBody struct {
	io.Reader
	readStarted atomic.Bool
}

// Read reads from the body of the caller's request.
func (body *singleReadBody) Read(buffer []byte) (int, error) {
	body.readStarted.Store(true)
	return body.Reader.Read(buffer)
}

// rewindBody prepares the body for another attempt. It returns false if the
// body has been read and cannot be read again.
func (call *call) rewindBody() bool {
	switch body := call.request.Body.(type) {
	case nil:
		return true
	case io.Seeker:
		_, err := body.Seek(0, io.SeekStart)
		return err == nil
	case *singleReadBody:
		return !body.readStarted.Load()
	}
	return false
}
