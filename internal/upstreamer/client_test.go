package upstreamer_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/carrier"
	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/dispatcher"
	standin "github.com/cuminstream/cuminstream/internal/standin/upstreamer"
	"github.com/cuminstream/cuminstream/internal/upstreamer"
	"github.com/cuminstream/cuminstream/pkg/answerer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/queuer"
)

// startStandin starts a stand-in upstream and returns it with the entry for it in the
// routing document.
func startStandin(t *testing.T, settings standin.Settings) (*standin.Upstream, configurer.Upstream) {
	settings.Listen, settings.Connections, settings.Slots = "127.0.0.1:0", 10, 2
	upstream := standin.New(settings, clocker.System{})
	listener, err := upstream.Listen()
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- upstream.Serve(listener) }()
	t.Cleanup(func() {
		upstream.Close()
		<-served
	})
	return upstream, configurer.Upstream{Name: "u", Address: upstream.Address(), Connections: 10}
}

func request(method string, headers ...string) *carrier.Request {
	header := http.Header{}
	for index := 0; index < len(headers); index += 2 {
		header.Add(headers[index], headers[index+1])
	}
	return &carrier.Request{
		ID: "r1", Group: "g", Key: "k 1", Shard: 3, Rank: queuer.Lookup, Method: method, Target: "/quotes?a=%2F",
		Host: "quotes.example", Header: header, Deadline: clocker.System{}.Now().Add(5 * time.Second),
	}
}

func newClient(t *testing.T) *upstreamer.Client {
	client := upstreamer.New(clocker.System{})
	t.Cleanup(client.Close)
	return client
}

// startRawServer starts a server that passes each request to respond, with the raw
// connection. respond returns false to close the connection.
func startRawServer(t *testing.T, respond func(*http.Request, net.Conn) bool) configurer.Upstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil || !respond(request, conn) {
						return
					}
				}
			}()
		}
	}()
	return configurer.Upstream{Name: "raw", Address: listener.Addr().String(), Connections: 10}
}

// Guards against a request that runs twice because net/http retries it after its
// reused connection broke, although it had been written.
func TestRequestOnBrokenReusedConnectionIsNotRetried(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodOptions, http.MethodPost, http.MethodDelete} {
		var received atomic.Int32
		upstream := startRawServer(t, func(_ *http.Request, conn net.Conn) bool {
			if received.Add(1) > 1 {
				return false
			}
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
			return true
		})
		client := newClient(t)
		for attempt := range 2 {
			response, err := client.Send(t.Context(), upstream, request(method, "Idempotency-Key", "x", "X-Idempotency-Key", "y"), 1)
			if attempt == 0 {
				assert.NilError(t, err)
				_, _ = io.ReadAll(response.Body)
				_ = response.Body.Close()
				continue
			}
			var notStarted *dispatcher.NotStartedError
			assert.Assert(t, err != nil && !errors.As(err, &notStarted), "%s: %v", method, err)
		}
		assert.Equal(t, received.Load(), int32(2), method)
	}
}

// Guards against "not started" for a request that the upstream runs: a faulty upstream sends
// the refusal of an earlier request once more when the next request has arrived on the
// connection.
func TestLateRefusalIsNotForTheNextRequest(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nCuminstream-Refusal: shed\r\nContent-Length: 0\r\n\r\n"
	refused := map[net.Conn]bool{}
	upstream := startRawServer(t, func(_ *http.Request, conn net.Conn) bool {
		answer := refusal
		if len(refused) > 0 { // it runs this request
			answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		}
		if refused[conn] {
			answer = refusal + answer
		}
		refused[conn] = true
		_, _ = conn.Write([]byte(answer))
		return true
	})
	client := newClient(t)
	var notStarted *dispatcher.NotStartedError
	_, err := client.Send(t.Context(), upstream, request(http.MethodPost), 1)
	assert.Assert(t, errors.As(err, &notStarted), "%v", err)
	_, err = client.Send(t.Context(), upstream, request(http.MethodPost), 1)
	assert.Assert(t, !errors.As(err, &notStarted), "%v", err)
}

