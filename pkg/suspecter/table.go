package suspecter

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// Table counts losses by fingerprint. It is safe for concurrent use.
type Table struct {
	clock  clocker.Clock
	window time.Duration

	mutex   sync.Mutex
	entries map[uint64]Entry
}

// New returns a table that remembers a fingerprint for the window after its
// last change.
func New(clock clocker.Clock, window time.Duration) *Table {
	return &Table{clock: clock, window: window, entries: map[uint64]Entry{}}
}

// Losses returns the number of upstreams that were lost while they ran the
// fingerprint, since it was last cleared.
func (table *Table) Losses(fingerprint uint64) int {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	entry, ok := table.entries[fingerprint]
	if !ok || table.expired(entry, table.clock.Now()) {
		return 0
	}
	return entry.Losses
}

// Lose counts one loss for each of the fingerprints, which were in flight on
// the lost upstream, and returns the changed entries. A fingerprint that is
// given several times is counted once.
func (table *Table) Lose(fingerprints ...uint64) []Entry {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	now := table.clock.Now()
	table.forget(now)
	changed := make([]Entry, 0, len(fingerprints))
	sorted := slices.Clone(fingerprints)
	slices.Sort(sorted)
	for _, fingerprint := range slices.Compact(sorted) {
		entry := table.entries[fingerprint]
		entry.Fingerprint = fingerprint
		entry.Losses++
		// The time rises with each change, even when the clock of a former
		// holder was ahead of this one.
		entry.At = latest(now, entry.At.Add(1), entry.Cleared.Add(1))
		table.entries[fingerprint] = entry
		changed = append(changed, entry)
	}
	return changed
}

// Clear records that a run of the fingerprint ended. It returns false when the
// fingerprint has no losses.
func (table *Table) Clear(fingerprint uint64) (Entry, bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	now := table.clock.Now()
	table.forget(now)
	entry, ok := table.entries[fingerprint]
	if !ok || entry.Losses == 0 {
		return entry, false
	}
	entry.Losses, entry.Cleared = 0, latest(now, entry.At)
	entry.At = time.Time{}
	table.entries[fingerprint] = entry
	return entry, true
}

// Merge adds the entries of another replica. The latest Cleared wins over
// losses that are not later; of the remaining losses the latest win.
func (table *Table) Merge(entries []Entry) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	now := table.clock.Now()
	table.forget(now)
	for _, entry := range entries {
		entry = join(entry, table.entries[entry.Fingerprint])
		if !table.expired(entry, now) {
			table.entries[entry.Fingerprint] = entry
		}
	}
}

// Entries returns all entries, ordered by fingerprint.
func (table *Table) Entries() []Entry {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	table.forget(table.clock.Now())
	entries := make([]Entry, 0, len(table.entries))
	for _, entry := range table.entries {
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return entries
}

// join merges two entries of one fingerprint. Losses are compared by time
// first: taking the largest count and the latest time separately would make the
// result depend on the order of the merges.
func join(a, b Entry) Entry {
	joined := a
	if cmp.Or(b.At.Compare(a.At), cmp.Compare(b.Losses, a.Losses)) > 0 {
		joined.At, joined.Losses = b.At, b.Losses
	}
	joined.Cleared = latest(a.Cleared, b.Cleared)
	if !joined.At.After(joined.Cleared) {
		joined.At, joined.Losses = time.Time{}, 0
	}
	return joined
}

func (table *Table) expired(entry Entry, now time.Time) bool {
	return !latest(entry.At, entry.Cleared).Add(table.window).After(now)
}

func (table *Table) forget(now time.Time) {
	for fingerprint, entry := range table.entries {
		if table.expired(entry, now) {
			delete(table.entries, fingerprint)
		}
	}
}

func latest(times ...time.Time) time.Time {
	var last time.Time
	for _, t := range times {
		if t.After(last) {
			last = t
		}
	}
	return last
}
