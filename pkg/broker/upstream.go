package broker

import (
	"time"
)

const (
	// initialWork is the assumed time of one request at an upstream before any
	// was measured.
	initialWork = 150 * time.Millisecond
	// workWeight is the weight of the newest measurement in the mean work time.
	workWeight = 0.08
	// failureWeight is the weight of the newest result in the share of failures.
	failureWeight = 0.15
	// shedPause is how long an upstream that refused a request with slots
	// believed free gets no other one. It doubles up to maxShedPause.
	shedPause    = 40 * time.Millisecond
	maxShedPause = 320 * time.Millisecond
	// unreachablePause is how long a VM that could not connect to an upstream twice
	// is not sent there again.
	unreachablePause = 500 * time.Millisecond
	// brokenLimit is the number of requests in a row that break without a
	// response before an upstream gets a pause.
	brokenLimit = 3
	brokenPause = time.Second
)

// upstream is what a broker believes of an upstream.
type upstream struct {
	Upstream
	limit   int            // slots that this broker may assign
	tickets int            // slots that this broker has assigned
	foreign map[string]int // slots in use that other brokers assigned, by VM

	offered     meter   // seconds of work that arrive for its keys
	work        float64 // mean seconds of one request
	measured    int     // requests behind work
	failures    float64 // share of failed requests, newest weigh most
	broken      int     // broken in a row
	sheds       int     // refused in a row
	brokenRuns  []brokenRun
	pausedUntil time.Time
	misses      map[string]int       // connections that failed in a row, by VM
	unreachable map[string]time.Time // by VM, until when
}

func newUpstream(info Upstream, work float64) *upstream {
	return &upstream{Upstream: info, limit: info.Slots, work: work, foreign: map[string]int{}, unreachable: map[string]time.Time{}, misses: map[string]int{}}
}

// inUse returns the slots that are taken.
func (upstream *upstream) inUse() int {
	count := upstream.tickets
	for _, foreign := range upstream.foreign {
		count += foreign
	}
	return count
}

func (upstream *upstream) free() int { return upstream.limit - upstream.inUse() }

// room returns the requests that the upstream may get for a key that only it can
// serve: while others wait, one more than its slots, which it starts itself as
// soon as a slot is free. Otherwise the slot would be empty until the broker has
// heard of its end and the next request has arrived.
func (upstream *upstream) room(waiting int) int {
	if waiting > 1 && upstream.limit == upstream.Slots {
		return upstream.free() + 1
	}
	return upstream.free()
}

// usable reports whether the upstream may get a request of the VM now.
func (upstream *upstream) usable(vm string, now time.Time) bool {
	return !now.Before(upstream.pausedUntil) && !now.Before(upstream.unreachable[vm])
}

// expected returns the expected seconds of one request.
func (upstream *upstream) expected() float64 { return upstream.work }

// note records the result of a request.
func (upstream *upstream) note(vm string, result Result, now time.Time) {
	switch result.Outcome {
	case Served, Failed:
		upstream.broken, upstream.sheds = 0, 0
		delete(upstream.unreachable, vm)
		delete(upstream.misses, vm)
		upstream.measure(result)
	case Shed, Misdirected:
		upstream.broken = 0
		if result.FreeSlot {
			return // it refuses requests although it has a slot: waiting would not help
		}
		pause := min(shedPause<<min(upstream.sheds, 8), maxShedPause)
		upstream.sheds++
		upstream.pausedUntil = now.Add(pause)
	case Unreachable:
		upstream.misses[vm]++
		if upstream.misses[vm] > 1 {
			upstream.unreachable[vm] = now.Add(unreachablePause)
		}
	case Interrupted:
		upstream.failures += failureWeight * (1 - upstream.failures)
		upstream.broken++
		if upstream.broken >= brokenLimit {
			upstream.pausedUntil = now.Add(brokenPause)
			upstream.broken = brokenLimit - 1 // one more failure pauses it again
		}
	case TimedOut:
		upstream.measure(result)
	case Abandoned:
	}
}

func (upstream *upstream) measure(result Result) {
	failed := 0.0
	if result.Outcome == Failed {
		failed = 1
	}
	upstream.failures += failureWeight * (failed - upstream.failures)
	if failed == 1 {
		return // a quick failure says nothing about the work
	}
	upstream.measured++
	weight := max(workWeight, 1/float64(upstream.measured+2))
	upstream.work += weight * (result.Elapsed.Seconds() - upstream.work)
}
