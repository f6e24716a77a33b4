package deduper

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// InProgressError means that a request with the ID is still running.
type InProgressError struct{ ID string }

func (err *InProgressError) Error() string {
	return fmt.Sprintf("a request with ID %q is still running", err.ID)
}

// DoneError means that a request with the ID has already run.
type DoneError struct {
	ID         string
	HTTPStatus int
}

func (err *DoneError) Error() string {
	return fmt.Sprintf("a request with ID %q has already run; the upstream answered with status %d", err.ID, err.HTTPStatus)
}

// OutcomeUnknownError means that a request with the ID may have run.
type OutcomeUnknownError struct{ ID string }

func (err *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("a request with ID %q may have run; its outcome is unknown", err.ID)
}

// Table is the memory of request IDs of one group. It is safe for concurrent
// use.
type Table struct {
	clock  clocker.Clock
	window time.Duration

	mutex   sync.Mutex
	entries map[string]Entry
	begun   uint64 // number of calls to Begin that were admitted
	// changes lists the IDs whose entries expire in a slot of time, so that
	// forgetting costs constant time for each change in whatever order entries
	// are merged.
	changes map[int64][]string
	start   time.Time
	swept   int64 // slots before this one have been forgotten
}

// slotsPerWindow is the number of slots of time into which expiries are sorted.
const slotsPerWindow = 64

// triesPerTerm leaves room for one Begin each microsecond for more than an hour
// of one term.
const triesPerTerm = 1 << 32

// New returns a table that remembers an ID for the window after its last
// change. The window must be longer than the longest time after which a caller
// repeats a request, plus the difference between the clocks of the replicas.
func New(clock clocker.Clock, window time.Duration) *Table {
	return &Table{
		clock: clock, window: window, start: clock.Now(),
		entries: map[string]Entry{}, changes: map[int64][]string{},
	}
}

// Begin records the intent to run the request in the term. The error is of type
// *InProgressError, *DoneError or *OutcomeUnknownError when the request may not
// run. An intent of another term is of a former holder, which may have sent the
// request: its outcome is unknown.
//
// The new entry's Try is above that of every entry of a lower term and of every
// earlier one of this table, even of one that the table has never seen or has
// forgotten. Otherwise the memory of a withdrawn run could hide a later run of
// the same ID when two replicas are merged, and the request would run twice.
func (table *Table) Begin(id string, term uint64) (Entry, error) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	now := table.clock.Now()
	table.forget(now)
	entry, known := table.find(id, now)
	switch {
	case known && entry.Status == Done:
		return entry, &DoneError{ID: id, HTTPStatus: entry.HTTPStatus}
	case known && entry.Status == Intent && entry.Term == term:
		return entry, &InProgressError{ID: id}
	case known && entry.Status != Withdrawn:
		return entry, &OutcomeUnknownError{ID: id}
	}
	table.begun++
	entry = Entry{ID: id, Status: Intent, Term: term, Sequence: max(entry.Sequence+1, term*triesPerTerm+table.begun), UpdatedAt: now}
	table.store(entry, now)
	return entry, nil
}

// Finish records the outcome of a request that Begin admitted. It returns false
// when the ID has no intent; of a request whose outcome is unknown, only Done
// can still be recorded.
func (table *Table) Finish(id string, status Status, httpStatus int) (Entry, bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	now := table.clock.Now()
	table.forget(now)
	entry, known := table.find(id, now)
	late := known && entry.Status == Unknown && status == Done
	first := known && entry.Status == Intent && status > Intent && status <= Done
	if !late && !first {
		return entry, false
	}
	entry.Status, entry.HTTPStatus, entry.UpdatedAt = status, httpStatus, now
	table.store(entry, now)
	return entry, true
}

// Merge adds the entries of another replica. Of two entries with one ID, the
// higher Try wins, then the higher Status.
func (table *Table) Merge(entries []Entry) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	now := table.clock.Now()
	table.forget(now)
	for _, entry := range entries {
		if entry.Status < Intent || entry.Status > Done || !table.expiry(entry, now).After(now) {
			continue
		}
		if known, ok := table.find(entry.ID, now); !ok || compare(entry, known) > 0 {
			table.store(entry, now)
		}
	}
}

// Entries returns all entries, ordered by ID.
func (table *Table) Entries() []Entry {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	now := table.clock.Now()
	table.forget(now)
	entries := make([]Entry, 0, len(table.entries))
	for _, entry := range table.entries {
		if table.expiry(entry, now).After(now) {
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return entries
}

// compare is a total order of the entries of one ID. The fields after Status
// only make the merge independent of the order of its inputs.
func compare(a, b Entry) int {
	return cmp.Or(cmp.Compare(a.Sequence, b.Sequence), cmp.Compare(a.Status, b.Status), cmp.Compare(a.Term, b.Term),
		a.UpdatedAt.Compare(b.UpdatedAt), cmp.Compare(a.HTTPStatus, b.HTTPStatus))
}

// find returns the entry of the ID unless its window has passed.
func (table *Table) find(id string, now time.Time) (Entry, bool) {
	entry, ok := table.entries[id]
	if !ok || !table.expiry(entry, now).After(now) {
		return Entry{}, false
	}
	return entry, true
}

// expiry treats an entry from a clock that is ahead as if it was made now.
func (table *Table) expiry(entry Entry, now time.Time) time.Time {
	if entry.UpdatedAt.After(now) {
		return now.Add(table.window)
	}
	return entry.UpdatedAt.Add(table.window)
}

func (table *Table) slot(at time.Time) int64 {
	return int64(at.Sub(table.start) / max(table.window/slotsPerWindow, 1))
}

func (table *Table) store(entry Entry, now time.Time) {
	table.entries[entry.ID] = entry
	slot := table.slot(table.expiry(entry, now))
	table.changes[slot] = append(table.changes[slot], entry.ID)
}

// forget drops the entries whose window has passed. An ID that has changed since
// it was listed is listed again in a later slot.
func (table *Table) forget(now time.Time) {
	current := table.slot(now)
	if current <= table.swept {
		return
	}
	table.swept = current
	for slot, ids := range table.changes {
		if slot >= current {
			continue
		}
		delete(table.changes, slot)
		for _, id := range ids {
			entry, ok := table.entries[id]
			switch {
			case !ok:
			case !table.expiry(entry, now).After(now):
				delete(table.entries, id)
			case entry.UpdatedAt.After(now):
				// The clock that made the entry is far ahead.
				later := table.slot(table.expiry(entry, now))
				table.changes[later] = append(table.changes[later], id)
			}
		}
	}
}
