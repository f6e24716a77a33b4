package replicator

import (
	"maps"
	"slices"
	"time"

	"github.com/cuminstream/cuminstream/pkg/deduper"
	"github.com/cuminstream/cuminstream/pkg/suspecter"
)

const (
	// requestWindow and suspectWindow are how long entries are kept.
	requestWindow = 10 * time.Minute
	suspectWindow = time.Hour
	pruneInterval = time.Second
	// pageRequests is the largest number of requests in a page. It keeps a page below
	// the message limit of 1 MiB if request IDs have up to about 400 bytes.
	pageRequests = 2000
)

// store is one candidate's copy of the state of a group. It is not safe for
// concurrent use.
type store struct {
	assignment   Assignment
	requests     map[string]deduper.Entry
	digest       digest
	order        []string // IDs in the order of arrival
	prunedCount  uint64   // number of IDs that were pruned from the front of order
	suspects     map[uint64]suspecter.Entry
	inFlight     []InFlight
	inFlightTerm uint64
	inFlightAt   time.Time // when the remaining times of inFlight were set
	stateLostAt  time.Time
	lastPrune    time.Time
}

func newStore() *store {
	return &store{requests: map[string]deduper.Entry{}, digest: newDigest(), suspects: map[uint64]suspecter.Entry{}}
}

// apply merges a change into the state. Older entries do not replace newer ones.
func (store *store) apply(now time.Time, entries Entries) {
	if entries.Assignment != nil && entries.Assignment.Newer(store.assignment) {
		store.assignment = *entries.Assignment
	}
	for _, entry := range entries.Requests {
		store.addRequest(entry)
	}
	for _, entry := range entries.Suspects {
		known, ok := store.suspects[entry.Fingerprint]
		if ok {
			entry = mergeSuspect(known, entry)
		}
		store.suspects[entry.Fingerprint] = entry
	}
	if len(entries.Ended) > 0 {
		store.inFlight = slices.DeleteFunc(slices.Clone(store.inFlight), func(inFlight InFlight) bool {
			return slices.Contains(entries.Ended, inFlight.ID)
		})
	}
	store.prune(now)
}

func (store *store) addRequest(entry deduper.Entry) {
	known, ok := store.requests[entry.ID]
	if !ok {
		store.order = append(store.order, entry.ID)
	} else if !supersedes(entry, known) {
		return
	} else {
		store.digest.toggle(known)
	}
	store.digest.toggle(entry)
	store.requests[entry.ID] = entry
}

// supersedes reports whether entry is newer than known. The higher sequence wins;
// with equal sequences, the higher status wins.
func supersedes(entry, known deduper.Entry) bool {
	if entry.Sequence != known.Sequence {
		return entry.Sequence > known.Sequence
	}
	return entry.Status > known.Status
}

// mergeSuspect merges two entries of the same fingerprint. It keeps the later
// ClearedAt, and the higher number of losses among the entries whose last loss came
// after that time.
func mergeSuspect(a, b suspecter.Entry) suspecter.Entry {
	cleared := a.ClearedAt
	if b.ClearedAt.After(cleared) {
		cleared = b.ClearedAt
	}
	if !b.LastLossAt.After(cleared) {
		b.Losses = 0
	}
	if !a.LastLossAt.After(cleared) {
		a.Losses = 0
	}
	merged := a
	if b.Losses > a.Losses || b.Losses == a.Losses && b.LastLossAt.After(a.LastLossAt) {
		merged = b
	}
	merged.ClearedAt = cleared
	return merged
}

// applyPage merges a page of another candidate's state into the store.
func (store *store) applyPage(now time.Time, page page) {
	state := page.State
	store.apply(now, Entries{Assignment: &state.Assignment, Requests: state.Requests, Suspects: state.Suspects})
	if state.StateLostAt.After(store.stateLostAt) {
		store.stateLostAt = state.StateLostAt
	}
	switch {
	case page.InFlightTerm > store.inFlightTerm:
		store.setInFlight(now, page.InFlightTerm, state.InFlight)
	case page.InFlightTerm == store.inFlightTerm && page.InFlightTerm > 0:
		// Both lists began as the same one. A request that is missing in either has
		// ended.
		store.inFlight = slices.DeleteFunc(slices.Clone(store.inFlight), func(own InFlight) bool {
			return !slices.ContainsFunc(state.InFlight, func(other InFlight) bool { return own.ID == other.ID })
		})
	}
}

