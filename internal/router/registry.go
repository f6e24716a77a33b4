package router

import (
	"context"
	"sync"

	"github.com/cuminstream/cuminstream/internal/carrier"
	"github.com/cuminstream/cuminstream/internal/locator"
	"github.com/cuminstream/cuminstream/pkg/answerer"
)

// Registry passes requests from this VM's router and from links to the dispatchers of
// this VM. It refuses a request whose shard belongs to another group, because the
// VM that sent it may have an outdated shard map.
type Registry struct {
	Locator *locator.Locator

	mutex    sync.RWMutex
	handlers map[string]carrier.Handler
}

// Set adds or replaces the handler of a group. A nil handler removes the group.
func (registry *Registry) Set(group string, handler carrier.Handler) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if registry.handlers == nil {
		registry.handlers = map[string]carrier.Handler{}
	}
	if handler == nil {
		delete(registry.handlers, group)
		return
	}
	registry.handlers[group] = handler
}

// Handle passes the request to the dispatcher of its group.
func (registry *Registry) Handle(ctx context.Context, request *carrier.Request) (*carrier.Response, error) {
	registry.mutex.RLock()
	handler, ok := registry.handlers[request.Group]
	registry.mutex.RUnlock()
	if !ok {
		return nil, answerer.New(answerer.NotRunUnavailable, "this VM is not a candidate of group %s", request.Group)
	}
	group, ok := registry.Locator.GroupOf(request.Service, request.Shard)
	if !ok || group != request.Group {
		return nil, answerer.New(answerer.NotRunUnavailable, "shard %d of service %s is homed in group %q, not in %s",
			request.Shard, request.Service, group, request.Group)
	}
	return handler.Handle(ctx, request)
}
