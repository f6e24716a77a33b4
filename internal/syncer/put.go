package syncer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cuminstream/cuminstream/internal/platformer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

const (
	maxPutAttempts = 3
	putRetryDelay  = 100 * time.Millisecond
)

// Put writes the value to the platform if the object still has the given version, and
// merges the result. The value must have a unique writeId, and a higher revision
// than the object that the store holds. After a conflict or an unknown outcome, Put
// reads the object back and merges it. It returns
//
//   - the new version, if the write took effect;
//   - platformer.ErrConflict, if the object has another value now. An earlier
//     attempt of this write may have taken effect and been overwritten since;
//   - platformer.ErrTooLarge or platformer.ErrRateLimited, if nothing was written;
//   - another error, if the outcome is unknown. The same call may be repeated.
func (store *Store) Put(ctx context.Context, name string, value []byte, version string) (string, error) {
	revision, err := validateObject(platformer.Object{Name: name, Value: value})
	if err != nil {
		return "", err
	}
	if known, ok := store.Get(name); ok {
		if bytes.Equal(known.Value, value) {
			return known.Version, nil
		}
		if knownRevision := store.Revision(name); revision <= knownRevision {
			return "", fmt.Errorf("put %s: revision %d is not above the known %d: %w", name, revision, knownRevision, platformer.ErrConflict)
		}
	}
	anyMayTakeEffect := false
	for attempt := 1; ; attempt++ {
		written, mayTakeEffect, err := store.putOnce(ctx, platformer.Object{Name: name, Version: version, Value: value})
		anyMayTakeEffect = anyMayTakeEffect || mayTakeEffect
		if err == nil || !mayTakeEffect && (!anyMayTakeEffect || errors.Is(err, platformer.ErrConflict)) {
			return written, err
		}
		if attempt == maxPutAttempts || clocker.Sleep(ctx, store.Clock, putRetryDelay/2+rand.N(putRetryDelay)) != nil {
			// Not wrapped with %w: an earlier attempt may have taken effect, even if the
			// last one was refused with a definite error.
			return "", fmt.Errorf("put %s: outcome is unknown: %v", name, err)
		}
	}
}

// putOnce writes once, and reads the object back after an error that leaves the
// outcome open. mayTakeEffect reports that the write may still take effect.
func (store *Store) putOnce(ctx context.Context, object platformer.Object) (written string, mayTakeEffect bool, err error) {
	written, err = store.API.Put(ctx, object.Name, object.Value, object.Version)
	if err == nil {
		store.mergeAll([]platformer.Object{{Name: object.Name, Version: written, Value: object.Value}})
		return written, false, nil
	}
	if errors.Is(err, platformer.ErrTooLarge) || errors.Is(err, platformer.ErrRateLimited) {
		return "", false, err
	}
	found, readErr := store.API.Get(ctx, object.Name)
	switch {
	case errors.Is(readErr, platformer.ErrNotFound):
		found = platformer.Object{}
	case readErr != nil:
		return "", true, err
	default:
		store.mergeAll([]platformer.Object{found})
	}
	switch {
	case found.Version != "" && bytes.Equal(found.Value, object.Value):
		return found.Version, false, nil
	case found.Version != object.Version:
		return "", false, fmt.Errorf("put %s: %w", object.Name, platformer.ErrConflict)
	default:
		// The version is unchanged, so the write may still arrive. Retrying is
		// safe: the write is conditional on the version, so that at most one of
		// the attempts takes effect.
		return "", true, err
	}
}
