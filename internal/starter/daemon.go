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

	"github.com/cuminstream/cuminstream/internal/acceptor"
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
	// takeoverTimeout bounds how long a request waits for a new holder of its
	// group.
	takeoverTimeout = 2 * time.Second
	// headerTimeout bounds the time to read the headers of a request.
	headerTimeout = 10 * time.Second
	// idleTimeout closes keep-alive connections without a further request.
	idleTimeout = 2 * time.Minute
	// answersTimeout bounds the time to answer the requests that a shutdown cancels.
	answersTimeout = time.Second
	// maxHeaderBytes bounds the request line and headers of a request.
	maxHeaderBytes = 64 << 10
)

// errComponentFailed reports that a component of the daemon ended with an error.
var errComponentFailed = errors.New("a component of the daemon failed")

// runner is a component that runs until its context is done.
type runner interface {
	Run(ctx context.Context) error
}

// daemonDependencies are the components that the daemon runs or uses, injected by
// fx.
type daemonDependencies struct {
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
	Groups    *localGroups
	Router    *router.Router
	Operator  *operator.Server
	Exchange  *exchange
	Acceptor  *acceptor.Acceptor
	Shutdown  fx.Shutdowner
}

// daemon runs all components in one errgroup: when one fails, all stop.
type daemon struct {
	deps daemonDependencies

	group           *errgroup.Group
	cancel          context.CancelFunc
	callerServer    *http.Server
	cancelRequests  context.CancelCauseFunc // cancels the requests of callers
	internalServers []*http.Server          // links and operators
	// The link server stops before the other components, because requests that
	// other VMs have forwarded need the dispatchers and the heartbeats until they
	// end.
	stopLinks    context.CancelFunc
	linksStopped chan struct{}
}

func newDaemon(deps daemonDependencies) *daemon { return &daemon{deps: deps} }

// start opens the listeners and starts all components.
func (daemon *daemon) start() error {
	daemon.deps.Operator.Register(daemon.deps.Server)
	daemon.deps.Exchange.register(daemon.deps.Server)
	daemon.deps.Groups.register(daemon.deps.Server)
	daemon.deps.Gossip.register(daemon.deps.Server)
	daemon.deps.Gossip.onSuspected = daemon.deps.Router.CancelForwarded
	ctx, cancel := context.WithCancel(context.Background())
	daemon.cancel = cancel
	daemon.group, ctx = errgroup.WithContext(ctx)
	if err := daemon.listen(); err != nil {
		cancel()
		return err
	}
	follower := &configurer.Follower{Objects: daemon.deps.Store, Store: daemon.deps.Documents, Recorder: daemon.deps.Recorder}
	for name, component := range map[string]runner{
		"store": daemon.deps.Store, "documents": follower, "pool": daemon.deps.Pool,
		"account": daemon.deps.Acceptor.Account, "heartbeats": daemon.deps.Gossip, "homes": daemon.deps.Homer, "groups": daemon.deps.Groups,
	} {
		daemon.runComponent(ctx, name, component.Run)
	}
	linksContext, stopLinks := context.WithCancel(ctx)
	daemon.stopLinks, daemon.linksStopped = stopLinks, make(chan struct{})
	daemon.runComponent(linksContext, "links", func(ctx context.Context) error {
		defer close(daemon.linksStopped)
		return daemon.deps.Server.Run(ctx)
	})
	daemon.deps.Recorder.Record(timeliner.Event{Kind: "vmStarted"})
	slog.Info("started", "callers", daemon.deps.Settings.CallerListen, "links", daemon.deps.Settings.LinkListen, "operators", daemon.deps.Settings.OperatorListen)
	return nil
}

// runComponent starts one component. Its failure stops the daemon.
func (daemon *daemon) runComponent(ctx context.Context, name string, run func(context.Context) error) {
	daemon.group.Go(func() error {
		err := run(ctx)
		if err == nil || ctx.Err() != nil {
			return nil
		}
		slog.Error("component failed", "part", name, "error", err)
		_ = daemon.deps.Shutdown.Shutdown(fx.ExitCode(1))
		return fmt.Errorf("%s: %w", name, err)
	})
}

