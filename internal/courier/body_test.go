package courier_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/accountant"
	"github.com/cuminstream/cuminstream/internal/fronter"
	"github.com/cuminstream/cuminstream/internal/sender"
	"github.com/cuminstream/cuminstream/pkg/broker"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// slowBody delivers a piece after each pause.
type slowBody struct {
	piece, left int
	pause       time.Duration
}

func (body *slowBody) Read(data []byte) (int, error) {
	if body.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(body.pause)
	n := min(body.piece, body.left, len(data))
	body.left -= n
	return n, nil
}

// sendWhole reads the whole stream as a sender does.
func sendWhole(ctx context.Context, request *sender.Request) (*sender.Response, error) {
	if _, err := io.Copy(io.Discard, request.Stream); err != nil {
		return nil, &sender.IncompleteResponseError{Cause: err}
	}
	return served(ctx, request)
}

// Guards against a stalled upload that keeps its slot until its deadline. The request may
// have run, since a part of it was sent, and the upstream must not be blamed.
func TestStalledUploadGivesItsSlotBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for pause, status := range map[time.Duration]int{time.Microsecond: 200, 500 * time.Millisecond: 502} {
			backend := &fakeBackend{responses: []sendFunc{sendWhole}}
			upload := request("/read/1", "Left", "60s")
			upload.ContentLength = 1<<20 + 100<<10
			upload.Body = io.MultiReader(strings.NewReader(strings.Repeat("x", 1<<20+1)), &slowBody{piece: 1 << 10, left: 100<<10 - 1, pause: pause})
			forwarder := newForwarder(backend)
			answer := forwarder.Serve(t.Context(), upload)
			assert.Equal(t, answer.Status, status)
			assert.Equal(t, len(backend.results), 1)
			if status == 502 {
				assert.Equal(t, backend.results[0].Outcome, broker.Abandoned)
			}
		}
	})
}

func newAccount(memory int64) *accountant.Account {
	return accountant.New(accountant.LimitsFor(memory), clocker.System{}, slog.New(slog.DiscardHandler))
}

// Guards against a refusal for want of memory that is not true: a request for which there is
// no room is answered 503 before it is sent, and what it has reserved is released.
func TestNoRoomInTheAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		account := newAccount(64 << 20)
		other := account.NewHolder(netip.Addr{}, nil, nil)
		for use, length := range map[accountant.Use]int{accountant.Requests: 60_000, accountant.Responses: 0} {
			backend := &fakeBackend{responses: []sendFunc{served}}
			refused := request("/book/1")
			refused.Holder = account.NewHolder(netip.Addr{}, nil, nil)
			if length > 0 {
				refused.Body, refused.ContentLength = strings.NewReader(strings.Repeat("x", length)), int64(length)
			}
			other.Force(use, account.Limits.Uses[use])
			answer := newForwarder(backend).Serve(t.Context(), refused)
			assert.Equal(t, answer.Status, http.StatusServiceUnavailable)
			assert.Assert(t, answer.Header.Get("Retry-After") != "")
			assert.Equal(t, len(backend.requests), 0)
			other.Release(use, account.Limits.Uses[use])
			refused.Holder.Close()
			assert.Equal(t, account.Used(use), int64(0))
		}
	})
}

// Guards against large responses that are sent for while there is no room for them: the size
// of the last ones of the route is reserved before a request is sent.
func TestExpectedResponseIsReserved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		account := newAccount(64 << 20)
		large := func(context.Context, *sender.Request) (*sender.Response, error) {
			return &sender.Response{Status: 200, Header: http.Header{}, Body: make([]byte, 200<<10), Metadata: sender.Metadata{Sealed: true}, ContentLength: 200 << 10}, nil
		}
		backend := &fakeBackend{responses: []sendFunc{large}}
		forwarder := newForwarder(backend)
		statuses := map[int]int{}
		for range 200 { // nobody reads the responses
			unread := request("/read/1")
			unread.Holder = account.NewHolder(netip.Addr{}, nil, nil)
			answer := forwarder.Serve(t.Context(), unread)
			statuses[answer.Status]++
			if answer.Status != 200 {
				unread.Holder.Close()
			}
		}
		assert.Assert(t, statuses[200] > 20 && statuses[503] > 100, "%v", statuses)
		assert.Assert(t, account.Used(accountant.Responses) <= account.Limits.Uses[accountant.Responses])
		assert.Equal(t, len(backend.results), 200, "every slot is released")
	})
}

// Guards against 400 for a body that did not arrive in time: the configuration allows it, and
// the caller may send it again.
func TestBodyThatDoesNotArrive(t *testing.T) {
	late := request("/book/1")
	late.ContentLength, late.Body = 10, errorReader{}
	assert.Equal(t, newForwarder(&fakeBackend{}).Serve(t.Context(), late).Status, http.StatusRequestTimeout)
	var evicted fronter.Request = *late
	evicted.Body = io.MultiReader(strings.NewReader("x"), evictedReader{})
	assert.Equal(t, newForwarder(&fakeBackend{}).Serve(t.Context(), &evicted).Status, http.StatusServiceUnavailable)
}

type errorReader struct{}

func (errorReader) Read([]byte) (int, error) { return 0, context.DeadlineExceeded }

type evictedReader struct{}

func (evictedReader) Read([]byte) (int, error) { return 0, fronter.ErrBodyEvicted }

// Guards against a body that changes or is cut when its buffer grows or is reused by a later
// request, among others by one whose body did not arrive.
func TestBodiesKeepTheirBytes(t *testing.T) {
	var sent []*sender.Request
	backend := &fakeBackend{responses: []sendFunc{func(ctx context.Context, request *sender.Request) (*sender.Response, error) {
		sent = append(sent, request)
		return served(ctx, request)
	}}}
	forwarder := newForwarder(backend)
	sizes := []int{1, 4 << 10, 4<<10 + 1, 60_000, 512 << 10, 1 << 20, 1<<20 + 1, 1<<20 + 4<<10, 1<<20 + 4<<10 + 1}
	for i, size := range sizes {
		upload := request("/book/1", "Left", "60s")
		upload.ContentLength, upload.Body = -1, strings.NewReader(strings.Repeat(string(rune('a'+i)), size))
		assert.Equal(t, forwarder.Serve(t.Context(), upload).Status, 200)
		cut := request("/book/1")
		cut.Body = io.MultiReader(strings.NewReader(strings.Repeat("!", size)), errorReader{})
		if size <= 1<<20 { // a larger one is streamed
			assert.Equal(t, forwarder.Serve(t.Context(), cut).Status, http.StatusRequestTimeout, "%d", size)
		}
	}
	for i, size := range sizes {
		body := string(sent[i].Body)
		if sent[i].Stream != nil {
			streamed, err := io.ReadAll(sent[i].Stream)
			assert.NilError(t, err)
			body = string(streamed)
		}
		assert.Assert(t, body == strings.Repeat(string(rune('a'+i)), size), "%d bytes", size)
	}
}
