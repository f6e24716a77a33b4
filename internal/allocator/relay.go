package allocator

import (
	"time"

	"github.com/cuminstream/cuminstream/internal/storer"
)

// Each store call has a cost, and the call rates that the store permits grow more slowly
// than the number of VMs. Therefore only brokers follow the store, one of them by polling
// it with lists at short intervals, or two while the first may have lost it. They relay
// changes in their answers to reports. Other VMs call the store only while they receive no
// answers from a polling broker.
const (
	// minRelayAge is the least age of the polling broker's lists up to which a VM relies
	// on the relay. relayMargin is the time, from then on, for the VM's next check and one
	// list: a change that was not relayed still takes effect within MaxStaleness.
	minRelayAge = 1250 * time.Millisecond
	relayMargin = time.Second
	// pollPatience is the age of the lists of a polling broker from which the next broker
	// polls too: an interval between two lists, one between two reports, and the calls.
	pollPatience = 1300 * time.Millisecond
	// relayGrace is how long after its own list a VM waits for brokers to relay changes
	// before it watches the store: two report intervals and the duration of the calls.
	relayGrace = 2*reportInterval + 100*time.Millisecond
	// startupRelayGrace replaces relayGrace until a service has had a broker. While the
	// whole system starts, upstreams register one after the other, and each registration
	// would cost one call from each VM.
	startupRelayGrace = initialClaimDelay + maxCandidateDelay + relayGrace
	// maxRelayedBytes bounds the size of the changes in one answer, about 200 entries of
	// upstreams. Larger changes are read from the store.
	maxRelayedBytes = 64 << 10
	// regainedRetention is how long brokers report that they have regained the store.
	regainedRetention = 3 * time.Second
)

// ChangesRelayed reports whether brokers relay all changes in the store to this VM, or
// have not had the time to do so since this VM last listed the store itself.
func (allocator *Allocator) ChangesRelayed(listAge time.Duration) bool {
	for _, service := range allocator.allServices() {
		if _, ok := service.ledTerm(); ok {
			return false
		}
	}
	grace := relayGrace
	if allocator.AwaitsFirstReports != nil { // the first start, at which only leaders call the store
		if allocator.AwaitsFirstReports() {
			return true
		}
	} else if !allocator.HasClaims() {
		grace = startupRelayGrace
	}
	if listAge < grace {
		return true
	}
	now := allocator.Clock.Now()
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	if now.Sub(allocator.claimsSince) < relayGrace {
		return true // the first reports to the brokers are not answered yet
	}
	for _, peer := range allocator.peers {
		if peer.lostSince.IsZero() && peer.storeLostFor == 0 && peer.listAge > 0 && peer.listAge+now.Sub(peer.answeredAt) < allocator.maxRelayAge() {
			return true
		}
	}
	return false
}

// maxRelayAge returns the age of a polling broker's lists up to which this VM relies on
// the relay.
func (allocator *Allocator) maxRelayAge() time.Duration {
	return max(allocator.MaxStaleness-relayMargin, minRelayAge)
}

// BrokerRetriesStore reports whether a reachable broker has lost the store too. That
// broker keeps retrying, and reports when the store is back.
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

// beginPolling ends the watches of this VM when it becomes the one that polls the store.
func (allocator *Allocator) beginPolling() {
	polling := allocator.ShouldPoll()
	allocator.mutex.Lock()
	began := polling && !allocator.polling
	allocator.polling = polling
	allocator.mutex.Unlock()
	if !began {
		return
	}
	for _, follower := range allocator.Followers {
		follower.Relist()
	}
}

// claimsRelayed is ChangesRelayed for the claims themselves: until there is a claim, no
// broker can relay any.
func (allocator *Allocator) claimsRelayed(listAge time.Duration) bool {
	return allocator.HasClaims() && allocator.ChangesRelayed(listAge)
}

// HasClaims reports whether any service has had a broker, as far as this VM knows.
func (allocator *Allocator) HasClaims() bool {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	return len(allocator.claims) > 0
}