// setInFlight sets the requests that the holder of the term left in flight, unless
// those of a later or the same term are known.
func (store *store) setInFlight(now time.Time, term uint64, inFlight []InFlight) {
	if term > store.inFlightTerm {
		store.inFlight, store.inFlightTerm, store.inFlightAt = inFlight, term, now
	}
}

// remainingInFlight returns the requests in flight whose deadline has not passed,
// with the time that remains until then.
func (store *store) remainingInFlight(now time.Time) []InFlight {
	var remaining []InFlight
	for _, inFlight := range store.inFlight {
		inFlight.Remaining -= now.Sub(store.inFlightAt)
		if inFlight.Remaining > 0 {
			remaining = append(remaining, inFlight)
		}
	}
	return remaining
}

// page returns the page of the state at the cursor, which is 0 for the first one.
// It contains only requests in the given buckets.
func (store *store) page(now time.Time, cursor uint64, buckets bucketSet) page {
	if cursor == 0 {
		return page{
			State: State{
				Assignment: store.assignment, Suspects: slices.Collect(maps.Values(store.suspects)),
				InFlight: store.remainingInFlight(now), StateLostAt: store.stateLostAt,
			},
			InFlightTerm: store.inFlightTerm, Next: 1 + store.prunedCount, More: len(store.order) > 0 && !buckets.empty(),
		}
	}
	// A zero InFlightTerm leaves the receiver's list of requests in flight unchanged.
	var result page
	index := max(cursor-1, store.prunedCount) - store.prunedCount
	for ; index < uint64(len(store.order)) && len(result.State.Requests) < pageRequests; index++ {
		if id := store.order[index]; buckets.has(id) {
			result.State.Requests = append(result.State.Requests, store.requests[id])
		}
	}
	result.Next, result.More = 1+store.prunedCount+index, index < uint64(len(store.order))
	return result
}

// state returns the full state after pruning.
func (store *store) state(now time.Time) State {
	store.prune(now)
	state := store.page(now, 0, nil).State
	state.Requests = make([]deduper.Entry, 0, len(store.order))
	for _, id := range store.order {
		state.Requests = append(state.Requests, store.requests[id])
	}
	return state
}

// merge merges the state that was read from a candidate into the store. It returns
// the IDs of the requests that were added or changed.
func (store *store) merge(now time.Time, other *candidateState) []string {
	var changed []string
	for id, entry := range other.store.requests {
		if known, ok := store.requests[id]; !ok || supersedes(entry, known) {
			changed = append(changed, id)
		}
	}
	store.apply(now, Entries{Requests: slices.Collect(maps.Values(other.store.requests))})
	store.applyPage(now, other.store.page(now, 0, nil))
	return changed
}

// missingEntries returns the changes that bring a candidate to the state of the
// store. The argument changed holds the IDs of requests that were changed in the
// store by merging; they may be in buckets that did not differ when the candidate
// was read.
func (store *store) missingEntries(other *candidateState, changed map[string]bool) []Entries {
	var first Entries
	if store.assignment.Newer(other.store.assignment) {
		assignment := store.assignment
		first.Assignment = &assignment
	}
	for fingerprint, entry := range store.suspects {
		known, ok := other.store.suspects[fingerprint]
		if !ok || known.Losses != entry.Losses || !known.ClearedAt.Equal(entry.ClearedAt) {
			first.Suspects = append(first.Suspects, entry)
		}
	}
	changes := []Entries{first}
	var requests []deduper.Entry
	if other.buckets.empty() && len(changed) == 0 {
		return changes
	}
	for _, id := range store.order {
		if !other.buckets.has(id) && !changed[id] {
			continue
		}
		entry := store.requests[id]
		if known, ok := other.store.requests[id]; !ok || supersedes(entry, known) {
			requests = append(requests, entry)
		}
	}
	for chunk := range slices.Chunk(requests, pageRequests) {
		changes = append(changes, Entries{Requests: chunk})
	}
	return changes
}

// prune removes the entries that are older than their window. It does so at most
// once per pruneInterval.
func (store *store) prune(now time.Time) {
	if now.Sub(store.lastPrune) < pruneInterval {
		return
	}
	store.lastPrune = now
	count := 0
	for _, id := range store.order {
		if now.Sub(store.requests[id].UpdatedAt) <= requestWindow {
			break
		}
		store.digest.toggle(store.requests[id])
		delete(store.requests, id)
		count++
	}
	store.order = store.order[count:]
	store.prunedCount += uint64(count)
	maps.DeleteFunc(store.suspects, func(_ uint64, entry suspecter.Entry) bool {
		return now.Sub(entry.LastLossAt) > suspectWindow
	})
}
