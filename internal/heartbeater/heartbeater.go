package heartbeater

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"github.com/cuminstream/cuminstream/internal/linker"
	"github.com/cuminstream/cuminstream/internal/platformer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/leaser"
	"github.com/cuminstream/cuminstream/pkg/tracker"
)

// Control calls of this package.
const (
	methodHeartbeat = "heartbeat"
	methodMembers   = "members"
)

// farInterval is the time between heartbeats of VMs that share no group.
const farInterval = time.Second

// Heartbeater runs the heartbeats of a VM. The exported fields are set before
// Register and Run.
type Heartbeater struct {
	// Self describes the local VM. Incarnation must rise with each start of the
	// process, for example the start time in milliseconds.
	Self    tracker.VM
	Tracker *tracker.Tracker
	Caller  linker.Caller
	// Clock is clocker.System when not set.
	Clock  clocker.Clock
	Timing leaser.Timing

	// GroupPeers names the VMs that share a group with the local one.
	GroupPeers func() []string
	// Leaving reports whether the local VM is stopping.
	Leaving func() bool
	// Payload returns the value to send with heartbeats. It is encoded at each
	// heartbeat interval and sent to each peer when it has changed.
	Payload func() any
	// OnPayload is given the payload of a peer each time that it has changed. It
	// must not block, and must not change the tracker.
	OnPayload func(from string, decode func(any) error)

	// ListVMs returns the platform's list of VMs.
	ListVMs func(ctx context.Context) ([]platformer.VM, error)
	// Seeds are used while the platform's list is not available.
	Seeds []platformer.VM

	once   sync.Once
	source string // peer whose heartbeat is being merged; guarded by merging and mutex

	// merging is locked while the tracker is told of a message, so that source
	// names the peer when the tracker calls listen. Lock order: merging, the
	// tracker's locks, mutex.
	merging sync.Mutex

	mutex     sync.Mutex
	peers     map[string]*peer
	neighbors map[string]*schedule
	rumors    rumors
	payload   []byte
	version   uint64
	listed    time.Time // when the platform's list last arrived
	synced    string    // name up to which a peer has told its members

	far []neighbor // those that share no group; used by tick only
}

// peer is what is known of the heartbeats with another VM.
type peer struct {
	incarnation uint64
	described   description
	received    uint64 // version of its payload that has arrived
	confirmed   uint64 // version of the own payload that it has
	cursor      uint64 // next change to tell it
	called      time.Time
	used        time.Time
}

// schedule says when to begin the next exchange with a neighbour.
type schedule struct {
	neighbor
	interval time.Duration
	next     time.Time
	running  bool
}

func (heartbeater *Heartbeater) init() {
	heartbeater.once.Do(func() {
		if heartbeater.Clock == nil {
			heartbeater.Clock = clocker.System{}
		}
		heartbeater.peers = map[string]*peer{}
		heartbeater.neighbors = map[string]*schedule{}
		heartbeater.Tracker.Subscribe(heartbeater.listen)
	})
}

// Register accepts the calls of other VMs.
func (heartbeater *Heartbeater) Register(registrar linker.Registrar) {
	heartbeater.init()
	registrar.Handle(methodHeartbeat, heartbeater.answer)
	registrar.Handle(methodMembers, heartbeater.answerMembers)
}

var _ linker.Directory = (*Heartbeater)(nil)

// LinkAddress implements linker.Directory.
func (heartbeater *Heartbeater) LinkAddress(vm string) (string, bool) {
	member, ok := heartbeater.Tracker.Snapshot().Member(vm)
	return member.Address, ok && member.Address != ""
}

// Run exchanges heartbeats, reads the platform's list and runs the tracker
// until ctx is done.
func (heartbeater *Heartbeater) Run(ctx context.Context) error {
	heartbeater.init()
	if heartbeater.Timing.HeartbeatInterval <= 0 {
		return fmt.Errorf("heartbeat interval %v must be above 0", heartbeater.Timing.HeartbeatInterval)
	}
	heartbeater.useSeeds()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return heartbeater.Tracker.Run(ctx) })
	group.Go(func() error { return heartbeater.poll(ctx) })
	group.Go(func() error {
		ticker := heartbeater.Clock.NewTicker(heartbeater.Timing.HeartbeatInterval)
		defer ticker.Stop()
		var seen *tracker.Snapshot
		for {
			seen = heartbeater.tick(ctx, group, seen)
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C():
			}
		}
	})
	return group.Wait()
}

// tick begins the exchanges that are due.
func (heartbeater *Heartbeater) tick(ctx context.Context, group *errgroup.Group, seen *tracker.Snapshot) *tracker.Snapshot {
	heartbeater.encodePayload()
	seen = heartbeater.choose(seen)
	for _, scheduled := range heartbeater.due() {
		name, interval := scheduled.name, scheduled.interval // apply changes them
		group.Go(func() error {
			heartbeater.exchange(ctx, name, interval)
			heartbeater.mutex.Lock()
			defer heartbeater.mutex.Unlock()
			scheduled.running = false
			return nil
		})
	}
	return seen
}

