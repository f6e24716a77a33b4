package clocker

import (
	"sync"
	"time"
)

// Fake is a clock that moves only when Advance is called. It is safe for use
// by several goroutines.
type Fake struct {
	mutex  sync.Mutex
	now    time.Time
	timers map[*fakeTimer]struct{}
}

// NewFake returns a fake clock that shows start.
func NewFake(start time.Time) *Fake {
	return &Fake{now: start, timers: map[*fakeTimer]struct{}{}}
}

// Now returns the time that the clock shows.
func (fake *Fake) Now() time.Time {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	return fake.now
}

// NewTimer returns a timer that fires once the clock has advanced by d.
func (fake *Fake) NewTimer(d time.Duration) Timer { return fake.add(d, 0, nil) }

// NewTicker returns a ticker that fires each time the clock has advanced by
// another d. Ticks that nobody has received are dropped.
func (fake *Fake) NewTicker(d time.Duration) Ticker { return fakeTicker{fake.add(d, d, nil)} }

// Advance moves the clock forward by d and fires the timers that become due,
// in the order of their times.
func (fake *Fake) Advance(d time.Duration) {
	fake.mutex.Lock()
	target := fake.now.Add(d)
	for {
		next := fake.earliest(target)
		if next == nil {
			break
		}
		fake.now = next.due
		next.fire()
	}
	fake.now = target
	fake.mutex.Unlock()
}

// TimerCount returns the number of timers and tickers that are running, so that a
// test can wait until the code under test has set its timer.
func (fake *Fake) TimerCount() int {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	return len(fake.timers)
}

func (fake *Fake) add(d, period time.Duration, function func()) *fakeTimer {
	fake.mutex.Lock()
	defer fake.mutex.Unlock()
	timer := &fakeTimer{fake: fake, due: fake.now.Add(d), period: period, function: function, channel: make(chan time.Time, 1)}
	fake.timers[timer] = struct{}{}
	if d <= 0 {
		timer.fire()
	}
	return timer
}

func (fake *Fake) earliest(target time.Time) *fakeTimer {
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
	function func()
	channel  chan time.Time
}

// fire must be called with the clock's mutex held.
func (timer *fakeTimer) fire() {
	if timer.period > 0 {
		timer.due = timer.due.Add(timer.period)
	} else {
		delete(timer.fake.timers, timer)
	}
	if timer.function != nil {
		timer.function()
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

// stopper is the part of a timer that afterFunc returns.
type stopper interface{ Stop() bool }

// afterFunc calls function once d has passed on clock. The function must not
// call back into a fake clock, whose lock is held during the call.
func afterFunc(clock Clock, d time.Duration, function func()) stopper {
	if fake, ok := clock.(*Fake); ok {
		return fake.add(d, 0, function)
	}
	return time.AfterFunc(d, function)
}