// applyRelayedChanges applies the changes and the state of the store from a broker's
// answer.
func (allocator *Allocator) applyRelayedChanges(answer reportAnswer) {
	completeTo := decodeVersions(answer.CompleteTo, answer.CompleteToEras)
	for i, follower := range allocator.Followers {
		if answer.StoreRegainedAgo > 0 {
			follower.RecordRecovery(answer.StoreRegainedAgo)
		}
		if i < len(answer.Changes) {
			changes := make([]storer.Change, len(answer.Changes[i]))
			era := uint64(0)
			if i < len(completeTo) {
				era = completeTo[i].Era
			}
			for j, change := range answer.Changes[i] {
				changes[j] = storer.Change{Deleted: change.Deleted, Object: storer.Object{
					Kind: follower.Kind, Name: change.Name, Revision: change.Revision, Era: era, Deleting: change.Deleting, Spec: change.Spec, Status: change.Status,
				}}
			}
			follower.Apply(changes)
		}
		if len(completeTo) == len(allocator.Followers) {
			follower.Advance(completeTo[i])
		}
	}
	allocator.observeVersions(decodeVersions(answer.NewestRevisions, answer.NewestEras))
}

// changesAfter returns the changes after the given complete versions, and the versions
// up to which they are complete, by follower. It leaves out those of a follower that does
// not know them all, or whose changes exceed maxRelayedBytes. The VM then detects by the
// newest revisions that it must list.
func (allocator *Allocator) changesAfter(complete []storer.Version) (all [][]relayedChange, completeTo []storer.Version) {
	if len(complete) != len(allocator.Followers) {
		return nil, nil // the VM runs another version
	}
	completeTo = make([]storer.Version, len(allocator.Followers))
	size := 0
	for i, follower := range allocator.Followers {
		changes, to, ok := follower.ChangesSince(complete[i])
		if !ok {
			continue
		}
		if len(changes) == 0 {
			completeTo[i] = to
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
		size, completeTo[i] = size+bytes, to
		if all == nil {
			all = make([][]relayedChange, len(allocator.Followers))
		}
		all[i] = relayed
	}
	return all, completeTo
}

// newestVersions returns the versions of the newest changes that this VM has received,
// by follower.
func (allocator *Allocator) newestVersions() []storer.Version {
	versions := make([]storer.Version, len(allocator.Followers))
	for i, follower := range allocator.Followers {
		versions[i] = follower.Revision()
	}
	return versions
}

// completeVersions returns the versions up to which this VM has all changes, by follower.
func (allocator *Allocator) completeVersions() []storer.Version {
	versions := make([]storer.Version, len(allocator.Followers))
	for i, follower := range allocator.Followers {
		versions[i] = follower.CompleteRevision()
	}
	return versions
}

// observeVersions passes the newest versions of another VM to the followers, which list
// the store if they are behind.
func (allocator *Allocator) observeVersions(newest []storer.Version) {
	if len(newest) != len(allocator.Followers) {
		return // the VM runs another version
	}
	for i, follower := range allocator.Followers {
		follower.ObserveRevision(newest[i])
	}
}

// encodeVersions returns the revisions and the eras of the versions. eras is nil if all
// are 0, as with a store that does not tell its era.
func encodeVersions(versions []storer.Version) (revisions, eras []uint64) {
	for i, version := range versions {
		revisions = append(revisions, version.Revision)
		if version.Era > 0 && eras == nil {
			eras = make([]uint64, len(versions))
		}
		if eras != nil {
			eras[i] = version.Era
		}
	}
	return revisions, eras
}

// decodeVersions is the inverse of encodeVersions.
func decodeVersions(revisions, eras []uint64) []storer.Version {
	versions := make([]storer.Version, len(revisions))
	for i, revision := range revisions {
		versions[i].Revision = revision
		if len(eras) == len(revisions) {
			versions[i].Era = eras[i]
		}
	}
	return versions
}

// listAge returns the age of this VM's oldest list of the store if it polls the store;
// otherwise 0.
func (allocator *Allocator) listAge() time.Duration {
	if !allocator.ShouldPoll() {
		return 0
	}
	oldest := time.Duration(1) // an age of 0 would mean that this VM does not poll
	for _, follower := range allocator.Followers {
		ago, ok := follower.ListAge()
		switch {
		case follower.ShouldPoll == nil:
			continue // it always watches
		case !ok:
			return 0
		}
		oldest = max(oldest, ago)
	}
	return oldest
}

// storeRegainedAgo returns how long ago this VM last regained the store, or 0 if that is
// more than regainedRetention ago.
func (allocator *Allocator) storeRegainedAgo() time.Duration {
	newest := time.Duration(0)
	for _, follower := range allocator.Followers {
		if ago, ok := follower.RecoveryAge(); ok && ago < regainedRetention && (newest == 0 || ago < newest) {
			newest = max(ago, 1)
		}
	}
	return newest
}
