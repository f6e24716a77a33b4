package suspecter

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// MaxEntries bounds the number of entries of a table. Each lost upstream adds at most as
// many fingerprints as it has slots, so that more than a thousand losses within one window
// stay below the bound.
const MaxEntries = 4096

// Table counts lost upstreams by fingerprint. It is safe for concurrent use.
type Table struct {
	clock  clocker.Clock
	window time.Duration

	mutex        sync.Mutex
	entries      map[uint64]Entry
	lastEviction time.Time
}

// New returns a table that remembers losses and clears for the window.
func New(clock clocker.Clock, window time.Duration) *Table {
	return &Table{clock: clock, window: window, entries: map[uint64]Entry{}, lastEviction: clock.Now()}
}

// Losses returns the number of upstreams that were lost while they ran a request with the
// fingerprint, since it was last cleared.
func (table *Table) Losses(fingerprint uint64) int {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	return table.dropExpired(table.entries[fingerprint], table.clock.Now()).Losses
}

// RecordLosses counts the loss of an upstream for the fingerprints of the requests that
// were in flight on it, and returns the changed entries. A fingerprint that is listed
// several times counts once.
func (table *Table) RecordLosses(fingerprints ...uint64) []Entry {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	now := table.clock.Now()
	changed := make([]Entry, 0, len(fingerprints))
	sorted := slices.Clone(fingerprints)
	slices.Sort(sorted)
	for _, fingerprint := range slices.Compact(sorted) {
		entry := table.dropExpired(table.entries[fingerprint], now)
		entry.Fingerprint = fingerprint
		entry.Losses++
		// The time increases with each change, even if the clock of a former holder
		// was ahead of this clock.
		entry.LastLossAt = latest(now, entry.LastLossAt.Add(1), entry.ClearedAt.Add(1))
		table.entries[fingerprint] = entry
		changed = append(changed, entry)
	}
	table.evict(now)
	return changed
}

// Clear records that a run of a request with the fingerprint completed. It returns false
// if the fingerprint has no losses.
func (table *Table) Clear(fingerprint uint64) (Entry, bool) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	now := table.clock.Now()
	entry := table.dropExpired(table.entries[fingerprint], now)
	if entry.Losses == 0 {
		return entry, false
	}
	entry.Losses, entry.LastLossAt, entry.ClearedAt = 0, time.Time{}, latest(now, entry.LastLossAt)
	table.entries[fingerprint] = entry
	return entry, true
}

// Merge adds the entries of another replica. The latest ClearedAt cancels all losses that
// are not later. Of the remaining losses, the latest are kept.
func (table *Table) Merge(entries []Entry) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	now := table.clock.Now()
	for _, entry := range entries {
		entry = mergeEntries(table.dropExpired(entry, now), table.dropExpired(table.entries[entry.Fingerprint], now))
		if !entry.isEmpty() {
			table.entries[entry.Fingerprint] = entry
		}
	}
	table.evict(now)
}

// Entries returns the entries that have not expired, ordered by fingerprint.
func (table *Table) Entries() []Entry {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	now := table.clock.Now()
	entries := make([]Entry, 0, len(table.entries))
	for _, entry := range table.entries {
		if entry = table.dropExpired(entry, now); !entry.isEmpty() {
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return entries
}

// mergeEntries merges two entries of one fingerprint. It compares losses by time first:
// taking the largest count and the latest time separately would make the result depend on
// the order of the merges.
func mergeEntries(a, b Entry) Entry {
	merged := a
	if cmp.Or(b.LastLossAt.Compare(a.LastLossAt), cmp.Compare(b.Losses, a.Losses)) > 0 {
		merged.LastLossAt, merged.Losses = b.LastLossAt, b.Losses
	}
	merged.ClearedAt = latest(a.ClearedAt, b.ClearedAt)
	if !merged.LastLossAt.After(merged.ClearedAt) {
		merged.LastLossAt, merged.Losses = time.Time{}, 0
	}
	return merged
}

// dropExpired returns the entry without losses or a clear that have expired. Each expires
// independently of the other, so that the result of merges does not depend on whether they
// took place before or after the other expired.
func (table *Table) dropExpired(entry Entry, now time.Time) Entry {
	if entry.Losses <= 0 || !entry.LastLossAt.Add(table.window).After(now) {
		entry.Losses, entry.LastLossAt = 0, time.Time{}
	}
	if !entry.ClearedAt.Add(table.window).After(now) {
		entry.ClearedAt = time.Time{}
	}
	return entry
}

// isEmpty reports whether the entry has neither losses nor a clear.
func (entry Entry) isEmpty() bool { return entry.Losses == 0 && entry.ClearedAt.IsZero() }

// evict removes expired entries once per window, and whenever there are more than
// MaxEntries. If there are still too many, it removes the oldest ones until three quarters
// of MaxEntries are left.
func (table *Table) evict(now time.Time) {
	if len(table.entries) <= MaxEntries && now.Before(table.lastEviction.Add(table.window)) {
		return
	}
	table.lastEviction = now
	maps.DeleteFunc(table.entries, func(_ uint64, entry Entry) bool { return table.dropExpired(entry, now).isEmpty() })
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

// latest returns the latest of the times.
func latest(times ...time.Time) time.Time {
	var last time.Time
	for _, t := range times {
		if t.After(last) {
			last = t
		}
	}
	return last
}
