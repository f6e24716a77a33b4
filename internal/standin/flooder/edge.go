package flooder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cuminstream/cuminstream/internal/standin/soaker"
)

// Host and Path lead to the service of the upstream.
const (
	Host = "flood.example"
	Path = "/flood/"
)

// Options are the settings of an Edge.
type Options struct {
	// Folder gets the program, the settings and the log.
	Folder string
	// MemoryMB and MaxFDs are the limits in the settings file.
	MemoryMB int
	MaxFDs   int
	// RouteTimeout is the time limit of requests.
	RouteTimeout time.Duration
	// Work is the time that the upstream takes for a request, and Slots how many it runs
	// at once.
	Work  time.Duration
	Slots int
}

// Edge is a process of cuminstream-edge with a stand-in store and a stand-in upstream.
type Edge struct {
	*Process
	// Upstream is the upstream of the process.
	Upstream *Upstream

	servers []*http.Server
	group   errgroup.Group
}

const settingsFormat = `[self]
node-name = "vm"
ip = "127.0.0.1"
zone = "zone-a"
[self.limits]
memory-mb = %d
max-fds = %d
[network]
internal-port-range = [%d, %d]
[network.listen-addrs]
front = "127.0.0.1:%d"
ready = "127.0.0.1:%d"
[platform]
heartbeat-s = 0.5
[platform.platform]
addr = %q
[terms.contract-params]
drain-s = 2
grace-s = 6
budget-ratio = 0.2
budget-window-s = 10
retry-slack = 50
hold-max-s = 10
`

// StartEdge builds and starts the program, without the race detector, and waits until it
// serves a request.
func StartEdge(ctx context.Context, options Options) (_ *Edge, err error) {
	program := filepath.Join(options.Folder, "cuminstream-edge")
	if output, err := exec.CommandContext(ctx, "go", "build", "-o", program, "github.com/cuminstream/cuminstream/cmd/cuminstream-edge").CombinedOutput(); err != nil {
		return nil, fmt.Errorf("build cuminstream-edge: %w: %s", err, output)
	}
	edge := &Edge{Upstream: NewUpstream(options.Work, options.Slots)}
	defer func() {
		if err != nil {
			err = errors.Join(err, edge.Stop())
		}
	}()
	store := soaker.NewStore()
	storeAddress, err := edge.serve(store)
	if err != nil {
		return nil, err
	}
	upstreamAddress, err := edge.serve(edge.Upstream)
	if err != nil {
		return nil, err
	}
	if err := errors.Join(store.Put("servers", edge.Upstream.ID, edge.Upstream.entry(upstreamAddress)), configure(store, options)); err != nil {
		return nil, err
	}
	ports, err := freePorts(3)
	if err != nil {
		return nil, err
	}
	settings := filepath.Join(options.Folder, "settings.toml")
	text := fmt.Sprintf(settingsFormat, options.MemoryMB, options.MaxFDs, ports[2], ports[2], ports[0], ports[1], storeAddress)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	edge.Process, err = StartProcess(options.Folder, fmt.Sprintf("127.0.0.1:%d", ports[0]), program, "--settings", settings)
	if err != nil {
		return nil, err
	}
	return edge, edge.Ask(ctx, answerLimit)
}

// configure writes the configuration.
func configure(store *soaker.Store, options Options) error {
	return store.Put("config", "main", map[string]any{
		"version": "r1",
		"routes": map[string]any{
			"columns": []string{"name", "host", "path-prefix", "kind", "timeout-s", "target-latency-s", "priority", "max-attempts", "service"},
			"rows":    [][]any{{"flood", Host, Path, "safe", options.RouteTimeout.Seconds(), options.RouteTimeout.Seconds() / 2, 0, 2, "flood"}},
		},
		"services": map[string]any{
			"columns": []string{"name", "health-path", "max-conns", "sharded"},
			"rows":    [][]any{{"flood", "/health", 100, false}},
		},
		"limits": map[string]any{"header-bytes": 16384, "body-bytes": 64 << 20, "header-timeout-s": 3, "idle-timeout-s": 15},
	})
}

// serve serves the handler on a port of its own.
func (edge *Edge) serve(handler http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	edge.servers = append(edge.servers, server)
	edge.group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return listener.Addr().String(), nil
}

// freePorts returns ports that were free a moment ago.
func freePorts(count int) (ports []int, err error) {
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// Stop ends the process and the stand-ins.
func (edge *Edge) Stop() (err error) {
	if edge.Process != nil {
		err = edge.Process.Stop()
	}
	for _, server := range edge.servers {
		err = errors.Join(err, server.Close())
	}
	return errors.Join(err, edge.group.Wait())
}

const (
	// answerLimit is the time in which an ordinary request must be served, with
	// repetitions.
	answerLimit = 30 * time.Second
	askInterval = 100 * time.Millisecond
)

// Ask sends an ordinary request, and repeats it until it is served.
func (edge *Edge) Ask(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+edge.Address+Path, nil)
	if err != nil {
		return err
	}
	request.Host = Host
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	last := errors.New("not asked")
	for ctx.Err() == nil && edge.Alive() {
		response, err := client.Do(request)
		if err == nil {
			var body []byte
			body, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
			if err == nil && response.StatusCode == http.StatusOK && string(body) == ordinaryBody {
				return nil
			}
			last = fmt.Errorf("status %d, %d bytes", response.StatusCode, len(body))
		}
		last = errors.Join(err, last)
		if err != nil {
			last = err
		}
		sleep(ctx, askInterval)
	}
	return fmt.Errorf("no ordinary request was served: %w", last)
}
