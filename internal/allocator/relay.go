package allocator

import (
	"time"

	"github.com/cuminstream/cuminstream/internal/storer"
)

// Each call of the store has a price, and its rates grow more slowly than the
// number of VMs. Brokers therefore follow the store, one of them by lists at short
// intervals, and pass changes on in their answers to reports; other VMs ask the
// store only while they do not hear that one.
const (
	// maxRelayAge is the greatest age of what the listing broker knows. With the time
	// until the next look and one list, a change that is not passed on is still in
	// force within the 2 s that operators are promised.
	maxRelayAge = 1250 * time.Millisecond
	// relayGrace is how long after its own list a VM waits for brokers to pass changes
	// on before it watches: two reports and the calls for them.
	relayGrace = 2*reportInterval + 100*time.Millisecond
	// startupRelayGrace is the same when no service has had a broker yet: while the whole
	// system starts, upstreams register one after the other, and each would take a call
	// of each VM.
	startupRelayGrace = initialClaimDelay + maxCandidateDelay + relayGrace
	// maxRelayedBytes bounds the bytes of the changes in one answer. Larger ones are read
	// from the store, which is cheaper than traffic between zones.
	maxRelayedBytes = 16 << 10
	// regainedRetention is how long brokers tell that the store was away.
	regainedRetention = 3 * time.Second
)

// ChangesRelayed reports whether brokers relay all changes in the store to this VM, or
// have had no time to do so since this VM last listed the store itself.
func (allocator *Allocator) ChangesRelayed(listAge time.Duration) bool {
	for _, service := range allocator.allServices() {
		if _, ok := service.ledTerm(); ok {
			return false
		}
	}
	grace := relayGrace
	if !allocator.hasClaims() {
		grace = startupRelayGrace
	}
	if listAge < grace {
		return true
	}
	now := allocator.Clock.Now()
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	for _, peer := range allocator.peers {
		if peer.lostSince.IsZero() && peer.storeLostFor == 0 && peer.listAge > 0 && peer.listAge+now.Sub(peer.answeredAt) < maxRelayAge {
			return true
		}
	}
	return false
}

// BrokerRetriesStore reports whether a reachable broker has lost the store too. It
// keeps retrying and reports when the store is back.
func (allocator *Allocator) BrokerRetriesStore() bool {
	for _, service := range allocator.allServices() {
		if _, ok := service.ledTerm(); ok {
			return false
		}
	}
	now := allocator.Clock.Now()
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	for _, peer := range allocator.peers {
		if peer.lostSince.IsZero() && len(peer.ledTerms) > 0 && peer.storeLostFor > 0 && now.Sub(peer.answeredAt) < silenceTimeout {
			return true
		}
	}
	return false
}

// claimsRelayed is ChangesRelayed for the claims themselves: without one there is no broker
// that could pass the first ones on.
func (allocator *Allocator) claimsRelayed(listAge time.Duration) bool {
	return allocator.hasClaims() && allocator.ChangesRelayed(listAge)
}

// hasClaims reports whether any service has had a broker.
func (allocator *Allocator) hasClaims() bool {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	return len(allocator.claims) > 0
}

// applyRelayedChanges takes over what a broker has told of the store.
func (allocator *Allocator) applyRelayedChanges(answer reportAnswer) {
	for i, follower := range allocator.Followers {
		if answer.StoreRegainedAgo > 0 {
			follower.RecordRecovery(answer.StoreRegainedAgo)
		}
		if i >= len(answer.Changes) {
			continue
		}
		changes := make([]storer.Change, len(answer.Changes[i]))
		for j, change := range answer.Changes[i] {
			changes[j] = storer.Change{Deleted: change.Deleted, Object: storer.Object{
				Kind: follower.Kind, Name: change.Name, Revision: change.Revision, Deleting: change.Deleting, Spec: change.Spec, Status: change.Status,
			}}
		}
		follower.Apply(changes)
	}
	allocator.observeRevisions(answer.NewestRevisions)
}

// changesAfter returns the changes that a VM misses. Where that is not known, or
// would be too much, the VM finds by the newest revisions that it must list.
func (allocator *Allocator) changesAfter(complete []uint64) [][]relayedChange {
	if len(complete) != len(allocator.Followers) {
		return nil // a VM of another version
	}
	var all [][]relayedChange
	size := 0
	for i, follower := range allocator.Followers {
		changes, ok := follower.ChangesSince(complete[i])
		if !ok || len(changes) == 0 {
			continue
		}
		relayed := make([]relayedChange, len(changes))
		bytes := 0
		for j, change := range changes {
			relayed[j] = relayedChange{Name: change.Object.Name, Revision: change.Object.Revision, Deleted: change.Deleted, Deleting: change.Object.Deleting}
			if !change.Deleted {
				relayed[j].Spec, relayed[j].Status = change.Object.Spec, change.Object.Status
			}
			bytes += len(change.Object.Name) + len(relayed[j].Spec) + len(relayed[j].Status)
		}
		if size+bytes > maxRelayedBytes {
			continue
		}
		size += bytes
		if all == nil {
			all = make([][]relayedChange, len(allocator.Followers))
		}
		all[i] = relayed
	}
	return all
}

// newestRevisions returns the revisions of the newestRevisions changes that this VM has received.
func (allocator *Allocator) newestRevisions() []uint64 {
	revisions := make([]uint64, len(allocator.Followers))
	for i, follower := range allocator.Followers {
		revisions[i] = follower.Revision()
	}
	return revisions
}

// completeRevisions returns the revisions up to which this VM misses no change.
func (allocator *Allocator) completeRevisions() []uint64 {
	revisions := make([]uint64, len(allocator.Followers))
	for i, follower := range allocator.Followers {
		revisions[i] = follower.CompleteRevision()
	}
	return revisions
}

// observeRevisions tells the followers what another VM has received.
func (allocator *Allocator) observeRevisions(newest []uint64) {
	if len(newest) != len(allocator.Followers) {
		return // a VM of another version
	}
	for i, follower := range allocator.Followers {
		follower.ObserveRevision(newest[i])
	}
}

// listAge returns the age of what this VM knows of the store, if it lists all
// objects at short intervals; otherwise 0.
func (allocator *Allocator) listAge() time.Duration {
	if !allocator.ShouldPoll() {
		return 0
	}
	oldest := time.Duration(1) // an age of 0 would mean that this VM does not list
	for _, follower := range allocator.Followers {
		ago, ok := follower.ListAge()
		switch {
		case follower.ShouldPoll == nil:
			continue // it watches
		case !ok:
			return 0
		}
		oldest = max(oldest, ago)
	}
	return oldest
}

// storeRegainedAgo returns how long ago this VM regained the store, or 0.
func (allocator *Allocator) storeRegainedAgo() time.Duration {
	newest := time.Duration(0)
	for _, follower := range allocator.Followers {
		if ago, ok := follower.RecoveryAge(); ok && ago < regainedRetention && (newest == 0 || ago < newest) {
			newest = max(ago, 1)
		}
	}
	return newest
}
