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
	putAttempts = 3
	putPause    = 100 * time.Millisecond
)

// Put writes the value to the platform if the object still has the version, and
// merges the result. The value must have a writeId that no other write has, and
// a higher revision than the known object. After a conflict or an unknown
// outcome, the object is read back and merged. Put returns
//
//   - the new version, if the write took effect;
//   - platformer.ErrConflict, if the object has another value now. An earlier
//     send of this write may have taken effect and been replaced since;
//   - platformer.ErrTooLarge or platformer.ErrRateLimited, if nothing was written;
//   - another error if the outcome is unknown. The same call may be repeated.
func (store *Store) Put(ctx context.Context, name string, value []byte, version string) (string, error) {
	revision, err := revisionOf(platformer.Object{Name: name, Value: value})
	if err != nil {
		return "", err
	}
	if known, ok := store.Get(name); ok {
		if bytes.Equal(known.Value, value) {
			return known.Version, nil
		}
		if newest := store.Revision(name); revision <= newest {
			return "", fmt.Errorf("put %s: revision %d is not above the known %d: %w", name, revision, newest, platformer.ErrConflict)
		}
	}
	uncertain := false
	for attempt := 1; ; attempt++ {
		written, open, err := store.putOnce(ctx, platformer.Object{Name: name, Version: version, Value: value})
		uncertain = uncertain || open
		if err == nil || !open && (!uncertain || errors.Is(err, platformer.ErrConflict)) {
			return written, err
		}
		if attempt == putAttempts || clocker.Sleep(ctx, store.Clock, putPause/2+rand.N(putPause)) != nil {
			// The cause is not wrapped: an earlier send may have taken effect,
			// even if the last one was refused.
			return "", fmt.Errorf("put %s: outcome is unknown: %v", name, err)
		}
	}
}

// putOnce sends the write and reads back if needed. open tells that the write
// may still take effect.
func (store *Store) putOnce(ctx context.Context, object platformer.Object) (written string, open bool, err error) {
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
		// The version is unchanged, so the write may be on its way. Sending it
		// again is safe: at most one of the two can take effect.
		return "", true, err
	}
}
