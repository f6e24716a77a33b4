package leaser

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// Lease is the lease of one term, made of promises that voters have given. It
// is held while a majority of every voter list has promised. It does no I/O and
// is safe for use by several goroutines.
type Lease struct {
	clock  clocker.Clock
	timing Timing
	term   uint64
	// until is kept ready, so that Valid costs one atomic read and one reading
	// of the clock.
	until    atomic.Pointer[time.Time]
	mutex    sync.Mutex
	lists    [][]string
	promises map[string]time.Time
	ended    bool
}

// NewLease returns a lease of the term over the voter lists, without promises.
// Empty lists are ignored.
func NewLease(clock clocker.Clock, timing Timing, term uint64, lists ...[]string) *Lease {
	holder := &Lease{clock: clock, timing: timing, term: term, promises: map[string]time.Time{}}
	holder.SetVoters(lists...)
	return holder
}

// Term returns the term of the lease.
func (holder *Lease) Term() uint64 { return holder.term }

// SetVoters replaces the voter lists. Promises that were added before count for
// the new lists too.
func (holder *Lease) SetVoters(lists ...[]string) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	holder.lists = slices.DeleteFunc(slices.Clone(lists), func(list []string) bool { return len(list) == 0 })
	holder.update()
}

// AddPromise counts a promise of the voter from the time when it was asked for, less
// the margin. A later promise never shortens an earlier one.
func (holder *Lease) AddPromise(voter string, sent time.Time) {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	until := sent.Add(holder.timing.LeaseDuration - holder.timing.SafetyMargin)
	if until.After(holder.promises[voter]) {
		holder.promises[voter] = until
		holder.update()
	}
}

// Valid reports whether the lease is held at the present time, and until when
// if no further promise is added. It reads the clock on each call, so that it
// is right after a pause of the process.
func (holder *Lease) Valid() (until time.Time, ok bool) {
	until = *holder.until.Load()
	return until, holder.clock.Now().Before(until)
}

// End gives the lease up for good.
func (holder *Lease) End() {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	holder.ended = true
	holder.update()
}

// HasMajority reports whether the promises that stand at now, together with those of
// the additional voters, are a majority of every list.
func (holder *Lease) HasMajority(now time.Time, additional ...string) bool {
	holder.mutex.Lock()
	defer holder.mutex.Unlock()
	return !holder.ended && MajorityOfEach(holder.lists, func(voter string) bool {
		return slices.Contains(additional, voter) || holder.promises[voter].After(now)
	})
}

// update must be called with the mutex held.
func (holder *Lease) update() {
	var until time.Time
	if !holder.ended {
		until = holder.earliest()
	}
	holder.until.Store(&until)
}

// earliest returns the time at which the first of the lists loses its majority.
func (holder *Lease) earliest() time.Time {
	var earliest time.Time
	for index, list := range holder.lists {
		times := make([]time.Time, len(list))
		for place, voter := range list {
			times[place] = holder.promises[voter]
		}
		slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
		if until := times[Majority(len(list))-1]; index == 0 || until.Before(earliest) {
			earliest = until
		}
	}
	return earliest
}
