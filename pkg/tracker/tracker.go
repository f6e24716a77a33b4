package tracker

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// Config holds the settings of a Tracker.
type Config struct {
	// Self is the name of the local VM, which is not a member of its own
	// tracker.
	Self  string
	Clock clocker.Clock
	// HeartbeatInterval and SuspicionTimeout are the shortest time between
	// heartbeats, and the time without a heartbeat after which a VM that sends
	// at that rate is suspected. For a VM that is expected to send less often,
	// the timeout grows in proportion.
	HeartbeatInterval time.Duration
	SuspicionTimeout  time.Duration
}

const (
	// indirectGrace is how long a VM that is absent from the platform's list does
	// not count as gone after it was last known to run, if only by another VM:
	// the list lags, and may not contain a new VM yet.
	indirectGrace = 15 * time.Second
	// goneRetention is how long a VM that is gone stays a member.
	goneRetention = time.Hour
	// checksPerTimeout is how often Run checks for missing heartbeats within the
	// suspicion timeout.
	checksPerTimeout = 12
)

// Tracker keeps the membership. It is safe for concurrent use.
type Tracker struct {
	config   Config
	snapshot atomic.Pointer[Snapshot]

	// deliveryMutex is locked before mutex and held while subscribers run, so
	// that they receive the changes in order.
	deliveryMutex  sync.Mutex
	subscribers    map[int]func(Change)
	nextSubscriber int

	mutex          sync.Mutex
	members        map[string]*memberRecord
	monitored      map[string]*memberRecord // members that are expected to send heartbeats
	firstList      time.Time
	lastList       time.Time
	version        uint64
	pendingChanges []Change
}

// memberRecord is a member with the evidence about it.
type memberRecord struct {
	reported      VM // from heartbeats and entries of other VMs; empty Name when none
	listed        VM // from the newest list that contained it; empty Name when none
	member        Member
	lastHeartbeat time.Time // of this incarnation
	lastIndirect  time.Time // when another VM last knew it to run
	addressReused bool      // another VM has sent a heartbeat from its address

	absentSince time.Time // first list without the VM; zero while it is listed

	heartbeatInterval time.Duration // between expected heartbeats; 0 when not monitored
	monitorStart      time.Time
}

// New returns a tracker without members.
func New(config Config) *Tracker {
	tracker := &Tracker{
		config: config, subscribers: map[int]func(Change){},
		members: map[string]*memberRecord{}, monitored: map[string]*memberRecord{},
	}
	tracker.snapshot.Store(newSnapshot(0, nil))
	return tracker
}

// Run checks for missing heartbeats until ctx is done.
func (tracker *Tracker) Run(ctx context.Context) error {
	ticker := tracker.config.Clock.NewTicker(tracker.config.SuspicionTimeout / checksPerTimeout)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C():
			tracker.CheckTimeouts()
		}
	}
}

// Snapshot returns the membership.
func (tracker *Tracker) Snapshot() *Snapshot { return tracker.snapshot.Load() }

// Peers returns the VMs of the zone that are not gone, in the order of their
// names. An empty zone stands for all zones.
func (tracker *Tracker) Peers(zone string) []Member {
	snapshot := tracker.Snapshot()
	members := snapshot.All()
	if zone != "" {
		members = snapshot.Zone(zone)
	}
	var peers []Member
	for member := range members {
		if member.State != Gone {
			peers = append(peers, member)
		}
	}
	return peers
}

// Subscribe calls subscriber with each change, in order, until cancel is called.
// The subscriber must not call methods that change the tracker.
func (tracker *Tracker) Subscribe(subscriber func(Change)) (cancel func()) {
	tracker.deliveryMutex.Lock()
	defer tracker.deliveryMutex.Unlock()
	id := tracker.nextSubscriber
	tracker.nextSubscriber++
	tracker.subscribers[id] = subscriber
	return func() {
		tracker.deliveryMutex.Lock()
		defer tracker.deliveryMutex.Unlock()
		delete(tracker.subscribers, id)
	}
}

// RecordHeartbeat records a heartbeat that came from the VM itself. It reports
// false for a heartbeat of a former incarnation, which is ignored.
func (tracker *Tracker) RecordHeartbeat(vm VM) bool {
	accepted := false
	tracker.update(func(now time.Time) {
		record := tracker.getOrCreateRecord(vm.Name)
		if record == nil || vm.Incarnation < record.reported.Incarnation {
			return
		}
		accepted = true
		record.merge(vm, now)
		record.lastHeartbeat = now
		record.addressReused = false
		tracker.markAddressReused(vm, now)
		tracker.updateMember(record, now)
	})
	return accepted
}

// markAddressReused marks the other members at the address of a VM that has just
// sent a heartbeat: their processes no longer run there.
func (tracker *Tracker) markAddressReused(vm VM, now time.Time) {
	for name, other := range tracker.members {
		if name == vm.Name || vm.Address == "" || other.member.Address != vm.Address || tracker.hasRecentHeartbeat(other, now) {
			continue
		}
		other.addressReused = true
		tracker.updateMember(other, now)
	}
}

// MergeEntries merges entries that another VM has passed on. Entries of former
// incarnations are ignored.
func (tracker *Tracker) MergeEntries(entries []Entry) {
	tracker.update(func(now time.Time) {
		for _, entry := range entries {
			record := tracker.getOrCreateRecord(entry.Name)
			if record == nil || entry.Incarnation < record.reported.Incarnation {
				continue
			}
			record.merge(entry.VM, now)
			if at := now.Add(-entry.Age); entry.Age >= 0 && at.After(record.lastIndirect) {
				record.lastIndirect = at
			}
			tracker.updateMember(record, now)
		}
	})
}

