package clocker

import (
	"sync"
	"time"
)

// Fake is a Clock whose time changes only when Advance is called. It is safe for
// concurrent use.
type Fake struct {
	mutex  sync.Mutex
	now    time.Time
	timers map[*fakeTimer]struct{}
}

// NewFake returns a fake clock that is set to start.
func NewFake(start time.Time) *Fake {
	return &Fake{now: start, timers: map[*fakeTimer]struct{}{}}
}

// Now returns the time to which the clock has been advanced.
func (fake *Fake) Now() time.Time {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	return fake.now
}

// NewTimer returns a timer that fires once the clock has advanced by d.
func (fake *Fake) NewTimer(d time.Duration) Timer { return fake.addTimer(d, 0, nil) }

// NewTicker returns a ticker that fires each time the clock has advanced by another d. A
// tick is dropped if the one before it has not been received yet.
func (fake *Fake) NewTicker(d time.Duration) Ticker { return fakeTicker{fake.addTimer(d, d, nil)} }

// Advance moves the clock forward by d and fires the timers that become due, in the order
// of their due times.
func (fake *Fake) Advance(d time.Duration) {
	fake.mutex.Lock()
	target := fake.now.Add(d)
	for {
		next := fake.nextDue(target)
		if next == nil {
			break
		}
		fake.now = next.due
		next.fire()
	}
	fake.now = target
	fake.mutex.Unlock()
}

// TimerCount returns the number of running timers and tickers. A test uses it to wait
// until the code under test has set its timer.
func (fake *Fake) TimerCount() int {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	return len(fake.timers)
}

// addTimer starts a timer that fires after d and, if period is positive, every period
// after that. A timer with a callback calls it instead of sending on its channel.
func (fake *Fake) addTimer(d, period time.Duration, callback func()) *fakeTimer {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	timer := &fakeTimer{fake: fake, due: fake.now.Add(d), period: period, callback: callback, channel: make(chan time.Time, 1)}
	fake.timers[timer] = struct{}{}
	if d <= 0 {
		timer.fire()
	}
	return timer
}

// nextDue returns the timer with the earliest due time up to target, or nil if there is
// none.
func (fake *Fake) nextDue(target time.Time) *fakeTimer {
	var first *fakeTimer
	for timer := range fake.timers {
		if timer.due.After(target) {
			continue
		}
		if first == nil || timer.due.Before(first.due) {
			first = timer
		}
	}
	return first
}

type fakeTimer struct {
	fake     *Fake
	due      time.Time
	period   time.Duration
	callback func()
	channel  chan time.Time
}

// fire fires the timer and schedules its next tick if it is periodic. The caller must
// hold the clock's mutex.
func (timer *fakeTimer) fire() {
	if timer.period > 0 {
		timer.due = timer.due.Add(timer.period)
	} else {
		delete(timer.fake.timers, timer)
	}
	if timer.callback != nil {
		timer.callback()
		return
	}
	select {
	case timer.channel <- timer.fake.now:
	default:
	}
}

func (timer *fakeTimer) C() <-chan time.Time { return timer.channel }

func (timer *fakeTimer) Stop() bool {
	timer.fake.mutex.Lock()
	defer timer.fake.mutex.Unlock()
	_, running := timer.fake.timers[timer]
	delete(timer.fake.timers, timer)
	return running
}

func (timer *fakeTimer) Reset(d time.Duration) bool {
	timer.fake.mutex.Lock()
	defer timer.fake.mutex.Unlock()
	_, running := timer.fake.timers[timer]
	select {
	case <-timer.channel:
	default:
	}
	timer.due = timer.fake.now.Add(d)
	timer.fake.timers[timer] = struct{}{}
	if d <= 0 {
		timer.fire()
	}
	return running
}

type fakeTicker struct{ *fakeTimer }

func (ticker fakeTicker) Stop() { ticker.fakeTimer.Stop() }

// stopper is a timer that can be stopped: a *fakeTimer or a *time.Timer.
type stopper interface{ Stop() bool }

// afterFunc calls callback once d has passed on clock. A fake clock holds its mutex during
// the call, so callback must not use the clock.
func afterFunc(clock Clock, d time.Duration, callback func()) stopper {
	if fake, ok := clock.(*Fake); ok {
		return fake.addTimer(d, 0, callback)
	}
	return time.AfterFunc(d, callback)
}
