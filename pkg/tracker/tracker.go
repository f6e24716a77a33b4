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
	// HeartbeatInterval and Suspicion are the shortest time between heartbeats, and the
	// silence after which a VM that sends at that rate is suspected. For a VM
	// that is expected to send less often, the silence grows in proportion.
	HeartbeatInterval time.Duration
	SuspicionTimeout  time.Duration
}

const (
	// indirectGrace is how long the report of another VM keeps a VM that the
	// platform does not list yet from counting as gone.
	indirectGrace = 15 * time.Second
	// retention is how long a VM that is gone is remembered.
	retention = time.Hour
	// evaluations is the number of checks for silence in the suspicion time.
	evaluations = 12
)

// Tracker keeps the membership. It is safe for use by several goroutines.
type Tracker struct {
	config   Config
	snapshot atomic.Pointer[Snapshot]

	// delivery is locked before mutex and held while listeners run, so that
	// they see the changes in order.
	delivery  sync.Mutex
	listeners map[int]func(Change)
	next      int

	mutex     sync.Mutex
	members   map[string]*record
	watched   map[string]*record
	firstList time.Time
	lastList  time.Time
	version   uint64
	changes   []Change
}

// record is a member with the evidence about it.
type record struct {
	told     VM // from heartbeats and entries of other VMs; empty Name when none
	listed   VM // from the newest list that held it; empty Name when none
	member   Member
	heard    time.Time // last heartbeat of this incarnation
	indirect time.Time // last time that another VM knew it to run
	replaced bool      // another VM was heard under its address

	absentSince time.Time // the list has lacked the VM since then

	interval   time.Duration // between expected heartbeats; 0 when not watched
	watchStart time.Time
}

// New returns a tracker without members.
func New(config Config) *Tracker {
	tracker := &Tracker{
		config: config, listeners: map[int]func(Change){},
		members: map[string]*record{}, watched: map[string]*record{},
	}
	tracker.snapshot.Store(newSnapshot(0, nil))
	return tracker
}

// Run checks for silent VMs until ctx is done.
func (tracker *Tracker) Run(ctx context.Context) error {
	ticker := tracker.config.Clock.NewTicker(tracker.config.SuspicionTimeout / evaluations)
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

// Subscribe calls listener with each change, in order, until the returned function
// is called. A listener must not call methods that change the tracker.
func (tracker *Tracker) Subscribe(listener func(Change)) (cancel func()) {
	tracker.delivery.Lock()
	defer tracker.delivery.Unlock()
	number := tracker.next
	tracker.next++
	tracker.listeners[number] = listener
	return func() {
		tracker.delivery.Lock()
		defer tracker.delivery.Unlock()
		delete(tracker.listeners, number)
	}
}

// RecordHeartbeat records a heartbeat that came from the VM itself. It reports false for
// a heartbeat of a former incarnation, which is ignored.
func (tracker *Tracker) RecordHeartbeat(vm VM) bool {
	accepted := false
	tracker.update(func(now time.Time) {
		known := tracker.record(vm.Name)
		if known == nil || vm.Incarnation < known.told.Incarnation {
			return
		}
		accepted = true
		known.merge(vm, now)
		known.heard = now
		known.replaced = false
		tracker.replace(vm, now)
		tracker.conclude(known, now)
	})
	return accepted
}

// replace marks other VMs with the address of a VM that was just heard: their
// processes no longer run there.
func (tracker *Tracker) replace(vm VM, now time.Time) {
	for name, other := range tracker.members {
		if name == vm.Name || vm.Address == "" || other.member.Address != vm.Address || tracker.isHeard(other, now) {
			continue
		}
		other.replaced = true
		tracker.conclude(other, now)
	}
}

// MergeEntries merges entries that another VM passed on. Entries of former incarnations
// are ignored.
func (tracker *Tracker) MergeEntries(entries []Entry) {
	tracker.update(func(now time.Time) {
		for _, entry := range entries {
			known := tracker.record(entry.Name)
			if known == nil || entry.Incarnation < known.told.Incarnation {
				continue
			}
			known.merge(entry.VM, now)
			if at := now.Add(-entry.Age); entry.Age >= 0 && at.After(known.indirect) {
				known.indirect = at
			}
			tracker.conclude(known, now)
		}
	})
}

// SetPlatformList records the platform's list, which replaces the former one.
func (tracker *Tracker) SetPlatformList(vms []VM) {
	tracker.update(func(now time.Time) {
		if tracker.firstList.IsZero() {
			tracker.firstList = now
		}
		tracker.lastList = now
		present := make(map[string]struct{}, len(vms))
		for _, vm := range vms {
			if known := tracker.record(vm.Name); known != nil {
				present[vm.Name] = struct{}{}
				vm.Incarnation = 0
				known.listed = vm
				known.absentSince = time.Time{}
			}
		}
		for name, known := range tracker.members {
			if _, ok := present[name]; !ok {
				if known.absentSince.IsZero() {
					known.absentSince = now
				}
			}
			tracker.conclude(known, now)
			tracker.forget(name, known, now)
		}
	})
}

func (tracker *Tracker) forget(name string, known *record, now time.Time) {
	absent := known.absentSince
	if known.member.State == Gone && !absent.IsZero() && now.Sub(absent) > retention && now.Sub(known.member.Since) > retention {
		delete(tracker.members, name)
		delete(tracker.watched, name)
		tracker.version++
	}
}

// AbsentFor returns for how long the lists received so far have lacked the VM. It
// does not grow while no list is received. It reports false when the newest
// list holds the VM or no list has been received.
func (tracker *Tracker) AbsentFor(name string) (time.Duration, bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if tracker.lastList.IsZero() {
		return 0, false
	}
	known := tracker.members[name]
	if known == nil {
		return tracker.lastList.Sub(tracker.firstList), true
	}
	if known.absentSince.IsZero() {
		return 0, false
	}
	return tracker.lastList.Sub(known.absentSince), true
}

// LastHeartbeat returns when the VM's last heartbeat arrived.
func (tracker *Tracker) LastHeartbeat(name string) (time.Time, bool) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	known := tracker.members[name]
	if known == nil || known.heard.IsZero() {
		return time.Time{}, false
	}
	return known.heard, true
}

