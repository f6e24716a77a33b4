package clocker

import (
	"context"
	"time"
)

// Clock returns the current time and creates timers. The times of the system clock carry
// a monotonic reading, so that steps of the wall clock do not affect their differences.
type Clock interface {
	Now() time.Time
	NewTimer(d time.Duration) Timer
	NewTicker(d time.Duration) Ticker
}

// Timer sends the time on its channel once. Stop and Reset report whether it was
// running.
type Timer interface {
	C() <-chan time.Time
	Stop() bool
	Reset(d time.Duration) bool
}

// Ticker sends the time on its channel periodically until it is stopped.
type Ticker interface {
	C() <-chan time.Time
	Stop()
}

// Sleep waits until d has passed on clock. It returns the cause of the context's
// cancellation if ctx is done first.
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

// WithTimeout returns a context that is cancelled with the cause
// context.DeadlineExceeded once d has passed on clock. The caller must call the returned
// function to release the timer.
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