// listen opens all listeners before it serves on any of them.
func (daemon *daemon) listen() error {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	requests, cancelRequests := context.WithCancelCause(context.Background())
	daemon.cancelRequests = cancelRequests
	daemon.callerServer = &http.Server{
		BaseContext: func(net.Listener) context.Context { return requests },
		Handler:     daemon.deps.Router.Handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, Protocols: protocols,
		HTTP2: &http.HTTP2Config{MaxReceiveBufferPerConnection: acceptor.HTTP2Buffer, MaxReceiveBufferPerStream: acceptor.HTTP2Buffer},
	}
	linkServer := &http.Server{Handler: daemon.deps.Server, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
	operatorServer := &http.Server{Handler: daemon.deps.Operator.Handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	daemon.internalServers = []*http.Server{linkServer, operatorServer}
	type listening struct {
		server   *http.Server
		listener net.Listener
	}
	var bound []listening
	for _, endpoint := range []struct {
		address string
		server  *http.Server
	}{
		{daemon.deps.Settings.LinkListen, linkServer}, {daemon.deps.Settings.OperatorListen, operatorServer}, {daemon.deps.Settings.CallerListen, daemon.callerServer},
	} {
		listener, err := net.Listen("tcp", endpoint.address)
		if err != nil {
			for _, entry := range bound {
				_ = entry.listener.Close()
			}
			return fmt.Errorf("listen on %s: %w", endpoint.address, err)
		}
		if endpoint.server == daemon.callerServer {
			listener = daemon.deps.Acceptor.Listen(listener, daemon.callerServer)
		}
		bound = append(bound, listening{endpoint.server, listener})
	}
	for _, entry := range bound {
		daemon.group.Go(func() error {
			if err := entry.server.Serve(entry.listener); !errors.Is(err, http.ErrServerClosed) {
				return fmt.Errorf("serve %s: %w", entry.listener.Addr(), err)
			}
			return nil
		})
	}
	return nil
}

// stop shuts the daemon down gracefully: it fails the readiness check so that the
// load balancer sends no new connections, hands all groups over, and waits for
// requests in flight before it stops the components.
func (daemon *daemon) stop(ctx context.Context) error {
	daemon.deps.Recorder.Record(timeliner.Event{Kind: "vmStopping"})
	daemon.deps.Groups.stopReadiness()
	daemon.deps.Gossip.announceLeaving()
	if err := clocker.Sleep(ctx, daemon.deps.Clock, daemon.deps.Settings.StopNotice); err != nil {
		return fmt.Errorf("wait for the load balancer: %w", err)
	}
	daemon.deps.Groups.releaseAll(ctx)
	shutdownContext, cancel := clocker.WithTimeout(ctx, daemon.deps.Clock, daemon.deps.Settings.StopTimeout)
	defer cancel()
	daemon.shutdownCallers(ctx, shutdownContext)
	daemon.stopLinks()
	select {
	case <-daemon.linksStopped:
	case <-shutdownContext.Done():
	}
	daemon.cancel()
	for _, server := range daemon.internalServers {
		_ = server.Shutdown(shutdownContext)
	}
	if err := daemon.group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// shutdownCallers waits until the requests of callers have ended. Those that are left at the
// end of shutdownContext are cancelled, so that each caller gets an answer and learns whether
// its request may have run.
func (daemon *daemon) shutdownCallers(ctx, shutdownContext context.Context) {
	if daemon.callerServer.Shutdown(shutdownContext) == nil {
		return
	}
	slog.Warn("requests in flight are cancelled at the end of the shutdown")
	daemon.cancelRequests(router.ErrStopping)
	answersContext, cancel := clocker.WithTimeout(ctx, daemon.deps.Clock, answersTimeout)
	defer cancel()
	if err := daemon.callerServer.Shutdown(answersContext); err != nil {
		slog.Warn("requests in flight were cut off at shutdown", "error", err)
	}
}
