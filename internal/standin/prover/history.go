package prover

import (
	"sync"
	"time"

	"github.com/cuminstream/cuminstream/internal/standin/upstreamer"
	"github.com/cuminstream/cuminstream/pkg/answerer"
)

// attempt is one request as a caller sent it, and what the caller was told.
type attempt struct {
	ID, Service, Key string
	Idempotent       bool
	Lookup           bool // short and urgent, so that its wait is that of its key
	BodyHash         string
	VM               string
	Start, End       time.Time

	Status int
	Result answerer.Kind
	NotRun bool
	Answer upstreamer.ResponseBody // of status 200
	Err    error                   // the connection broke or the answer was cut
}

// done reports whether the caller got a whole answer of the upstream.
func (attempt attempt) done() bool { return attempt.Err == nil && attempt.Status == 200 }

// ranNothing reports whether the answer states that this attempt ran nothing.
func (attempt attempt) ranNothing() bool {
	return attempt.Err == nil && (attempt.NotRun || attempt.Result == answerer.SuspectRefused)
}

// event is what a test did to a process.
type event int

const (
	killed event = iota
	frozen
	thawed
)

type interruption struct {
	at    time.Time
	event event
}

// history is everything that the callers and the upstreams saw of a run.
type history struct {
	mutex         sync.Mutex
	attempts      []attempt
	interruptions map[string][]interruption // by process, in order
}

func newHistory() *history { return &history{interruptions: map[string][]interruption{}} }

func (history *history) add(attempt attempt) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	history.attempts = append(history.attempts, attempt)
}

func (history *history) interrupt(process string, at time.Time, event event) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	history.interruptions[process] = append(history.interruptions[process], interruption{at, event})
}

// since returns the attempts that began at or after the time.
func (history *history) since(at time.Time) []attempt {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	var list []attempt
	for _, attempt := range history.attempts {
		if !attempt.Start.Before(at) {
			list = append(list, attempt)
		}
	}
	return list
}

// firstAfter returns the time of the first interruption of the process after
// the time.
func (history *history) firstAfter(process string, at time.Time) (interruption, bool) {
	for _, interruption := range history.interruptions[process] {
		if interruption.at.After(at) {
			return interruption, true
		}
	}
	return interruption{}, false
}

// frozenBefore returns when the process was last frozen before the time.
func (history *history) frozenBefore(process string, at time.Time) (time.Time, bool) {
	var last time.Time
	for _, interruption := range history.interruptions[process] {
		if interruption.event == frozen && interruption.at.Before(at) {
			last = interruption.at
		}
	}
	return last, !last.IsZero()
}

// longestWait returns the longest time for which a lookup of a key waited in
// the interval: from the start of the first attempt without an answer, or from
// the beginning of the interval, until the next answer for that key.
func (history *history) longestWait(from, to time.Time) (string, time.Duration) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	open := map[string]time.Time{}
	worst, longest := "", time.Duration(0)
	for _, attempt := range history.attempts { // in the order of their ends
		if !attempt.Lookup || attempt.End.Before(from) || attempt.Start.After(to) {
			continue
		}
		name := attempt.Service + "/" + attempt.Key
		began, waiting := open[name]
		if !waiting {
			began = attempt.Start
			if began.Before(from) {
				began = from
			}
		}
		if wait := attempt.End.Sub(began); wait > longest {
			worst, longest = name, wait
		}
		if attempt.done() {
			delete(open, name)
		} else {
			open[name] = began
		}
	}
	for name, began := range open {
		if wait := to.Sub(began); wait > longest {
			worst, longest = name, wait
		}
	}
	return worst, longest
}
