package linker

import (
	"context"
	"errors"
)

// ErrLinkLost is a cause of Forward's error when the link ended after the
// request may have been delivered and before the other VM answered. An error
// that the other VM answered does not have it.
var ErrLinkLost = errors.New("the link ended before the answer")

// CallHandler answers a control call from the named VM. decode reads the typed
// body of the call; the returned value is encoded as the answer.
type CallHandler func(ctx context.Context, from string, decode func(any) error) (any, error)

// Caller makes control calls to other VMs. answer may be nil.
type Caller interface {
	Call(ctx context.Context, vm, method string, body, answer any) error
}

// Registrar accepts the handlers of control calls, before the server runs.
type Registrar interface {
	Handle(method string, handler CallHandler)
}

// Directory tells the link address of a VM.
type Directory interface {
	LinkAddress(vm string) (address string, ok bool)
}
