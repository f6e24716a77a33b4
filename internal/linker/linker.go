package linker

import (
	"context"
	"errors"
)

// ErrLinkLost is wrapped by Forward's error when the link ended after the request
// may have been delivered and before the other VM answered. An error with which
// the other VM answered does not wrap it.
var ErrLinkLost = errors.New("the link ended before the answer")

// CallHandler handles a control call from the VM named by from. decode decodes
// the body of the call; the returned value is encoded as the answer.
type CallHandler func(ctx context.Context, from string, decode func(any) error) (any, error)

// Caller makes control calls to other VMs. answer may be nil.
type Caller interface {
	Call(ctx context.Context, vm, method string, body, answer any) error
}

// Registrar registers the handlers of control calls before the server runs.
type Registrar interface {
	Handle(method string, handler CallHandler)
}

// Directory looks up the link address of a VM.
type Directory interface {
	LinkAddress(vm string) (address string, ok bool)
}