// Guards against a request that is reported as possibly run, although its connection
// was refused or the upstream refused it as fenced or shed.
func TestProvablyNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	fencing, fenced := startStandin(t, standin.Settings{ChecksGrants: true})
	shedding, shed := startStandin(t, standin.Settings{})
	shedding.UpdateBehavior(func(behavior *standin.Behavior) { behavior.Shed = true })
	for reason, upstream := range map[dispatcher.Reason]configurer.Upstream{
		dispatcher.ReasonDial: {Name: "d", Address: address, Connections: 4}, dispatcher.ReasonFenced: fenced, dispatcher.ReasonShed: shed,
	} {
		_, err := newClient(t).Send(t.Context(), upstream, request(http.MethodPost), 1)
		var notStarted *dispatcher.NotStartedError
		assert.Assert(t, errors.As(err, &notStarted), "%s: %v", reason, err)
		assert.Equal(t, notStarted.Reason, reason)
	}
	assert.Equal(t, len(standin.CountByRequest(fencing.Records(), standin.Started)), 0)
	assert.Equal(t, len(standin.CountByRequest(shedding.Records(), standin.Started)), 0)
}

// Guards against a cancelled request that is reported as not started, although the
// upstream is running it.
func TestRequestCancelledAfterSendMayHaveRun(t *testing.T) {
	upstream, spec := startStandin(t, standin.Settings{})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		_, err := newClient(t).Send(ctx, spec, request(http.MethodGet, standin.HeaderServiceTime, "10s"), 1)
		done <- err
	}()
	waitFor(t, func() bool { return len(upstream.Records()) == 1 })
	cancel()
	err := <-done
	var notStarted *dispatcher.NotStartedError
	assert.Assert(t, err != nil && !errors.As(err, &notStarted), "%v", err)
	waitFor(t, func() bool { return len(upstream.Records()) == 2 })
	assert.Equal(t, upstream.Records()[1].Kind, standin.Cancelled)
}

// waitFor waits up to 5 s for the condition.
func waitFor(t *testing.T, condition func() bool) {
	for range 500 {
		if condition() {
			return
		}
		assert.NilError(t, clocker.Sleep(t.Context(), clocker.System{}, 10*time.Millisecond))
	}
	t.Fatal("the condition was not met within 5 s")
}

// Guards against a truncated response that looks complete to the caller.
func TestTruncatedResponse(t *testing.T) {
	_, spec := startStandin(t, standin.Settings{})
	response, err := newClient(t).Send(t.Context(), spec,
		request(http.MethodGet, standin.HeaderAbort, "body", standin.HeaderResponseBytes, "100000"), 1)
	assert.NilError(t, err)
	defer response.Body.Close()
	read, err := io.Copy(io.Discard, response.Body)
	assert.Assert(t, read < 100000)
	assert.Equal(t, answerer.From(err).Kind, answerer.CutBody)
}

