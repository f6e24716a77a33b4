package platformer

import (
	"context"
	"errors"
	"time"
)

// Errors of the object API. Every other error means that the outcome of the
// call is unknown: a write may have taken effect.
var (
	ErrNotFound    = errors.New("object does not exist")
	ErrConflict    = errors.New("object has another version")
	ErrTooLarge    = errors.New("value is larger than the platform accepts")
	ErrRateLimited = errors.New("platform refused the call because of its rate limit")
)

// Object is a versioned value. Version is opaque and changes with each write.
type Object struct {
	Name    string
	Version string
	Value   []byte
}

// VM is an entry of the platform's list of VMs, which may be out of date. Peers also
// send such entries to each other.
type VM struct {
	Name    string `json:"name" cbor:"name"`
	Zone    string `json:"zone" cbor:"zone"`
	Address string `json:"address" cbor:"address"` // host:port of the link listener
	// Operator is the host:port of the operators' listener.
	Operator string `json:"operator" cbor:"operator"`
	Leaving  bool   `json:"leaving" cbor:"leaving"`
}

// API is the platform's object API and VM list.
type API interface {
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, name string) (Object, error)
	// Put writes the value if the object still has the given version and
	// returns the new version. An empty version means that the object must not
	// exist yet. It returns ErrConflict when the condition does not hold.
	Put(ctx context.Context, name string, value []byte, version string) (string, error)
	// List returns all objects whose names begin with prefix, and the sequence
	// number from which Watch continues.
	List(ctx context.Context, prefix string) ([]Object, uint64, error)
	// Watch waits up to timeout for changes after the sequence number. It
	// returns the changed objects and the newest sequence number.
	Watch(ctx context.Context, prefix string, after uint64, timeout time.Duration) ([]Object, uint64, error)
	// VMs returns the running and leaving VMs. The list may be out of date.
	VMs(ctx context.Context) ([]VM, error)
}
