package leaser

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// Lease is the holder's side of the lease of one term. It collects the promises
// of voters and is valid while a majority of every voter list has promised. It
// does no I/O and is safe for concurrent use.
type Lease struct {
	clock  clocker.Clock
	timing Timing
	term   uint64
	// expiry is recomputed at each change, so that Valid costs one atomic load and
	// one reading of the clock.
	expiry        atomic.Pointer[time.Time]
	mutex         sync.Mutex
	voterLists    [][]string
	promiseExpiry map[string]time.Time // by voter
	ended         bool
}

// NewLease returns a lease of the term over the voter lists, without promises.
// Empty lists are ignored.
func NewLease(clock clocker.Clock, timing Timing, term uint64, voterLists ...[]string) *Lease {
	lease := &Lease{clock: clock, timing: timing, term: term, promiseExpiry: map[string]time.Time{}}
	lease.SetVoters(voterLists...)
	return lease
}

// Term returns the term of the lease.
func (lease *Lease) Term() uint64 { return lease.term }

// SetVoters replaces the voter lists. Promises that were added before also count
// for the new lists.
func (lease *Lease) SetVoters(voterLists ...[]string) {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	lease.voterLists = slices.DeleteFunc(slices.Clone(voterLists), func(list []string) bool { return len(list) == 0 })
	lease.updateExpiry()
}

// AddPromise counts a promise of the voter from sent, the time at which it was
// requested, and ends it earlier by the safety margin. A promise with an earlier
// end than the voter's present one changes nothing.
func (lease *Lease) AddPromise(voter string, sent time.Time) {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	expiry := sent.Add(lease.timing.LeaseDuration - lease.timing.SafetyMargin)
	if expiry.After(lease.promiseExpiry[voter]) {
		lease.promiseExpiry[voter] = expiry
		lease.updateExpiry()
	}
}

// Valid reports whether the lease is held now, and when it expires if no further
// promise is added. It reads the clock on each call, so that the result is also
// correct after a pause of the process.
func (lease *Lease) Valid() (expiry time.Time, ok bool) {
	expiry = *lease.expiry.Load()
	return expiry, lease.clock.Now().Before(expiry)
}

// End ends the lease for good: promises that are added later have no effect.
func (lease *Lease) End() {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	lease.ended = true
	lease.updateExpiry()
}

// HasMajority reports whether the promises that are unexpired at now, together
// with those of the additional voters, are a majority of every list.
func (lease *Lease) HasMajority(now time.Time, additional ...string) bool {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	return !lease.ended && MajorityOfEach(lease.voterLists, func(voter string) bool {
		return slices.Contains(additional, voter) || lease.promiseExpiry[voter].After(now)
	})
}

// updateExpiry must be called with the mutex held.
func (lease *Lease) updateExpiry() {
	var expiry time.Time
	if !lease.ended {
		expiry = lease.majorityExpiry()
	}
	lease.expiry.Store(&expiry)
}

// majorityExpiry returns when the first of the lists loses its majority.
func (lease *Lease) majorityExpiry() time.Time {
	var earliest time.Time
	for index, list := range lease.voterLists {
		expiries := make([]time.Time, len(list))
		for position, voter := range list {
			expiries[position] = lease.promiseExpiry[voter]
		}
		slices.SortFunc(expiries, func(a, b time.Time) int { return b.Compare(a) })
		if expiry := expiries[Majority(len(list))-1]; index == 0 || expiry.Before(earliest) {
			earliest = expiry
		}
	}
	return earliest
}