// Guards against hop-by-hop header fields that are passed on, against fields of the
// upstream protocol that a caller forges, and against lost trailers.
func TestHeadersAndTrailers(t *testing.T) {
	received := make(chan *http.Request, 1)
	upstream := startRawServer(t, func(request *http.Request, conn net.Conn) bool {
		_, _ = io.ReadAll(request.Body)
		received <- request
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nConnection: X-Private\r\nX-Private: 1\r\nX-Kept: 1\r\n" +
			"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Late: 1\r\n\r\n"))
		return true
	})
	outgoing := request(http.MethodPost, "Connection", "X-Hop, keep-alive", "X-Hop", "1", "Proxy-Authorization", "a",
		"Keep-Alive", "b", "Te", "trailers", "Cuminstream-Term", "99", "X-End", "1")
	outgoing.Body, outgoing.ContentLength = strings.NewReader("body"), 4
	outgoing.Trailer = http.Header{"X-Sum": {"7"}}
	response, err := newClient(t).Send(t.Context(), upstream, outgoing, 5)
	assert.NilError(t, err)
	_, err = io.ReadAll(response.Body)
	assert.NilError(t, err)
	incoming := <-received
	for _, name := range []string{"X-Hop", "Proxy-Authorization", "Keep-Alive"} {
		assert.Equal(t, incoming.Header.Get(name), "", name)
	}
	assert.DeepEqual(t, incoming.Trailer, http.Header{"X-Sum": {"7"}})
	assert.Equal(t, incoming.Header.Get("X-End")+incoming.Header.Get("Te"), "1trailers")
	assert.Equal(t, incoming.Header.Get("Cuminstream-Term"), "5")
	assert.Equal(t, incoming.Header.Get("Cuminstream-Key"), "k%201")
	assert.Equal(t, incoming.RequestURI, "/quotes?a=%2F")
	assert.Equal(t, incoming.Host, "quotes.example")
	assert.Equal(t, response.Header.Get("X-Private")+response.Header.Get("X-Kept"), "1")
	assert.Equal(t, response.Trailer.Get("X-Late"), "1")
	_, err = newClient(t).Send(t.Context(), upstream, request(http.MethodGet, "Connection", "Upgrade", "Upgrade", "websocket"), 5)
	var notStarted *dispatcher.NotStartedError
	assert.Assert(t, errors.As(err, &notStarted) && notStarted.Reason == dispatcher.ReasonInvalid, "%v", err)
}

// Guards against a large body that is sent to an upstream that refuses the request:
// a streamed body could not be sent again to another upstream.
func TestLargeBodyIsSentOnlyAfterContinue(t *testing.T) {
	upstream, spec := startStandin(t, standin.Settings{})
	content := strings.Repeat("manifest", 1<<17)
	send := func(body io.Reader) (*carrier.Response, error) {
		upload := request(http.MethodPut)
		upload.Body, upload.ContentLength = body, int64(len(content))
		return newClient(t).Send(t.Context(), spec, upload, 1)
	}
	upstream.UpdateBehavior(func(behavior *standin.Behavior) { behavior.Shed = true })
	body := strings.NewReader(content)
	_, err := send(body)
	var notStarted *dispatcher.NotStartedError
	assert.Assert(t, errors.As(err, &notStarted), "%v", err)
	assert.Equal(t, body.Len(), len(content))
	upstream.UpdateBehavior(func(behavior *standin.Behavior) { behavior.Shed = false })
	response, err := send(body)
	assert.NilError(t, err)
	var answer standin.ResponseBody
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&answer))
	sum := sha256.Sum256([]byte(content))
	assert.Equal(t, answer.SHA256, hex.EncodeToString(sum[:]))
}

// Guards against a refused grant whose reply lacks the reading of the upstream's
// clock, which the holder needs for the next grant.
func TestGrantAndProbe(t *testing.T) {
	_, spec := startStandin(t, standin.Settings{ChecksGrants: true})
	client := newClient(t)
	grant := dispatcher.Grant{Group: "g", Term: 1, Seq: 1, TTL: 800 * time.Millisecond, Shards: []uint32{3}}
	reply, err := client.Grant(t.Context(), spec, grant)
	var refused *dispatcher.GrantRefusedError
	assert.Assert(t, errors.As(err, &refused) && refused.Reason == dispatcher.ReasonGrantExpired, "%v", err)
	grant.Timestamp = reply.Timestamp
	_, err = client.Grant(t.Context(), spec, grant)
	assert.NilError(t, err)
	_, err = client.Send(t.Context(), spec, request(http.MethodGet), 1)
	assert.NilError(t, err)
	reply, err = client.Probe(t.Context(), spec)
	assert.NilError(t, err)
	assert.Assert(t, reply.Instance != "" && reply.Timestamp > 0)
}