// due returns the neighbours to call now, and marks them as being called.
func (heartbeater *Heartbeater) due() []*schedule {
	now := heartbeater.Clock.Now()
	heartbeater.mutex.Lock()
	defer heartbeater.mutex.Unlock()
	var due []*schedule
	for _, scheduled := range heartbeater.neighbors {
		// Half an interval early, or a tick that comes a moment before its
		// neighbour's time would halve the rate.
		early := now.Add(heartbeater.Timing.HeartbeatInterval / 2)
		if scheduled.running || early.Before(scheduled.next) || !heartbeater.mustBegin(scheduled, now) {
			continue
		}
		scheduled.running = true
		scheduled.next = now.Add(scheduled.interval)
		due = append(due, scheduled)
	}
	return due
}

// mustBegin reports whether the local VM begins the exchange: because it is its
// turn, or because the neighbour has not called for twice the interval, for
// example because it does not know the local VM yet.
func (heartbeater *Heartbeater) mustBegin(scheduled *schedule, now time.Time) bool {
	if scheduled.begins {
		return true
	}
	known := heartbeater.peers[scheduled.name]
	return known == nil || now.Sub(known.called) > 2*scheduled.interval
}

// encodePayload raises the version when the payload has changed.
func (heartbeater *Heartbeater) encodePayload() {
	var encoded []byte
	if heartbeater.Payload != nil {
		var err error
		if encoded, err = cbor.Marshal(heartbeater.Payload()); err != nil {
			encoded = nil
		}
	}
	heartbeater.mutex.Lock()
	defer heartbeater.mutex.Unlock()
	if heartbeater.version == 0 || !bytes.Equal(encoded, heartbeater.payload) {
		heartbeater.payload = encoded
		heartbeater.version++
	}
}

// choose brings the neighbours in line with the membership and with the VMs
// that share a group.
func (heartbeater *Heartbeater) choose(seen *tracker.Snapshot) *tracker.Snapshot {
	snapshot := heartbeater.Tracker.Snapshot()
	wanted := map[string]schedule{}
	changed := snapshot != seen
	if changed {
		heartbeater.far = neighbors(heartbeater.Self.Name, heartbeater.Self.Zone, snapshot)
	}
	for _, chosen := range heartbeater.far {
		wanted[chosen.name] = schedule{neighbor: chosen, interval: farInterval}
	}
	if heartbeater.GroupPeers != nil {
		for _, name := range heartbeater.GroupPeers() {
			if _, known := snapshot.Member(name); !known {
				continue
			}
			begins := heartbeater.Self.Name < name
			wanted[name] = schedule{neighbor: neighbor{name, begins}, interval: heartbeater.Timing.HeartbeatInterval}
		}
	}
	if heartbeater.apply(wanted) || changed {
		intervals := make(map[string]time.Duration, len(wanted))
		for name, scheduled := range wanted {
			intervals[name] = scheduled.interval
		}
		heartbeater.Tracker.ExpectHeartbeats(intervals)
		heartbeater.prune(snapshot)
	}
	return snapshot
}

// apply reports whether the neighbours or their intervals have changed.
func (heartbeater *Heartbeater) apply(wanted map[string]schedule) bool {
	now := heartbeater.Clock.Now()
	heartbeater.mutex.Lock()
	defer heartbeater.mutex.Unlock()
	changed := false
	for name := range heartbeater.neighbors {
		if _, ok := wanted[name]; !ok {
			delete(heartbeater.neighbors, name)
			changed = true
		}
	}
	for name, chosen := range wanted {
		known := heartbeater.neighbors[name]
		if known == nil {
			// The first exchanges are spread over the interval.
			offset := time.Duration(position(name, heartbeater.Self.Name) % uint64(chosen.interval))
			known = &schedule{next: now.Add(offset)}
			heartbeater.neighbors[name] = known
			changed = true
		}
		if known.interval != chosen.interval {
			known.interval = chosen.interval
			known.next = now
			changed = true
		}
		known.neighbor = chosen.neighbor
	}
	return changed
}

// prune forgets peers that are no longer members and have not called lately.
func (heartbeater *Heartbeater) prune(snapshot *tracker.Snapshot) {
	const kept = time.Minute
	now := heartbeater.Clock.Now()
	heartbeater.mutex.Lock()
	defer heartbeater.mutex.Unlock()
	for name, known := range heartbeater.peers {
		if _, ok := snapshot.Member(name); !ok && now.Sub(known.used) > kept {
			delete(heartbeater.peers, name)
		}
	}
}

// Neighbors returns the names of the VMs with which heartbeats are exchanged.
func (heartbeater *Heartbeater) Neighbors() []string {
	heartbeater.mutex.Lock()
	defer heartbeater.mutex.Unlock()
	names := make([]string, 0, len(heartbeater.neighbors))
	for name := range heartbeater.neighbors {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
