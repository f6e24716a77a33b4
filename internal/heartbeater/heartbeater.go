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

// Methods of the control calls.
const (
	methodHeartbeat = "heartbeat"
	methodMembers   = "members"
)

// nonGroupInterval is the heartbeat interval of neighbors that share no group.
const nonGroupInterval = time.Second

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

	// GroupPeers returns the names of the VMs that share a group with the local VM.
	GroupPeers func() []string
	// Leaving reports whether the local VM is stopping.
	Leaving func() bool
	// Payload returns the value to send with heartbeats. It is encoded at each
	// heartbeat interval and sent to each peer once after every change.
	Payload func() any
	// OnPayload is called with the payload of a peer after every change. It must
	// not block, and must not change the tracker.
	OnPayload func(from string, decode func(any) error)

	// ListVMs returns the platform's list of VMs.
	ListVMs func(ctx context.Context) ([]platformer.VM, error)
	// Seeds are the VMs known at startup, used until the platform's list is
	// available.
	Seeds []platformer.VM

	once        sync.Once
	mergeSource string // peer whose heartbeat is being merged; guarded by mergeMutex and mutex

	// mergeMutex is held while a message is applied to the tracker, so that
	// mergeSource names its sender when the tracker calls recordChange. Lock order:
	// mergeMutex, the tracker's locks, mutex.
	mergeMutex sync.Mutex

	mutex          sync.Mutex
	peers          map[string]*peerState
	neighbors      map[string]*scheduledNeighbor
	changes        changeLog
	payload        []byte
	payloadVersion uint64
	listReadAt     time.Time // when the platform's list was last read
	membersCursor  string    // name of the last VM on the previous page of members

	nonGroupNeighbors []neighbor // chosen by chooseNeighbors; used by tick only
}

// peerState is the state of the exchanges with another VM.
type peerState struct {
	incarnation     uint64
	lastDescription description
	receivedVersion uint64 // latest version of the peer's payload that was received
	ackedVersion    uint64 // version of the local payload that the peer acknowledged
	changeCursor    uint64 // number of the next change to send
	lastCallAt      time.Time
	lastUsedAt      time.Time
}

// scheduledNeighbor is a neighbor with the time of the next exchange.
type scheduledNeighbor struct {
	neighbor
	interval time.Duration
	nextAt   time.Time
	inFlight bool
}

func (heartbeater *Heartbeater) init() {
	heartbeater.once.Do(func() {
		if heartbeater.Clock == nil {
			heartbeater.Clock = clocker.System{}
		}
		heartbeater.peers = map[string]*peerState{}
		heartbeater.neighbors = map[string]*scheduledNeighbor{}
		heartbeater.Tracker.Subscribe(heartbeater.recordChange)
	})
}

// Register registers the handlers for the calls of other VMs.
func (heartbeater *Heartbeater) Register(registrar linker.Registrar) {
	heartbeater.init()
	registrar.Handle(methodHeartbeat, heartbeater.handleHeartbeat)
	registrar.Handle(methodMembers, heartbeater.handleMembers)
}

var _ linker.Directory = (*Heartbeater)(nil)

// LinkAddress implements linker.Directory.
func (heartbeater *Heartbeater) LinkAddress(vm string) (string, bool) {
	member, ok := heartbeater.Tracker.Snapshot().Member(vm)
	return member.Address, ok && member.Address != ""
}

// Run exchanges heartbeats, polls the platform's list of VMs and runs the tracker
// until ctx is done.
func (heartbeater *Heartbeater) Run(ctx context.Context) error {
	heartbeater.init()
	if heartbeater.Timing.HeartbeatInterval <= 0 {
		return fmt.Errorf("heartbeat interval %v must be above 0", heartbeater.Timing.HeartbeatInterval)
	}
	heartbeater.addSeeds()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return heartbeater.Tracker.Run(ctx) })
	group.Go(func() error { return heartbeater.pollPlatform(ctx) })
	group.Go(func() error {
		ticker := heartbeater.Clock.NewTicker(heartbeater.Timing.HeartbeatInterval)
		defer ticker.Stop()
		var previous *tracker.Snapshot
		for {
			previous = heartbeater.tick(ctx, group, previous)
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C():
			}
		}
	})
	return group.Wait()
}

// tick starts the exchanges that are due. previous is the snapshot that the last
// tick returned; tick returns the one that it used.
func (heartbeater *Heartbeater) tick(ctx context.Context, group *errgroup.Group, previous *tracker.Snapshot) *tracker.Snapshot {
	heartbeater.encodePayload()
	previous = heartbeater.updateNeighbors(previous)
	for _, scheduled := range heartbeater.takeDueNeighbors() {
		name, interval := scheduled.name, scheduled.interval // applySchedule may change them
		group.Go(func() error {
			heartbeater.exchange(ctx, name, interval)
			heartbeater.mutex.Lock()
			defer heartbeater.mutex.Unlock()
			scheduled.inFlight = false
			return nil
		})
	}
	return previous
}

