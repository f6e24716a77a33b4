// Package storer follows objects in the platform's object store: it lists a
// kind, watches for changes, and reports when the store is lost and regained.
package storer

import (
	"context"
	"encoding/json"
	"errors"
	"time"
)

// Object is a versioned object of the store. Spec and Status are JSON.
type Object struct {
	Kind     string
	Name     string
	Revision uint64
	Deleting bool
	Spec     json.RawMessage
	Status   json.RawMessage
}

// Change is one event of a watch.
type Change struct {
	Object  Object
	Deleted bool
}

// Errors of a store. Any other error leaves the outcome of a write unknown.
var (
	// ErrConflict means that the object is not at the expected revision. The object
	// that is returned with it is the one in the store, if its revision is above 0.
	ErrConflict = errors.New("the object has another revision")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("the object does not exist")
	// ErrHistoryGone means that the store no longer knows the changes since the
	// given revision: the kind must be listed again.
	ErrHistoryGone = errors.New("the store has dropped its history since this revision")
	// ErrRefused means that the store has not executed the call.
	ErrRefused = errors.New("the store refused the call")
)

// HasCurrentObject reports whether an error of a write came with the object in the store.
func HasCurrentObject(object Object, err error) bool {
	return errors.Is(err, ErrConflict) && object.Revision > 0
}

// Store is the object store of the platform.
type Store interface {
	// List returns all objects of the kind and the store's revision.
	List(ctx context.Context, kind string) ([]Object, uint64, error)
	// ListStale is List at a lower price, with data that may be seconds old.
	ListStale(ctx context.Context, kind string) ([]Object, uint64, error)
	// Watch waits up to wait for changes of the kind after the revision. It
	// returns them and the revision to continue from.
	Watch(ctx context.Context, kind string, after uint64, wait time.Duration) ([]Change, uint64, error)
	// Get returns one object.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Create makes an object that must not exist yet.
	Create(ctx context.Context, kind, name string, spec any) (Object, error)
	// Replace changes the spec of an object that is at the revision.
	Replace(ctx context.Context, kind, name string, revision uint64, spec any) (Object, error)
	// Delete removes an object that is at the revision.
	Delete(ctx context.Context, kind, name string, revision uint64) error
}
