package clocker

import (
	"context"
	"time"
)

// Clock tells the time and makes timers. Times that it returns carry a
// monotonic reading, so that differences are not affected by clock steps.
type Clock interface {
	Now() time.Time
	NewTimer(d time.Duration) Timer
	NewTicker(d time.Duration) Ticker
}

// Timer fires once on its channel.
type Timer interface {
	C() <-chan time.Time
	Stop() bool
	Reset(d time.Duration) bool
}

// Ticker fires repeatedly on its channel until it is stopped.
type Ticker interface {
	C() <-chan time.Time
	Stop()
}

// Sleep waits for d or until ctx is done, and returns the context's error in
// the second case.
func Sleep(ctx context.Context, clock Clock, d time.Duration) error {
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-timer.C():
		return nil
	}
}

// WithTimeout returns a context that is cancelled when d has passed on clock.
// The caller must call the returned function to release the timer.
func WithTimeout(ctx context.Context, clock Clock, d time.Duration) (context.Context, context.CancelFunc) {
	if _, ok := clock.(System); ok {
		return context.WithTimeout(ctx, d)
	}
	child, cancel := context.WithCancelCause(ctx)
	timer := afterFunc(clock, d, func() { cancel(context.DeadlineExceeded) })
	return child, func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}
