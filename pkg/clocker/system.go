package clocker

import "time"

// System is the Clock of the operating system.
type System struct{}

// Now returns the current time.
func (System) Now() time.Time { return time.Now() }

// NewTimer returns a timer that fires after d.
func (System) NewTimer(d time.Duration) Timer { return systemTimer{time.NewTimer(d)} }

// NewTicker returns a ticker that fires every d. It panics if d is not positive.
func (System) NewTicker(d time.Duration) Ticker { return systemTicker{time.NewTicker(d)} }

type systemTimer struct{ timer *time.Timer }

func (timer systemTimer) C() <-chan time.Time        { return timer.timer.C }
func (timer systemTimer) Stop() bool                 { return timer.timer.Stop() }
func (timer systemTimer) Reset(d time.Duration) bool { return timer.timer.Reset(d) }

type systemTicker struct{ ticker *time.Ticker }

func (ticker systemTicker) C() <-chan time.Time { return ticker.ticker.C }
func (ticker systemTicker) Stop()               { ticker.ticker.Stop() }
