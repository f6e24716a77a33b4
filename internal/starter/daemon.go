package starter

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"go.uber.org/fx"
	"golang.org/x/sync/errgroup"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/homer"
	"github.com/cuminstream/cuminstream/internal/linker"
	"github.com/cuminstream/cuminstream/internal/operator"
	"github.com/cuminstream/cuminstream/internal/router"
	"github.com/cuminstream/cuminstream/internal/syncer"
	"github.com/cuminstream/cuminstream/internal/timeliner"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

const (
	// takeoverBound is the longest time for which a request waits for a new
	// holder of its group.
	takeoverBound = 2 * time.Second
	// headerTimeout bounds the time in which a connection sends a request head.
	headerTimeout = 10 * time.Second
	// idleTimeout ends connections that send no further request.
	idleTimeout = 2 * time.Minute
	// maxHeader bounds the head of a caller's request, in bytes.
	maxHeader = 64 << 10
)

// errPartFailed means that a part of the daemon ended with an error.
var errPartFailed = errors.New("a part of the daemon failed")

// runner is a part that runs until its context is done.
type runner interface {
	Run(ctx context.Context) error
}

// daemonParts are the parts that the daemon runs.
type daemonParts struct {
	fx.In

	Settings  Settings
	Clock     clocker.Clock
	Store     *syncer.Store
	Documents *configurer.Store
	Recorder  *timeliner.Recorder
	Server    *linker.Server
	Pool      *linker.Pool
	Gossip    *gossip
	Homer     *homer.Controller
	Members   *members
	Router    *router.Router
	Operator  *operator.Server
	Exchange  *exchange
	Shutdown  fx.Shutdowner
}

// daemon runs all parts in one group: when one fails, all stop.
type daemon struct {
	parts daemonParts

	group   *errgroup.Group
	cancel  context.CancelFunc
	callers *http.Server
	others  []*http.Server // links and operators
	// The link server ends before the other parts: requests that other VMs have
	// forwarded need the dispatchers and the heartbeats until their end.
	endLinks   context.CancelFunc
	linksEnded chan struct{}
}

func newDaemon(parts daemonParts) *daemon { return &daemon{parts: parts} }

// start opens the listeners and starts all parts.
func (daemon *daemon) start() error {
	daemon.parts.Operator.Register(daemon.parts.Server)
	daemon.parts.Exchange.register(daemon.parts.Server)
	daemon.parts.Members.register(daemon.parts.Server)
	daemon.parts.Gossip.register(daemon.parts.Server)
	daemon.parts.Gossip.suspect = daemon.parts.Router.CancelForwarded
	ctx, cancel := context.WithCancel(context.Background())
	daemon.cancel = cancel
	daemon.group, ctx = errgroup.WithContext(ctx)
	if err := daemon.listen(); err != nil {
		cancel()
		return err
	}
	follower := &configurer.Follower{Objects: daemon.parts.Store, Store: daemon.parts.Documents, Recorder: daemon.parts.Recorder}
	for name, part := range map[string]runner{
		"store": daemon.parts.Store, "documents": follower, "pool": daemon.parts.Pool,
		"heartbeats": daemon.parts.Gossip, "homes": daemon.parts.Homer, "groups": daemon.parts.Members,
	} {
		daemon.run(ctx, name, part.Run)
	}
	links, endLinks := context.WithCancel(ctx)
	daemon.endLinks, daemon.linksEnded = endLinks, make(chan struct{})
	daemon.run(links, "links", func(ctx context.Context) error {
		defer close(daemon.linksEnded)
		return daemon.parts.Server.Run(ctx)
	})
	daemon.parts.Recorder.Record(timeliner.Event{Kind: "vmStarted"})
	slog.Info("started", "callers", daemon.parts.Settings.CallerListen, "links", daemon.parts.Settings.LinkListen, "operators", daemon.parts.Settings.OperatorListen)
	return nil
}

// run starts one part. Its failure stops the daemon.
func (daemon *daemon) run(ctx context.Context, name string, function func(context.Context) error) {
	daemon.group.Go(func() error {
		err := function(ctx)
		if err == nil || ctx.Err() != nil {
			return nil
		}
		slog.Error("a part has failed", "part", name, "error", err)
		_ = daemon.parts.Shutdown.Shutdown(fx.ExitCode(1))
		return fmt.Errorf("%s: %w", name, err)
	})
}

// listen opens all listeners before any of them serves.
func (daemon *daemon) listen() error {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	daemon.callers = &http.Server{
		Handler: daemon.parts.Router.Handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader, Protocols: protocols,
	}
	links := &http.Server{Handler: daemon.parts.Server, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeader}
	operators := &http.Server{Handler: daemon.parts.Operator.Handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	daemon.others = []*http.Server{links, operators}
	type listening struct {
		server   *http.Server
		listener net.Listener
	}
	var opened []listening
	for _, wanted := range []struct {
		address string
		server  *http.Server
	}{
		{daemon.parts.Settings.LinkListen, links}, {daemon.parts.Settings.OperatorListen, operators}, {daemon.parts.Settings.CallerListen, daemon.callers},
	} {
		listener, err := net.Listen("tcp", wanted.address)
		if err != nil {
			for _, open := range opened {
				_ = open.listener.Close()
			}
			return fmt.Errorf("listen on %s: %w", wanted.address, err)
		}
		opened = append(opened, listening{wanted.server, listener})
	}
	for _, open := range opened {
		daemon.group.Go(func() error {
			if err := open.server.Serve(open.listener); !errors.Is(err, http.ErrServerClosed) {
				return fmt.Errorf("serve %s: %w", open.listener.Addr(), err)
			}
			return nil
		})
	}
	return nil
}

// stop is a planned stop: the balancer is told, the groups are handed over, and
// requests in flight end before the parts stop.
func (daemon *daemon) stop(ctx context.Context) error {
	daemon.parts.Recorder.Record(timeliner.Event{Kind: "vmStopping"})
	daemon.parts.Members.leave()
	daemon.parts.Gossip.leave()
	if err := clocker.Sleep(ctx, daemon.parts.Clock, daemon.parts.Settings.StopNotice); err != nil {
		return fmt.Errorf("wait for the balancer: %w", err)
	}
	daemon.parts.Members.release(ctx)
	waiting, cancel := clocker.WithTimeout(ctx, daemon.parts.Clock, daemon.parts.Settings.StopTimeout)
	defer cancel()
	if err := daemon.callers.Shutdown(waiting); err != nil {
		slog.Warn("requests in flight were cut at the stop", "error", err)
	}
	daemon.endLinks()
	select {
	case <-daemon.linksEnded:
	case <-waiting.Done():
	}
	daemon.cancel()
	for _, server := range daemon.others {
		_ = server.Shutdown(waiting)
	}
	if err := daemon.group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}
