package leaser

import (
	"time"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// Voter keeps the promise that one candidate has given for one group. It does
// no I/O and is not safe for use by several goroutines. Its memory is lost with
// the process, which is why a new Voter gives no promise until every promise of
// its predecessor has expired.
type Voter struct {
	clock    clocker.Clock
	timing   Timing
	ready    time.Time
	term     uint64            // highest term promised or observed
	owner    string            // holder of that term, empty when it was only observed
	released map[string]uint64 // highest term that each holder has given back
	promised string            // holder of the promise that lasts until the time below
	until    time.Time         // by this voter's clock
}

// Response is a voter's reply to a request for a promise.
type Response struct {
	Granted bool
	// HigherTerm is set when the term is refused because the voter knows this
	// term, which is higher or belongs to another holder.
	HigherTerm uint64
	// RetryAfter is set when the refusal ends by itself after this time.
	RetryAfter time.Duration
}

// NewVoter returns a voter that gives promises once Lease+Margin have passed.
func NewVoter(clock clocker.Clock, timing Timing) *Voter {
	return &Voter{
		clock: clock, timing: timing, released: map[string]uint64{},
		ready: clock.Now().Add(timing.LeaseDuration + timing.SafetyMargin),
	}
}

// Promise gives or renews the promise of the term to the holder, for Lease from
// now. It refuses a lower term, another holder of the same term, a term that
// was given back, and a higher term while an unexpired promise to another
// holder stands.
func (voter *Voter) Promise(term uint64, holder string) Response {
	now := voter.clock.Now()
	if wait := voter.ready.Sub(now); wait > 0 {
		return Response{RetryAfter: wait}
	}
	if term < voter.term || term == voter.term && voter.owner != "" && voter.owner != holder {
		return Response{HigherTerm: voter.term}
	}
	if released := voter.released[holder]; term <= released {
		return Response{HigherTerm: released}
	}
	if wait := voter.until.Sub(now); wait > 0 && voter.promised != holder {
		return Response{RetryAfter: wait}
	}
	voter.term, voter.owner, voter.promised, voter.until = term, holder, holder, now.Add(voter.timing.LeaseDuration)
	return Response{Granted: true}
}

// Release ends the promise of the term, if it stands. The term is not promised
// to this holder again, so that a request that arrives late does not block the
// successor. It does not raise the voter's term: a candidate that has asked in
// vain must not end the lease of the present holder. It reports whether the
// voter's term was the released one.
func (voter *Voter) Release(term uint64, holder string) bool {
	voter.released[holder] = max(voter.released[holder], term)
	if term != voter.term || voter.owner != holder {
		return false
	}
	if voter.promised == holder {
		voter.until = time.Time{}
	}
	return true
}

// ObserveTerm raises the lowest term that the voter accepts, without a promise. A
// promise that stands lasts for its time. It reports false when the voter knows
// a higher term.
func (voter *Voter) ObserveTerm(term uint64) bool {
	if term > voter.term {
		voter.term, voter.owner = term, ""
	}
	return term == voter.term
}

// Term returns the highest term that the voter has promised or observed.
func (voter *Voter) Term() uint64 { return voter.term }

// CurrentPromise returns the holder of the promise that stands, and its end.
func (voter *Voter) CurrentPromise() (holder string, until time.Time, ok bool) {
	return voter.promised, voter.until, voter.until.After(voter.clock.Now())
}

// ReadyAt returns the time from which the voter gives promises.
func (voter *Voter) ReadyAt() time.Time { return voter.ready }
