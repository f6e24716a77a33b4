package router

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/cuminstream/cuminstream/internal/carrier"
	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/locator"
	"github.com/cuminstream/cuminstream/pkg/answerer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// Matcher finds the service of a request in the newest routing document.
type Matcher interface {
	Match(host, path, method string) (*configurer.Match, bool)
	// HasDocument reports whether this VM has a revision of the document.
	HasDocument() bool
}

// Forwarder sends a request to another VM, which may hold the request's group.
type Forwarder interface {
	Forward(ctx context.Context, vm string, request *carrier.Request) (*carrier.Response, error)
}

// Liveness reports which VMs may be reachable. A VM counts as reachable until there
// is evidence against it, even if this VM does not know it yet.
type Liveness interface {
	Reachable(vm string) bool
}

// Router handles the requests of callers. Its exported fields must be set before it
// serves.
type Router struct {
	Clock     clocker.Clock
	VM        string
	Matcher   Matcher
	Locator   *locator.Locator
	Local     carrier.Handler // the dispatchers of this VM
	Forwarder Forwarder
	Liveness  Liveness
	// TakeoverTimeout limits how long a request waits for a new holder.
	TakeoverTimeout time.Duration
	Metrics         *Metrics

	overloads overloadCache
	forwarded forwardedRequests
	retries   retryBudget
}

// Handler returns the HTTP handler of the callers' listener.
func (router *Router) Handler() http.Handler {
	routes := mux.NewRouter().SkipClean(true).UseEncodedPath()
	routes.PathPrefix("/").HandlerFunc(router.serve)
	routes.NotFoundHandler = http.HandlerFunc(router.serve)
	return routes
}

func (router *Router) serve(writer http.ResponseWriter, incoming *http.Request) {
	started := router.Clock.Now()
	request, invalid := router.parse(incoming, started)
	if invalid != nil {
		router.writeError(writer, request, invalid, started)
		return
	}
	ctx, cancel := clocker.WithTimeout(incoming.Context(), router.Clock, request.Deadline.Sub(started))
	defer cancel()
	response, err := router.route(ctx, request)
	if err != nil {
		router.writeError(writer, request, answerer.From(err), started)
		return
	}
	kind := router.writeResponse(writer, incoming, response)
	router.Metrics.observe(request, kind, router.Clock.Now().Sub(started))
	if kind != resultDone {
		if !incoming.ProtoAtLeast(1, 1) {
			resetConnection(writer)
		}
		panic(http.ErrAbortHandler)
	}
}

// route tries the VMs that may hold the group until one responds, the deadline
// passes, no candidate can be reached, or an error does not allow another attempt.
func (router *Router) route(ctx context.Context, request *carrier.Request) (*carrier.Response, error) {
	if err := router.overloads.check(router.Clock.Now(), request); err != nil {
		return nil, err
	}
	routed := newRoutedRequest(router, request)
	for {
		response, err := routed.tryNext(ctx)
		if err == nil {
			router.retries.addSuccess()
			return response, nil
		}
		reported := answerer.From(err)
		if !routed.prepareRetry(ctx, reported) {
			router.overloads.record(router.Clock.Now(), request, reported)
			return nil, routed.finalError(ctx, reported)
		}
	}
}

// errNoReachableCandidate marks the error of a request whose group has no reachable
// candidate.
var errNoReachableCandidate = errors.New("no candidate of the group can be reached")