// SetPlatformList replaces the platform's list of VMs.
func (tracker *Tracker) SetPlatformList(vms []VM) {
	tracker.update(func(now time.Time) {
		if tracker.firstList.IsZero() {
			tracker.firstList = now
		}
		tracker.lastList = now
		present := make(map[string]struct{}, len(vms))
		for _, vm := range vms {
			if record := tracker.getOrCreateRecord(vm.Name); record != nil {
				present[vm.Name] = struct{}{}
				vm.Incarnation = 0
				record.listed = vm
				record.absentSince = time.Time{}
			}
		}
		for name, record := range tracker.members {
			if _, ok := present[name]; !ok {
				if record.absentSince.IsZero() {
					record.absentSince = now
				}
			}
			tracker.updateMember(record, now)
			tracker.removeIfExpired(name, record, now)
		}
	})
}

// removeIfExpired removes a member that has been gone and absent from the
// platform's list for longer than the retention.
func (tracker *Tracker) removeIfExpired(name string, record *memberRecord, now time.Time) {
	absent := record.absentSince
	if record.member.State == Gone && !absent.IsZero() && now.Sub(absent) > goneRetention && now.Sub(record.member.Since) > goneRetention {
		delete(tracker.members, name)
		delete(tracker.monitored, name)
		tracker.version++
	}
}

// AbsentFor returns how long the VM has been absent from the lists received so
// far. It does not grow while no list is received. It reports false when the
// newest list contains the VM or no list has been received.
func (tracker *Tracker) AbsentFor(name string) (time.Duration, bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if tracker.lastList.IsZero() {
		return 0, false
	}
	record := tracker.members[name]
	if record == nil {
		return tracker.lastList.Sub(tracker.firstList), true
	}
	if record.absentSince.IsZero() {
		return 0, false
	}
	return tracker.lastList.Sub(record.absentSince), true
}

// LastHeartbeat returns when the VM's last heartbeat arrived.
func (tracker *Tracker) LastHeartbeat(name string) (time.Time, bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	record := tracker.members[name]
	if record == nil || record.lastHeartbeat.IsZero() {
		return time.Time{}, false
	}
	return record.lastHeartbeat, true
}

// ExpectHeartbeats sets which VMs are expected to send heartbeats, and at which
// intervals. Only these VMs can become suspected. A VM that is new among them, or
// whose interval changes, has the full timeout before it is suspected.
func (tracker *Tracker) ExpectHeartbeats(intervals map[string]time.Duration) {
	tracker.update(func(now time.Time) {
		for name, record := range tracker.monitored {
			if intervals[name] <= 0 {
				record.heartbeatInterval = 0
				delete(tracker.monitored, name)
				tracker.updateMember(record, now)
			}
		}
		for name, interval := range intervals {
			record := tracker.members[name]
			if record == nil || interval <= 0 || record.heartbeatInterval == interval {
				continue
			}
			// The silence before a change of the interval does not count.
			record.monitorStart = now
			record.heartbeatInterval = interval
			tracker.monitored[name] = record
			tracker.updateMember(record, now)
		}
	})
}

// CheckTimeouts updates the states of the VMs that are expected to send
// heartbeats.
func (tracker *Tracker) CheckTimeouts() {
	tracker.update(func(now time.Time) {
		for _, record := range tracker.monitored {
			tracker.updateMember(record, now)
		}
	})
}

// Entries returns the entries that this VM passes on: those of the named VMs, or
// of all when none are named, without VMs that are gone or unknown.
func (tracker *Tracker) Entries(names ...string) []Entry {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	now := tracker.config.Clock.Now()
	if len(names) == 0 {
		for name := range tracker.members {
			names = append(names, name)
		}
		slices.Sort(names)
	}
	entries := make([]Entry, 0, len(names))
	for _, name := range names {
		record := tracker.members[name]
		if record == nil || record.member.State == Gone {
			continue
		}
		entry := Entry{VM: record.description(), Age: -1}
		entry.Leaving = record.reported.Leaving // not that of the platform, which may withdraw it
		if at := record.lastKnownRunning(); !at.IsZero() {
			entry.Age = now.Sub(at)
		}
		entries = append(entries, entry)
	}
	return entries
}

// update runs change with the locks held, publishes a new snapshot if there were
// changes, and calls the subscribers.
func (tracker *Tracker) update(change func(now time.Time)) {
	tracker.deliveryMutex.Lock()
	defer tracker.deliveryMutex.Unlock()
	tracker.mutex.Lock()
	before := tracker.version
	change(tracker.config.Clock.Now())
	if tracker.version != before {
		members := make([]Member, 0, len(tracker.members))
		for _, record := range tracker.members {
			members = append(members, record.member)
		}
		slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
		tracker.snapshot.Store(newSnapshot(tracker.version, members))
	}
	changes := tracker.pendingChanges
	tracker.pendingChanges = nil
	tracker.mutex.Unlock()
	for _, change := range changes {
		for _, id := range sortedKeys(tracker.subscribers) {
			tracker.subscribers[id](change)
		}
	}
}

func sortedKeys(subscribers map[int]func(Change)) []int {
	ids := make([]int, 0, len(subscribers))
	for id := range subscribers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// getOrCreateRecord returns the record of the VM with the name, and creates it if
// there is none. It returns nil for the local VM.
func (tracker *Tracker) getOrCreateRecord(name string) *memberRecord {
	if name == "" || name == tracker.config.Self {
		return nil
	}
	record := tracker.members[name]
	if record == nil {
		record = &memberRecord{}
		tracker.members[name] = record
	}
	return record
}
