package suspecter

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// MaxEntries bounds the memory of a table. Each lost upstream adds at most as
// many fingerprints as it has slots, so that the bound means more than a
// thousand losses within one window.
const MaxEntries = 4096

// Table counts losses by fingerprint. It is safe for concurrent use.
type Table struct {
	clock  clocker.Clock
	window time.Duration

	mutex   sync.Mutex
	entries map[uint64]Entry
	swept   time.Time
}

// New returns a table that remembers a loss or a clear for the window.
func New(clock clocker.Clock, window time.Duration) *Table {
	return &Table{clock: clock, window: window, entries: map[uint64]Entry{}, swept: clock.Now()}
}

// Losses returns the number of upstreams that were lost while they ran the
// fingerprint, since it was last cleared.
func (table *Table) Losses(fingerprint uint64) int {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return table.recent(table.entries[fingerprint], table.clock.Now()).Losses
}

// RecordLosses counts one loss for each of the fingerprints, which were in flight on
// the lost upstream, and returns the changed entries. A fingerprint that is
// given several times is counted once.
func (table *Table) RecordLosses(fingerprints ...uint64) []Entry {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	now := table.clock.Now()
	changed := make([]Entry, 0, len(fingerprints))
	sorted := slices.Clone(fingerprints)
	slices.Sort(sorted)
	for _, fingerprint := range slices.Compact(sorted) {
		entry := table.recent(table.entries[fingerprint], now)
		entry.Fingerprint = fingerprint
		entry.Losses++
		// The time rises with each change, even when the clock of a former
		// holder was ahead of this one.
		entry.LastLossAt = latest(now, entry.LastLossAt.Add(1), entry.ClearedAt.Add(1))
		table.entries[fingerprint] = entry
		changed = append(changed, entry)
	}
	table.forget(now)
	return changed
}

// Clear records that a run of the fingerprint ended. It returns false when the
// fingerprint has no losses.
func (table *Table) Clear(fingerprint uint64) (Entry, bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	now := table.clock.Now()
	entry := table.recent(table.entries[fingerprint], now)
	if entry.Losses == 0 {
		return entry, false
	}
	entry.Losses, entry.LastLossAt, entry.ClearedAt = 0, time.Time{}, latest(now, entry.LastLossAt)
	table.entries[fingerprint] = entry
	return entry, true
}

// Merge adds the entries of another replica. The latest Cleared wins over
// losses that are not later; of the remaining losses the latest win.
func (table *Table) Merge(entries []Entry) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	now := table.clock.Now()
	for _, entry := range entries {
		entry = join(table.recent(entry, now), table.recent(table.entries[entry.Fingerprint], now))
		if !entry.empty() {
			table.entries[entry.Fingerprint] = entry
		}
	}
	table.forget(now)
}

// Entries returns all entries, ordered by fingerprint.
func (table *Table) Entries() []Entry {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	now := table.clock.Now()
	entries := make([]Entry, 0, len(table.entries))
	for _, entry := range table.entries {
		if entry = table.recent(entry, now); !entry.empty() {
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return entries
}

// join merges two entries of one fingerprint. Losses are compared by time
// first: taking the largest count and the latest time separately would make the
// result depend on the order of the merges.
func join(a, b Entry) Entry {
	joined := a
	if cmp.Or(b.LastLossAt.Compare(a.LastLossAt), cmp.Compare(b.Losses, a.Losses)) > 0 {
		joined.LastLossAt, joined.Losses = b.LastLossAt, b.Losses
	}
	joined.ClearedAt = latest(a.ClearedAt, b.ClearedAt)
	if !joined.LastLossAt.After(joined.ClearedAt) {
		joined.LastLossAt, joined.Losses = time.Time{}, 0
	}
	return joined
}

// recent returns the entry without losses or a clear whose window has passed.
// Each is dropped by itself, so that the result of merges does not depend on
// whether they came before or after the end of the other's window.
func (table *Table) recent(entry Entry, now time.Time) Entry {
	if entry.Losses <= 0 || !entry.LastLossAt.Add(table.window).After(now) {
		entry.Losses, entry.LastLossAt = 0, time.Time{}
	}
	if !entry.ClearedAt.Add(table.window).After(now) {
		entry.ClearedAt = time.Time{}
	}
	return entry
}

func (entry Entry) empty() bool { return entry.Losses == 0 && entry.ClearedAt.IsZero() }

// forget drops empty entries once in a window or when there are too many, and
// then the oldest ones above three quarters of the bound.
func (table *Table) forget(now time.Time) {
	if len(table.entries) <= MaxEntries && now.Before(table.swept.Add(table.window)) {
		return
	}
	table.swept = now
	maps.DeleteFunc(table.entries, func(_ uint64, entry Entry) bool { return table.recent(entry, now).empty() })
	if len(table.entries) <= MaxEntries {
		return
	}
	entries := slices.Collect(maps.Values(table.entries))
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(latest(a.LastLossAt, a.ClearedAt).Compare(latest(b.LastLossAt, b.ClearedAt)), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	for _, entry := range entries[:len(entries)-MaxEntries*3/4] {
		delete(table.entries, entry.Fingerprint)
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
