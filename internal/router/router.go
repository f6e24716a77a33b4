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

// Matcher finds the service of a request in the newest document.
type Matcher interface {
	Match(host, path, method string) (*configurer.Match, bool)
	// HasDocument reports whether any revision of the document is known.
	HasDocument() bool
}

// Forwarder passes a request to the VM that is believed to hold its group.
type Forwarder interface {
	Forward(ctx context.Context, vm string, request *carrier.Request) (*carrier.Response, error)
}

// Liveness tells which VMs may be reachable: all that nothing speaks against. A
// VM that was not heard of yet is one of them.
type Liveness interface {
	Reachable(vm string) bool
}

// Router answers callers. Its exported fields are set before it serves.
type Router struct {
	Clock     clocker.Clock
	VM        string
	Matcher   Matcher
	Locator   *locator.Locator
	Local     carrier.Handler // the dispatchers of this VM
	Forwarder Forwarder
	Liveness  Liveness
	// TakeoverTimeout bounds the time for which a request waits for a new holder.
	TakeoverTimeout time.Duration
	Metrics         *Metrics

	limits  refusals
	waiting waiting
	retries budget
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
		router.refuse(writer, request, invalid, started)
		return
	}
	ctx, cancel := clocker.WithTimeout(incoming.Context(), router.Clock, request.Deadline.Sub(started))
	defer cancel()
	response, err := router.route(ctx, request)
	if err != nil {
		router.refuse(writer, request, answerer.From(err), started)
		return
	}
	kind := router.reply(writer, incoming, response)
	router.Metrics.observe(request, kind, router.Clock.Now().Sub(started))
	if kind != resultDone {
		panic(http.ErrAbortHandler)
	}
}

// route tries the VMs that may hold the group until one answers, the deadline
// passes, or no candidate can be reached.
func (router *Router) route(ctx context.Context, request *carrier.Request) (*carrier.Response, error) {
	if err := router.limits.check(router.Clock.Now(), request); err != nil {
		return nil, err
	}
	attempt := newAttempt(router, request)
	for {
		response, err := attempt.once(ctx)
		if err == nil {
			router.retries.earn()
			return response, nil
		}
		known := answerer.From(err)
		if !attempt.again(ctx, known) {
			router.limits.learn(router.Clock.Now(), request, known)
			return nil, attempt.final(ctx, known)
		}
	}
}

// errNoCandidate marks a refusal because no VM of the group can be reached.
var errNoCandidate = errors.New("no candidate of the group can be reached")
