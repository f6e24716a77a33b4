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
	// queue holds one record for each change of an entry, oldest first, so that
	// forgetting costs constant time for each change.
	queue []record
}

type record struct {
	id      string
	expires time.Time
}

// New returns a table that remembers an ID for the window after its last
// change. The window must be longer than the longest time after which a caller
// repeats a request, plus the difference between the clocks of the replicas.
func New(clock clocker.Clock, window time.Duration) *Table {
	return &Table{clock: clock, window: window, entries: map[string]Entry{}}
}

// Begin records the intent to run the request in the term. The error is of type
// *InProgressError, *DoneError or *OutcomeUnknownError when the request may not
// run. An intent of another term is of a former holder, which may have sent the
// request: its outcome is unknown.
func (table *Table) Begin(id string, term uint64) (Entry, error) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	now := table.clock.Now()
	table.forget(now)
	entry, known := table.entries[id]
	switch {
	case known && entry.Status == Done:
		return entry, &DoneError{ID: id, HTTPStatus: entry.HTTPStatus}
	case known && entry.Status == Intent && entry.Term == term:
		return entry, &InProgressError{ID: id}
	case known && entry.Status != Withdrawn:
		return entry, &OutcomeUnknownError{ID: id}
	}
	entry = Entry{ID: id, Status: Intent, Term: term, Try: entry.Try + 1, At: now}
	table.store(entry, now)
	return entry, nil
}

// Finish records the outcome of a request that Begin admitted. It returns false
// when the ID is not known as an intent, so that a late outcome cannot replace
// an earlier one.
func (table *Table) Finish(id string, status Status, httpStatus int) (Entry, bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	now := table.clock.Now()
	table.forget(now)
	entry, known := table.entries[id]
	if !known || entry.Status != Intent || status <= Intent {
		return entry, false
	}
	entry.Status, entry.HTTPStatus, entry.At = status, httpStatus, now
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
		if entry.Status < Intent || entry.Status > Done || !entry.At.Add(table.window).After(now) {
			continue
		}
		if known, ok := table.entries[entry.ID]; !ok || compare(entry, known) > 0 {
			table.store(entry, now)
		}
	}
}

// Entries returns all entries, ordered by ID.
func (table *Table) Entries() []Entry {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.forget(table.clock.Now())
	entries := make([]Entry, 0, len(table.entries))
	for _, entry := range table.entries {
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return entries
}

// compare is a total order of the entries of one ID. The fields after Status
// only make the merge independent of the order of its inputs.
func compare(a, b Entry) int {
	return cmp.Or(cmp.Compare(a.Try, b.Try), cmp.Compare(a.Status, b.Status), cmp.Compare(a.Term, b.Term),
		a.At.Compare(b.At), cmp.Compare(a.HTTPStatus, b.HTTPStatus))
}

// expiry treats an entry from a clock that is ahead as if it was made now.
func (table *Table) expiry(entry Entry, now time.Time) time.Time {
	if entry.At.After(now) {
		return now.Add(table.window)
	}
	return entry.At.Add(table.window)
}

func (table *Table) store(entry Entry, now time.Time) {
	table.entries[entry.ID] = entry
	expires := table.expiry(entry, now)
	position, _ := slices.BinarySearchFunc(table.queue, expires, func(r record, t time.Time) int {
		if r.expires.After(t) {
			return 1
		}
		return -1
	})
	table.queue = slices.Insert(table.queue, position, record{id: entry.ID, expires: expires})
}

// forget drops the entries whose window has passed. The record of an entry that
// has changed since is skipped.
func (table *Table) forget(now time.Time) {
	dropped := 0
	for dropped < len(table.queue) && !table.queue[dropped].expires.After(now) {
		id := table.queue[dropped].id
		if entry, ok := table.entries[id]; ok && !entry.At.Add(table.window).After(now) {
			delete(table.entries, id)
		}
		dropped++
	}
	if dropped > 0 {
		table.queue = slices.Delete(table.queue, 0, dropped)
	}
}
