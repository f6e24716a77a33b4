package dispatcher

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/cuminstream/cuminstream/internal/carrier"
	"github.com/cuminstream/cuminstream/internal/replicator"
	"github.com/cuminstream/cuminstream/pkg/answerer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/deduper"
	"github.com/cuminstream/cuminstream/pkg/suspecter"
)

// answered passes the answer on. The slot is freed when its body ends.
func (dispatcher *Dispatcher) answered(ticket *ticket, response *carrier.Response, cancel context.CancelFunc) *carrier.Response {
	if response.Header.Get(headerDraining) != "" {
		response.Header.Del(headerDraining)
		dispatcher.noticed(ticket.upstream)
	}
	passed := *response
	passed.Body = &answerBody{
		dispatcher: dispatcher, ticket: ticket, body: response.Body, cancel: cancel,
		status: response.Status, left: response.ContentLength,
		service: dispatcher.Clock.Now().Sub(ticket.started),
	}
	return &passed
}

// answerBody notices the end of an answer.
type answerBody struct {
	dispatcher *Dispatcher
	ticket     *ticket
	body       io.ReadCloser
	cancel     context.CancelFunc
	status     int
	left       int64         // bytes until the end, negative when unknown
	service    time.Duration // until the header of the answer
	once       sync.Once
}

// Read reads the answer. An early end is an error of kind CutBody.
func (body *answerBody) Read(buffer []byte) (int, error) {
	count, err := body.body.Read(buffer)
	if body.left > 0 {
		body.left -= int64(count)
	}
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		body.finish(func() { body.dispatcher.complete(body.ticket, body.status, body.service) })
	default:
		body.finish(func() { body.dispatcher.cut(body.ticket) })
		err = cutBody(err)
	}
	return count, err
}

func cutBody(err error) error {
	var known *answerer.Error
	if errors.As(err, &known) && known.Kind == answerer.CutBody {
		return err
	}
	return answerer.New(answerer.CutBody, "the answer ended early: %w", err)
}

// Close ends the answer. The caller may have left before its end.
func (body *answerBody) Close() error {
	body.finish(func() {
		if body.left == 0 {
			body.dispatcher.complete(body.ticket, body.status, body.service)
			return
		}
		body.dispatcher.finishRequest(body.ticket, deduper.Done, body.status)
		body.dispatcher.free(body.ticket, -1)
	})
	return body.body.Close()
}

func (body *answerBody) finish(function func()) {
	body.once.Do(func() {
		function()
		body.cancel()
	})
}

// complete ends a request whose answer was passed on as a whole.
func (dispatcher *Dispatcher) complete(ticket *ticket, status int, service time.Duration) {
	dispatcher.finishRequest(ticket, deduper.Done, status)
	defer dispatcher.tellEnded(ticket)
	if entry, ok := ticket.tenure.suspects.Clear(ticket.request.Fingerprint); ok {
		dispatcher.copyLater(ticket.tenure, replicator.Entries{Suspects: []suspecter.Entry{entry}}, "suspect")
	}
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	upstream := ticket.upstream
	held := dispatcher.Clock.Now().Sub(ticket.started)
	if dispatcher.tenure == ticket.tenure {
		dispatcher.budget.succeed()
		dispatcher.loads.add(ticket.request.Key, ticket.request.Shard, held.Seconds()*upstream.relative)
		if comparesWell(ticket.request) {
			upstream.speed.add(ticket.request.Rank, service, dispatcher.Clock.Now())
		}
	}
	dispatcher.release(ticket, held)
	ticket.phase = ended
}

// maxComparedBody is the largest body of a request whose service time says more
// about the upstream than about the caller's connection.
const maxComparedBody = 64 << 10

func comparesWell(request *carrier.Request) bool {
	return request.Body == nil || request.ContentLength >= 0 && request.ContentLength <= maxComparedBody
}

// cut ends a request whose answer ended early.
func (dispatcher *Dispatcher) cut(ticket *ticket) {
	dispatcher.finishRequest(ticket, deduper.Unknown, 0)
	dispatcher.broke(ticket, nil)
}

// tellEnded tells the next holder that a request which was left to this one has
// ended.
func (dispatcher *Dispatcher) tellEnded(ticket *ticket) {
	if ticket.sent && dispatcher.current() != ticket.tenure {
		dispatcher.copyLater(ticket.tenure, replicator.Entries{Ended: []string{ticket.id}}, "ended")
	}
}

// finishRequest records the outcome of a non-idempotent request.
func (dispatcher *Dispatcher) finishRequest(ticket *ticket, status deduper.Status, httpStatus int) {
	if ticket.request.Idempotent {
		return
	}
	if entry, ok := ticket.tenure.requests.Finish(ticket.id, status, httpStatus); ok {
		dispatcher.copyRequest(ticket.tenure, entry, "outcome")
	}
}

func (dispatcher *Dispatcher) copyRequest(tenure *tenure, entry deduper.Entry, content string) {
	dispatcher.copyLater(tenure, replicator.Entries{Requests: []deduper.Entry{entry}}, content)
}

// pass copies the entries while the tenure lasts, and tells the present holder
// afterwards.
func (dispatcher *Dispatcher) pass(ctx context.Context, tenure *tenure, entries replicator.Entries) error {
	switch present := dispatcher.current(); {
	case present == tenure:
		return tenure.lease.Replicate(ctx, entries)
	case present != nil:
		return dispatcher.MergeOutcomes(ctx, entries)
	case dispatcher.ReportOutcomes != nil:
		return dispatcher.ReportOutcomes(ctx, entries)
	}
	return tenure.lease.Replicate(ctx, entries)
}

// copyLater copies entries that nobody waits for.
func (dispatcher *Dispatcher) copyLater(tenure *tenure, entries replicator.Entries, content string) {
	dispatcher.spawn(func() {
		ctx, cancel := clocker.WithTimeout(context.WithoutCancel(tenure.ctx), dispatcher.Clock, copyTimeout)
		defer cancel()
		if err := dispatcher.pass(ctx, tenure, entries); err != nil {
			copyFailures.WithLabelValues(content).Inc()
		}
	})
}