// takeDueNeighbors returns the neighbors whose exchange is due, and marks their
// exchanges as in flight.
func (heartbeater *Heartbeater) takeDueNeighbors() []*scheduledNeighbor {
	now := heartbeater.Clock.Now()
	heartbeater.mutex.Lock()
	defer heartbeater.mutex.Unlock()
	var due []*scheduledNeighbor
	for _, scheduled := range heartbeater.neighbors {
		// An exchange counts as due half a heartbeat interval early. Otherwise a
		// tick just before nextAt would skip it and halve the rate.
		early := now.Add(heartbeater.Timing.HeartbeatInterval / 2)
		if scheduled.inFlight || early.Before(scheduled.nextAt) || !heartbeater.shouldInitiate(scheduled, now) {
			continue
		}
		scheduled.inFlight = true
		scheduled.nextAt = now.Add(scheduled.interval)
		due = append(due, scheduled)
	}
	return due
}

// shouldInitiate reports whether the local VM starts the exchange: it is the one
// that initiates exchanges with this neighbor, or the neighbor has not called for
// twice the interval, for example because it does not know the local VM yet.
func (heartbeater *Heartbeater) shouldInitiate(scheduled *scheduledNeighbor, now time.Time) bool {
	if scheduled.initiates {
		return true
	}
	known := heartbeater.peers[scheduled.name]
	return known == nil || now.Sub(known.lastCallAt) > 2*scheduled.interval
}

// encodePayload encodes the payload, and increments its version if it changed.
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
	if heartbeater.payloadVersion == 0 || !bytes.Equal(encoded, heartbeater.payload) {
		heartbeater.payload = encoded
		heartbeater.payloadVersion++
	}
}

// updateNeighbors recomputes the neighbors from the membership and from the VMs
// that share a group, and returns the snapshot that it used.
func (heartbeater *Heartbeater) updateNeighbors(previous *tracker.Snapshot) *tracker.Snapshot {
	snapshot := heartbeater.Tracker.Snapshot()
	wanted := map[string]scheduledNeighbor{}
	changed := snapshot != previous
	if changed {
		heartbeater.nonGroupNeighbors = chooseNeighbors(heartbeater.Self.Name, heartbeater.Self.Zone, snapshot)
	}
	for _, chosen := range heartbeater.nonGroupNeighbors {
		wanted[chosen.name] = scheduledNeighbor{neighbor: chosen, interval: nonGroupInterval}
	}
	if heartbeater.GroupPeers != nil {
		for _, name := range heartbeater.GroupPeers() {
			if _, known := snapshot.Member(name); !known {
				continue
			}
			initiates := heartbeater.Self.Name < name
			wanted[name] = scheduledNeighbor{neighbor: neighbor{name, initiates}, interval: heartbeater.Timing.HeartbeatInterval}
		}
	}
	if heartbeater.applySchedule(wanted) || changed {
		intervals := make(map[string]time.Duration, len(wanted))
		for name, scheduled := range wanted {
			intervals[name] = scheduled.interval
		}
		heartbeater.Tracker.ExpectHeartbeats(intervals)
		heartbeater.prunePeers(snapshot)
	}
	return snapshot
}

// applySchedule replaces the neighbors and reports whether any neighbor or interval
// changed. A neighbor whose interval is unchanged keeps its time of next exchange.
func (heartbeater *Heartbeater) applySchedule(wanted map[string]scheduledNeighbor) bool {
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
			// Spread the first exchanges over the interval.
			offset := time.Duration(ringPosition(name, heartbeater.Self.Name) % uint64(chosen.interval))
			known = &scheduledNeighbor{nextAt: now.Add(offset)}
			heartbeater.neighbors[name] = known
			changed = true
		}
		if known.interval != chosen.interval {
			known.interval = chosen.interval
			known.nextAt = now
			changed = true
		}
		known.neighbor = chosen.neighbor
	}
	return changed
}

// prunePeers removes the state of peers that are not members and were not used
// for the retention time.
func (heartbeater *Heartbeater) prunePeers(snapshot *tracker.Snapshot) {
	const retention = time.Minute
	now := heartbeater.Clock.Now()
	heartbeater.mutex.Lock()
	defer heartbeater.mutex.Unlock()
	for name, known := range heartbeater.peers {
		if _, ok := snapshot.Member(name); !ok && now.Sub(known.lastUsedAt) > retention {
			delete(heartbeater.peers, name)
		}
	}
}

// Neighbors returns the sorted names of the VMs with which the local VM exchanges
// heartbeats.
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
