package leaser

import (
	"time"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// Voter keeps the promise of one candidate for one group. It does no I/O and is
// not safe for concurrent use. It stores nothing on disk, so that a restart
// loses its promises; a new Voter therefore gives none until every promise of
// its predecessor has expired.
type Voter struct {
	clock          clocker.Clock
	timing         Timing
	readyAt        time.Time
	term           uint64            // highest term promised or observed
	termHolder     string            // holder of that term; empty when it was only observed
	releasedTerms  map[string]uint64 // highest term that each holder has released
	promisedHolder string            // holder of the last promise, which may have expired
	promiseExpiry  time.Time         // by this voter's clock
}

// Response is a voter's response to a request for a promise.
type Response struct {
	Granted bool
	// HigherTerm is set when the request is refused because of this term: the
	// voter knows a higher one, the term has another holder, or the holder has
	// released it.
	HigherTerm uint64
	// RetryAfter is set when the reason for the refusal ends after this time.
	RetryAfter time.Duration
}

// NewVoter returns a voter that gives promises once the lease duration and the
// safety margin have passed.
func NewVoter(clock clocker.Clock, timing Timing) *Voter {
	return &Voter{
		clock: clock, timing: timing, releasedTerms: map[string]uint64{},
		readyAt: clock.Now().Add(timing.LeaseDuration + timing.SafetyMargin),
	}
}

// Promise gives or renews the promise of the term to the holder, for the lease
// duration from now. It refuses a lower term, another holder of the same term, a
// term that the holder has released, and a higher term while a promise to
// another holder is unexpired.
func (voter *Voter) Promise(term uint64, holder string) Response {
	now := voter.clock.Now()
	if wait := voter.readyAt.Sub(now); wait > 0 {
		return Response{RetryAfter: wait}
	}
	if term < voter.term || term == voter.term && voter.termHolder != "" && voter.termHolder != holder {
		return Response{HigherTerm: voter.term}
	}
	if released := voter.releasedTerms[holder]; term <= released {
		return Response{HigherTerm: released}
	}
	if wait := voter.promiseExpiry.Sub(now); wait > 0 && voter.promisedHolder != holder {
		return Response{RetryAfter: wait}
	}
	voter.term, voter.termHolder, voter.promisedHolder, voter.promiseExpiry = term, holder, holder, now.Add(voter.timing.LeaseDuration)
	return Response{Granted: true}
}

// Release ends the holder's promise of the term, if it is unexpired. The term is
// not promised to this holder again, so that a delayed request does not block
// the successor. Release does not raise the voter's term: a candidate whose
// election failed must not end the lease of the present holder. It reports
// whether the voter's term was the released one.
func (voter *Voter) Release(term uint64, holder string) bool {
	voter.releasedTerms[holder] = max(voter.releasedTerms[holder], term)
	if term != voter.term || voter.termHolder != holder {
		return false
	}
	if voter.promisedHolder == holder {
		voter.promiseExpiry = time.Time{}
	}
	return true
}

// ObserveTerm raises the lowest term that the voter accepts, without a promise.
// An earlier promise stays in force until it expires. ObserveTerm reports false
// when the voter knows a higher term.
func (voter *Voter) ObserveTerm(term uint64) bool {
	if term > voter.term {
		voter.term, voter.termHolder = term, ""
	}
	return term == voter.term
}

// Term returns the highest term that the voter has promised or observed.
func (voter *Voter) Term() uint64 { return voter.term }

// CurrentPromise returns the holder of the last promise and the promise's
// expiry, and whether it is still unexpired.
func (voter *Voter) CurrentPromise() (holder string, expiry time.Time, ok bool) {
	return voter.promisedHolder, voter.promiseExpiry, voter.promiseExpiry.After(voter.clock.Now())
}

// ReadyAt returns the time from which the voter gives promises.
func (voter *Voter) ReadyAt() time.Time { return voter.readyAt }
