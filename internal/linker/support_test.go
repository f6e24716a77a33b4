package linker_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/carrier"
	"github.com/cuminstream/cuminstream/internal/linker"
	"github.com/cuminstream/cuminstream/pkg/answerer"
)

var testKey = []byte("a shared key of the tests")

// directory is a linker.Directory whose addresses can be changed.
type directory struct {
	mutex     sync.Mutex
	addresses map[string]string
}

func (directory *directory) LinkAddress(vm string) (string, bool) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	address, ok := directory.addresses[vm]
	return address, ok
}

func (directory *directory) set(vm, address string) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.addresses[vm] = address
}

// handlerFunc implements carrier.Handler with a function.
type handlerFunc func(ctx context.Context, request *carrier.Request) (*carrier.Response, error)

func (function handlerFunc) Handle(ctx context.Context, request *carrier.Request) (*carrier.Response, error) {
	return function(ctx, request)
}

// fixture is a server of VM "b" on the loopback interface and a pool of VM "a".
type fixture struct {
	server    *linker.Server
	listener  *httptest.Server
	pool      *linker.Pool
	directory *directory
	stop      context.CancelFunc // ends the server's Run
}

func newFixture(t testing.TB, handler handlerFunc) *fixture {
	t.Helper()
	created := &fixture{directory: &directory{addresses: map[string]string{}}}
	created.server = &linker.Server{VM: "b", SharedKey: testKey, Handler: handler}
	created.pool = &linker.Pool{VM: "a", SharedKey: testKey, Directory: created.directory}
	return created
}

// start runs the server and the pool until the test ends.
func (fixture *fixture) start(t testing.TB) *fixture {
	t.Helper()
	fixture.listener = httptest.NewServer(fixture.server)
	fixture.directory.set("b", fixture.listener.Listener.Addr().String())
	group, _ := errgroup.WithContext(context.Background())
	serverContext, stopServer := context.WithCancel(context.Background())
	poolContext, stopPool := context.WithCancel(context.Background())
	fixture.stop = stopServer
	group.Go(func() error { return fixture.server.Run(serverContext) })
	group.Go(func() error { return fixture.pool.Run(poolContext) })
	t.Cleanup(func() {
		stopPool()
		stopServer()
		assert.NilError(t, group.Wait())
		fixture.listener.Close()
	})
	return fixture
}

func (fixture *fixture) forward(t testing.TB, request *carrier.Request) (*carrier.Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return fixture.pool.Forward(ctx, "b", request)
}

func answer(status int, body string) *carrier.Response {
	return &carrier.Response{
		Status: status, Header: http.Header{"Content-Type": {"text/plain"}}, ContentLength: int64(len(body)),
		Body: io.NopCloser(strings.NewReader(body)),
	}
}

func kindOf(err error) answerer.Kind {
	if err == nil {
		return ""
	}
	return answerer.From(err).Kind
}

// waitFor polls the condition until it holds, and fails the test after 10 s.
func waitFor(t testing.TB, condition func() bool, description string) {
	t.Helper()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	deadline := time.After(10 * time.Second)
	for !condition() {
		select {
		case <-ticker.C:
		case <-deadline:
			t.Fatalf("timed out waiting for %s", description)
		}
	}
}

// cuttingProxy forwards connections to an address until cut closes them.
type cuttingProxy struct {
	listener net.Listener
	mutex    sync.Mutex
	conns    []net.Conn
	group    errgroup.Group
}

func newCuttingProxy(t testing.TB, address string) *cuttingProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	proxy := &cuttingProxy{listener: listener}
	proxy.group.Go(func() error {
		for {
			client, err := listener.Accept()
			if err != nil {
				return nil
			}
			server, err := net.Dial("tcp", address)
			if err != nil {
				client.Close()
				continue
			}
			proxy.mutex.Lock()
			proxy.conns = append(proxy.conns, client, server)
			proxy.mutex.Unlock()
			for _, pair := range [][2]net.Conn{{client, server}, {server, client}} {
				proxy.group.Go(func() error {
					_, _ = io.Copy(pair[0], pair[1])
					pair[0].Close()
					return nil
				})
			}
		}
	})
	t.Cleanup(func() {
		listener.Close()
		proxy.cut()
		_ = proxy.group.Wait()
	})
	return proxy
}

func (proxy *cuttingProxy) cut() {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for _, conn := range proxy.conns {
		conn.Close()
	}
	proxy.conns = nil
}
