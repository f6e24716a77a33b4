package deadliner

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

const (
	// tailQuantile is the percentile of the service times below which no attempt is cut
	// off: at most 2 in 100 attempts that would have been served are cut off and run twice.
	tailQuantile = 98
	// reserveFactor times the mean service time is kept for the next attempt. With
	// lognormal service times of sigma 0.3 to 0.8, 9 in 10 attempts end within it.
	reserveFactor = 2
	// probeInterval is the number of attempts of which one is not cut off. Without these
	// probes, an upstream that has become slow would never show it: all of its slow
	// responses would be cut off.
	probeInterval = 16
	// minSamples is the number of measured service times from which on the tail is known.
	minSamples = 50
	// windows of windowLength are kept, so that a measurement counts for 40 to 60 s.
	windows      = 3
	windowLength = 20 * time.Second
	// refreshInterval is the least time between two computations of the mean and the tail.
	refreshInterval = time.Second
	// suspension is how long nothing is cut off after the retry budget was exhausted.
	suspension = time.Second
	// maxServiceTime is the largest service time that is measured; larger ones count as
	// this one.
	maxServiceTime = time.Minute
	// precision is the number of significant digits of a measured service time.
	precision = 2
)

// Bound is the decision on one attempt.
type Bound struct {
	// Timeout is the longest time until the first byte of the response; 0 for no bound.
	Timeout time.Duration
	// withheld is the timeout that a probe would have had.
	withheld time.Duration
}

// Deadliner decides for one class of requests. It is safe for concurrent use.
type Deadliner struct {
	clock clocker.Clock

	mutex          sync.Mutex
	times          *hdrhistogram.WindowedHistogram // in milliseconds
	rotatedAt      time.Time
	refreshedAt    time.Time
	mean, tail     time.Duration // 0 while too few service times are known
	attempts       int
	suspendedUntil time.Time
}

// New returns a Deadliner without measurements. It bounds nothing until it has enough.
func New(clock clocker.Clock) *Deadliner {
	return &Deadliner{clock: clock, times: hdrhistogram.NewWindowed(windows, 1, maxServiceTime.Milliseconds(), precision), rotatedAt: clock.Now()}
}

// Bound decides on an attempt that starts now and may be followed by another one. target
// and deadline are the times left until the response is late and until it is of no use.
//
// The attempt is cut off as late as the next one can still meet the target, or else the
// deadline, but never within the tail of the service times.
func (deadliner *Deadliner) Bound(target, deadline time.Duration) Bound {
	deadliner.mutex.Lock()
	defer deadliner.mutex.Unlock()
	now := deadliner.clock.Now()
	deadliner.refresh(now)
	if deadliner.tail == 0 || now.Before(deadliner.suspendedUntil) {
		return Bound{}
	}
	timeout := deadliner.latest(target)
	if timeout == 0 {
		timeout = deadliner.latest(deadline)
	}
	if timeout == 0 {
		return Bound{}
	}
	deadliner.attempts++
	if deadliner.attempts%probeInterval == 0 {
		return Bound{withheld: timeout}
	}
	return Bound{Timeout: timeout}
}

// latest returns when to cut off an attempt so that the next one ends within left, or 0 if
// an attempt of mean service time after the tail would not.
func (deadliner *Deadliner) latest(left time.Duration) time.Duration {
	timeout := max(deadliner.tail, left-reserveFactor*deadliner.mean)
	if timeout+deadliner.mean > left {
		return 0
	}
	return timeout
}

// RecordServed records the service time of an attempt that got a response. Attempts that
// were cut off or timed out are not recorded.
func (deadliner *Deadliner) RecordServed(bound Bound, elapsed time.Duration) {
	deadliner.mutex.Lock()
	defer deadliner.mutex.Unlock()
	deadliner.rotate(deadliner.clock.Now())
	weight := int64(1)
	if bound.withheld > 0 && elapsed > bound.withheld {
		weight = probeInterval // stands for the attempts that were cut off at this time
	}
	// The value is within the range of the histogram, so that it cannot fail.
	_ = deadliner.times.Current.RecordValues(min(max(elapsed, time.Millisecond), maxServiceTime).Milliseconds(), weight)
}

// RecordBudgetExhausted records that the retry budget did not allow another attempt. An
// attempt that is cut off then fails, and one that is not may still get its response.
func (deadliner *Deadliner) RecordBudgetExhausted() {
	deadliner.mutex.Lock()
	defer deadliner.mutex.Unlock()
	deadliner.suspendedUntil = deadliner.clock.Now().Add(suspension)
}

// rotate starts a new window for each windowLength that has passed.
func (deadliner *Deadliner) rotate(now time.Time) {
	passed := int(now.Sub(deadliner.rotatedAt) / windowLength)
	for range min(passed, windows) {
		deadliner.times.Rotate()
	}
	deadliner.rotatedAt = deadliner.rotatedAt.Add(time.Duration(passed) * windowLength)
}

// refresh computes the mean and the tail from all windows, at most once per refreshInterval.
func (deadliner *Deadliner) refresh(now time.Time) {
	if now.Sub(deadliner.refreshedAt) < refreshInterval {
		return
	}
	deadliner.refreshedAt = now
	deadliner.rotate(now)
	merged := deadliner.times.Merge()
	deadliner.mean, deadliner.tail = 0, 0
	if merged.TotalCount() >= minSamples {
		deadliner.mean = time.Duration(merged.Mean() * float64(time.Millisecond))
		deadliner.tail = time.Duration(merged.ValueAtQuantile(tailQuantile)) * time.Millisecond
	}
}
