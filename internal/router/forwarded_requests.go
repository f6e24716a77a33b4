package router

import (
	"context"
	"fmt"
	"sync"

	"github.com/cuminstream/cuminstream/internal/linker"
)

// forwardedRequests holds the requests that wait for the response of another VM, so
// that they can be sent elsewhere once the VM is suspected. The links of a frozen VM
// stay open, so that the requests would otherwise wait until their deadlines.
type forwardedRequests struct {
	mutex sync.Mutex
	byVM  map[string]map[*context.CancelCauseFunc]struct{}
}

// add returns a context that is cancelled when the VM becomes suspected, and a
// function to call when the header of the response has arrived.
func (requests *forwardedRequests) add(ctx context.Context, vm string) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	requests.mutex.Lock()
	defer requests.mutex.Unlock()
	if requests.byVM == nil {
		requests.byVM = map[string]map[*context.CancelCauseFunc]struct{}{}
	}
	if requests.byVM[vm] == nil {
		requests.byVM[vm] = map[*context.CancelCauseFunc]struct{}{}
	}
	requests.byVM[vm][&cancel] = struct{}{}
	return ctx, func() {
		requests.mutex.Lock()
		defer requests.mutex.Unlock()
		delete(requests.byVM[vm], &cancel)
	}
}

// cancel cancels all requests that wait for the VM's response.
func (requests *forwardedRequests) cancel(vm string) {
	requests.mutex.Lock()
	defer requests.mutex.Unlock()
	for cancel := range requests.byVM[vm] {
		(*cancel)(fmt.Errorf("VM %q is suspected: %w", vm, linker.ErrLinkLost))
	}
	delete(requests.byVM, vm)
}

// CancelForwarded cancels the requests that wait for the response of a suspected VM
// and whose body can be read again. They are then sent to another candidate.
func (router *Router) CancelForwarded(vm string) { router.forwarded.cancel(vm) }
