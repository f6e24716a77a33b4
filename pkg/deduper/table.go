package deduper

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// InProgressError reports that a request with the ID is still running.
type InProgressError struct{ ID string }

func (err *InProgressError) Error() string {
	return fmt.Sprintf("a request with ID %q is still running", err.ID)
}

// DoneError reports that a request with the ID has already run.
type DoneError struct {
	ID         string
	HTTPStatus int
}

func (err *DoneError) Error() string {
	return fmt.Sprintf("a request with ID %q has already run; the upstream answered with status %d", err.ID, err.HTTPStatus)
}

// OutcomeUnknownError reports that a request with the ID may have run.
type OutcomeUnknownError struct{ ID string }

func (err *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("a request with ID %q may have run; its outcome is unknown", err.ID)
}

// Table holds the request IDs of one group. It is safe for concurrent use.
type Table struct {
	clock  clocker.Clock
	window time.Duration

	mutex      sync.Mutex
	entries    map[string]Entry
	beginCount uint64 // number of requests that Begin has admitted
	// buckets lists the IDs by the bucket of time in which their entries expire.
	// Eviction thereby takes constant time per change, whatever the order in which
	// entries are merged.
	buckets     map[int64][]string
	epoch       time.Time // the start of bucket 0
	firstBucket int64     // all buckets before this one have been evicted
}

// bucketsPerWindow is the number of expiry buckets that the window is divided into.
const bucketsPerWindow = 64

// sequencesPerTerm suffices for one Begin per microsecond during more than an hour of
// one term.
const sequencesPerTerm = 1 << 32

// New returns a table that remembers an ID for the window after its last change. The
// window must be longer than the longest time after which a caller retries a request, plus
// the clock skew between the replicas.
func New(clock clocker.Clock, window time.Duration) *Table {
	return &Table{
		clock: clock, window: window, epoch: clock.Now(),
		entries: map[string]Entry{}, buckets: map[int64][]string{},
	}
}

// Begin records the intent to run the request in the term. If the request must not run, it
// returns an *InProgressError, *DoneError or *OutcomeUnknownError. An intent of another
// term was recorded by a former holder, which may have sent the request, so its outcome is
// unknown.
//
// The new entry's Sequence is higher than that of every entry of a lower term and every
// earlier entry of this table, including entries that the table has never received or has
// evicted. Otherwise the entry of a withdrawn run could replace that of a later run of the
// same ID when two replicas are merged, and the request would run twice.
func (table *Table) Begin(id string, term uint64) (Entry, error) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	now := table.clock.Now()
	table.evictExpired(now)
	entry, known := table.lookup(id, now)
	switch {
	case known && entry.Status == Done:
		return entry, &DoneError{ID: id, HTTPStatus: entry.HTTPStatus}
	case known && entry.Status == Intent && entry.Term == term:
		return entry, &InProgressError{ID: id}
	case known && entry.Status != Withdrawn:
		return entry, &OutcomeUnknownError{ID: id}
	}
	table.beginCount++
	entry = Entry{ID: id, Status: Intent, Term: term, Sequence: max(entry.Sequence+1, term*sequencesPerTerm+table.beginCount), UpdatedAt: now}
	table.put(entry, now)
	return entry, nil
}

// Finish records the outcome of a request that Begin admitted. It returns false if the ID
// has no intent. An unknown outcome can only be replaced by Done.
func (table *Table) Finish(id string, status Status, httpStatus int) (Entry, bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	now := table.clock.Now()
	table.evictExpired(now)
	entry, known := table.lookup(id, now)
	lateResponse := known && entry.Status == Unknown && status == Done
	firstOutcome := known && entry.Status == Intent && status > Intent && status <= Done
	if !lateResponse && !firstOutcome {
		return entry, false
	}
	entry.Status, entry.HTTPStatus, entry.UpdatedAt = status, httpStatus, now
	table.put(entry, now)
	return entry, true
}

// Merge adds the entries of another replica. Of two entries with the same ID, the one with
// the higher Sequence wins, then the one with the higher Status.
func (table *Table) Merge(entries []Entry) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	now := table.clock.Now()
	table.evictExpired(now)
	for _, entry := range entries {
		if entry.Status < Intent || entry.Status > Done || !table.expiresAt(entry, now).After(now) {
			continue
		}
		if known, ok := table.lookup(entry.ID, now); !ok || compareEntries(entry, known) > 0 {
			table.put(entry, now)
		}
	}
}

// Entries returns the entries that have not expired, ordered by ID.
func (table *Table) Entries() []Entry {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	now := table.clock.Now()
	table.evictExpired(now)
	entries := make([]Entry, 0, len(table.entries))
	for _, entry := range table.entries {
		if table.expiresAt(entry, now).After(now) {
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return entries
}

// compareEntries defines a total order of the entries of one ID. The fields after Status
// only break ties, so that the result of merges does not depend on their order.
func compareEntries(a, b Entry) int {
	return cmp.Or(cmp.Compare(a.Sequence, b.Sequence), cmp.Compare(a.Status, b.Status), cmp.Compare(a.Term, b.Term),
		a.UpdatedAt.Compare(b.UpdatedAt), cmp.Compare(a.HTTPStatus, b.HTTPStatus))
}

// lookup returns the entry of the ID unless it has expired.
func (table *Table) lookup(id string, now time.Time) (Entry, bool) {
	entry, ok := table.entries[id]
	if !ok || !table.expiresAt(entry, now).After(now) {
		return Entry{}, false
	}
	return entry, true
}

// expiresAt returns when the entry expires. An entry whose time is in the future, because
// it was recorded by a replica with a fast clock, is treated as recorded now.
func (table *Table) expiresAt(entry Entry, now time.Time) time.Time {
	if entry.UpdatedAt.After(now) {
		return now.Add(table.window)
	}
	return entry.UpdatedAt.Add(table.window)
}

// bucketOf returns the number of the bucket that a time belongs to.
func (table *Table) bucketOf(at time.Time) int64 {
	return int64(at.Sub(table.epoch) / max(table.window/bucketsPerWindow, 1))
}

// put stores the entry and lists its ID in the bucket of its expiry.
func (table *Table) put(entry Entry, now time.Time) {
	table.entries[entry.ID] = entry
	bucket := table.bucketOf(table.expiresAt(entry, now))
	table.buckets[bucket] = append(table.buckets[bucket], entry.ID)
}

// evictExpired removes the expired entries of past buckets. An entry that changed after it
// was listed in a past bucket is also listed in a later one.
func (table *Table) evictExpired(now time.Time) {
	current := table.bucketOf(now)
	if current <= table.firstBucket {
		return
	}
	table.firstBucket = current
	for bucket, ids := range table.buckets {
		if bucket >= current {
			continue
		}
		delete(table.buckets, bucket)
		for _, id := range ids {
			entry, ok := table.entries[id]
			switch {
			case !ok:
			case !table.expiresAt(entry, now).After(now):
				delete(table.entries, id)
			case entry.UpdatedAt.After(now):
				// The entry was recorded by a clock that is far ahead.
				later := table.bucketOf(table.expiresAt(entry, now))
				table.buckets[later] = append(table.buckets[later], id)
			}
		}
	}
}
