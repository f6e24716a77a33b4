package router

import (
	"context"
	"fmt"
	"sync"

	"github.com/cuminstream/cuminstream/internal/linker"
)

// waiting holds the requests that wait for an answer of another VM, so that
// they can be sent elsewhere once the VM is suspected. A frozen VM keeps its
// links open, and nothing else would end the wait before the deadline.
type waiting struct {
	mutex sync.Mutex
	byVM  map[string]map[*context.CancelCauseFunc]struct{}
}

// add returns a context that ends when the VM becomes suspected, and a function
// to be called when the answer's head has arrived.
func (waiting *waiting) add(ctx context.Context, vm string) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	waiting.mutex.Lock()
	defer waiting.mutex.Unlock()
	if waiting.byVM == nil {
		waiting.byVM = map[string]map[*context.CancelCauseFunc]struct{}{}
	}
	if waiting.byVM[vm] == nil {
		waiting.byVM[vm] = map[*context.CancelCauseFunc]struct{}{}
	}
	waiting.byVM[vm][&cancel] = struct{}{}
	return ctx, func() {
		waiting.mutex.Lock()
		defer waiting.mutex.Unlock()
		delete(waiting.byVM[vm], &cancel)
	}
}

// end cancels all requests that wait for the VM.
func (waiting *waiting) end(vm string) {
	waiting.mutex.Lock()
	defer waiting.mutex.Unlock()
	for cancel := range waiting.byVM[vm] {
		(*cancel)(fmt.Errorf("VM %q is suspected: %w", vm, linker.ErrLinkLost))
	}
	delete(waiting.byVM, vm)
}

// CancelForwarded tells the router that the VM is suspected. Requests that wait for it
// and can be sent again are given up and go to another candidate.
func (router *Router) CancelForwarded(vm string) { router.waiting.end(vm) }