// ExpectHeartbeats sets which VMs are expected to send heartbeats, and how often. Only
// these can become suspected. A VM that is newly watched is given the full time
// before it is suspected.
func (tracker *Tracker) ExpectHeartbeats(intervals map[string]time.Duration) {
	tracker.update(func(now time.Time) {
		for name, known := range tracker.watched {
			if intervals[name] <= 0 {
				known.interval = 0
				delete(tracker.watched, name)
				tracker.conclude(known, now)
			}
		}
		for name, interval := range intervals {
			known := tracker.members[name]
			if known == nil || interval <= 0 || known.interval == interval {
				continue
			}
			// A shorter interval holds for the time from now on.
			known.watchStart = now
			known.interval = interval
			tracker.watched[name] = known
			tracker.conclude(known, now)
		}
	})
}

// CheckTimeouts checks the watched VMs for silence.
func (tracker *Tracker) CheckTimeouts() {
	tracker.update(func(now time.Time) {
		for _, known := range tracker.watched {
			tracker.conclude(known, now)
		}
	})
}

// Entries returns what this VM can pass on: the given VMs, or all when none are
// named, without those that are gone.
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
		known := tracker.members[name]
		if known == nil || known.member.State == Gone {
			continue
		}
		entry := Entry{VM: known.describe(), Age: -1}
		entry.Leaving = known.told.Leaving // the platform's statement may be taken back
		if at := known.lastKnown(); !at.IsZero() {
			entry.Age = now.Sub(at)
		}
		entries = append(entries, entry)
	}
	return entries
}

// update runs change under the locks, publishes the snapshot and tells the
// listeners.
func (tracker *Tracker) update(change func(now time.Time)) {
	tracker.delivery.Lock()
	defer tracker.delivery.Unlock()
	tracker.mutex.Lock()
	before := tracker.version
	change(tracker.config.Clock.Now())
	if tracker.version != before {
		members := make([]Member, 0, len(tracker.members))
		for _, known := range tracker.members {
			members = append(members, known.member)
		}
		slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
		tracker.snapshot.Store(newSnapshot(tracker.version, members))
	}
	changes := tracker.changes
	tracker.changes = nil
	tracker.mutex.Unlock()
	for _, change := range changes {
		for _, number := range sortedKeys(tracker.listeners) {
			tracker.listeners[number](change)
		}
	}
}

func sortedKeys(listeners map[int]func(Change)) []int {
	numbers := make([]int, 0, len(listeners))
	for number := range listeners {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	return numbers
}

// record returns the member with the name, which is created when it is new. It
// returns nil for the local VM.
func (tracker *Tracker) record(name string) *record {
	if name == "" || name == tracker.config.Self {
		return nil
	}
	known := tracker.members[name]
	if known == nil {
		known = &record{}
		tracker.members[name] = known
	}
	return known
}
