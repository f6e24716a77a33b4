package acceptor_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/acceptor"
	"github.com/cuminstream/cuminstream/internal/accountant"
	"github.com/cuminstream/cuminstream/pkg/answerer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

var clientAddress = netip.MustParseAddr("127.0.0.2")

// start serves the handler within the bounds, and returns the address.
func start(t *testing.T, limits accountant.Limits, connections int, handler http.HandlerFunc) (string, *accountant.Account) {
	account := accountant.New(limits, clocker.System{}, slog.New(slog.DiscardHandler))
	bounds := &acceptor.Acceptor{Account: account, Clock: clocker.System{}, MaxConnections: connections}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: handler, Protocols: protocols}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(bounds.Listen(listener, server)) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String(), account
}

// send opens a connection and writes the text.
func send(t *testing.T, address, text string) net.Conn {
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, _ = io.WriteString(conn, text) // fails if the server has closed the connection
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	return conn
}

func echo(writer http.ResponseWriter, request *http.Request) {
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		var refused *answerer.Error
		if errors.As(err, &refused) {
			writer.WriteHeader(refused.Kind.Response().Status)
		}
		return
	}
	_, _ = io.WriteString(writer, "ok")
}

func statusOf(t *testing.T, conn net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	return response.StatusCode
}

// Guards against a head whose lines cost more than the account allows, against a status that
// tells the caller of an error of its own, and against bytes that stay reserved.
func TestAccount(t *testing.T) {
	limits := accountant.LimitsFor(64 << 20)
	limits.Uses[accountant.Requests] = 256 << 10
	address, account := start(t, limits, 100, echo)
	request := "POST / HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n%s"
	for range 20 {
		assert.Equal(t, statusOf(t, send(t, address, fmt.Sprintf(request, strings.Repeat("a:\r\n", 100), 10_000, strings.Repeat("x", 10_000)))), http.StatusOK)
	}
	conn := send(t, address, fmt.Sprintf(request, strings.Repeat("a:\r\n", 3000), 0, ""))
	received, _ := io.ReadAll(conn) // ends with a reset or a close
	assert.Equal(t, string(received), "")
	// The holders of the requests before it are too many for this body.
	holder := account.NewHolder(clientAddress, func(accountant.Activity) {}, nil)
	assert.Equal(t, holder.Reserve(accountant.Requests, 160<<10), accountant.Reason(""))
	text := strings.Repeat("x", 60<<10)
	assert.Equal(t, statusOf(t, send(t, address, fmt.Sprintf(request, "", len(text), text))), http.StatusServiceUnavailable)
	holder.Close()
	for account.Used(accountant.Requests) > 0 {
		time.Sleep(time.Millisecond) // until the connections have seen that they are closed
	}
}

// Guards against a bound of connections at which nobody is served: one that waits for its
// caller gives way, and one whose request runs does not.
func TestConnectionsGiveWay(t *testing.T) {
	release := make(chan struct{})
	address, _ := start(t, accountant.LimitsFor(64<<20), 2, func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/slow" {
			<-release
		}
		echo(writer, request)
	})
	slow := send(t, address, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	time.Sleep(50 * time.Millisecond) // until the request has started
	silent := send(t, address, "GET / HTTP/1.1\r\n")
	assert.Equal(t, statusOf(t, send(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")), http.StatusOK)
	_, err := silent.Read(make([]byte, 1))
	assert.Assert(t, err != nil && !errors.Is(err, net.ErrClosed), "%v", err)
	close(release)
	assert.Equal(t, statusOf(t, slow), http.StatusOK)
}

// Guards against a bound that keeps HTTP/2 from working, or whose account grows with the
// number of requests of a connection.
func TestHTTP2(t *testing.T) {
	address, account := start(t, accountant.LimitsFor(64<<20), 2, echo)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	defer client.CloseIdleConnections()
	for range 50 {
		response, err := client.Post("http://"+address, "text/plain", strings.NewReader(strings.Repeat("x", 200<<10)))
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Equal(t, response.ProtoMajor, 2)
	}
	time.Sleep(50 * time.Millisecond)
	assert.Assert(t, account.Used(accountant.Requests) < 4<<10, "%d", account.Used(accountant.Requests))
}

// Guards against a truncated response that looks complete to an HTTP/1.0 caller, because the
// router cannot reset the connection of net/http.
func TestReset(t *testing.T) {
	address, _ := start(t, accountant.LimitsFor(64<<20), 2, func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(writer, "part")
		controller := http.NewResponseController(writer)
		assert.Check(t, controller.Flush())
		conn, _, err := controller.Hijack()
		assert.Check(t, err)
		assert.Check(t, conn.(interface{ SetLinger(seconds int) error }).SetLinger(0))
		assert.Check(t, conn.Close())
	})
	_, err := io.ReadAll(send(t, address, "GET / HTTP/1.0\r\n\r\n"))
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}
