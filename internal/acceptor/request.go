package acceptor

import (
	"io"
	"net/http"
	"strconv"

	"github.com/cuminstream/cuminstream/internal/accountant"
	"github.com/cuminstream/cuminstream/pkg/answerer"
)

const (
	// bodyCost is the cost of a byte of a body that is buffered: the buffer doubles as the
	// body arrives.
	bodyCost = 2
	// maxBufferedBody is the size up to which the router buffers a body. What comes after
	// it is sent on.
	maxBufferedBody = 64 << 10
	// HTTP2Buffer bounds what net/http holds of unread bodies of an HTTP/2 connection.
	HTTP2Buffer = 128 << 10
	// retryAfterSeconds is the Retry-After of a request that the account does not allow.
	retryAfterSeconds = 1
)

// handler reserves the cost of each request before next handles it.
func (acceptor *Acceptor) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
		conn, ok := incoming.Context().Value(connectionKey{}).(*connection)
		if !ok {
			next.ServeHTTP(writer, incoming)
			return
		}
		conn.requests.Add(1)
		defer conn.requests.Add(-1)
		conn.readsHead.Store(false)
		conn.holder.Await(accountant.None)
		holder := acceptor.Account.NewHolder(conn.address, func(accountant.Activity) { _ = conn.Close() }, nil)
		defer holder.Close()
		if !conn.startRequest(holder, incoming) {
			refuse(writer)
			return
		}
		if incoming.Body != nil && incoming.Body != http.NoBody {
			wrapped := &body{ReadCloser: incoming.Body, conn: conn, holder: holder}
			if incoming.ContentLength > maxBufferedBody {
				wrapped.buffered = maxBufferedBody // it is sent on as it arrives
			}
			incoming.Body = wrapped
		}
		next.ServeHTTP(writer, incoming)
	})
}

// startRequest replaces what was reserved for the head while it arrived by its cost. It
// reports false if the account does not allow that.
func (conn *connection) startRequest(holder *accountant.Holder, incoming *http.Request) bool {
	conn.releaseHead()
	if incoming.ProtoMajor > 1 && conn.http2.CompareAndSwap(false, true) && conn.holder.Reserve(accountant.Connections, HTTP2Buffer) != "" {
		conn.http2.Store(false)
		return false
	}
	return holder.Reserve(accountant.Requests, headCost(incoming)) == ""
}

// headCost returns the cost of a parsed head.
func headCost(incoming *http.Request) int64 {
	cost := int64(len(incoming.RequestURI)+len(incoming.Host)) * byteCost
	for name, values := range incoming.Header {
		for _, value := range values {
			cost += int64(len(name)+len(value))*byteCost + lineCost
		}
	}
	return cost
}

// refuse responds to a request that the account does not allow, and has not run.
func refuse(writer http.ResponseWriter) {
	kind := answerer.NotRunUnavailable
	header := writer.Header()
	header.Set(answerer.HeaderResult, string(kind))
	header.Set(answerer.HeaderNotRun, "true")
	header.Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	header.Set("Connection", "close")
	writer.WriteHeader(kind.Response().Status)
}

// body reserves the cost of the part of a body that is buffered.
type body struct {
	io.ReadCloser
	conn     *connection
	holder   *accountant.Holder
	buffered int64
}

// Read fails with an *answerer.Error if the account does not allow what has arrived.
func (body *body) Read(buffer []byte) (int, error) {
	body.conn.await(accountant.Uploading)
	body.holder.Await(accountant.Uploading)
	count, err := body.ReadCloser.Read(buffer)
	body.conn.proceed()
	body.holder.Await(accountant.None)
	if held := min(int64(count), maxBufferedBody-body.buffered); held > 0 {
		if reason := body.holder.Reserve(accountant.Requests, held*bodyCost); reason != "" {
			return 0, answerer.New(answerer.NotRunUnavailable, "this VM holds too many bytes of other requests (%s)", reason)
		}
		body.buffered += held
	}
	return count, err
}
