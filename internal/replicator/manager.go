package replicator

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/linker"
	"github.com/cuminstream/cuminstream/internal/platformer"
	"github.com/cuminstream/cuminstream/internal/timeliner"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/leaser"
)

const (
	// reconcileInterval is the time between two passes over all groups. A pass
	// makes no call while nothing changes.
	reconcileInterval = 250 * time.Millisecond
	// inviteeIdleTimeout is how long an invited VM runs the group without a call
	// from the holder.
	inviteeIdleTimeout = 10 * time.Second
)

// Objects is the part of the platform's object API that the manager uses.
// platformer.API implements it.
type Objects interface {
	// Get returns the object, or platformer.ErrNotFound.
	Get(ctx context.Context, name string) (platformer.Object, error)
	// Put writes the object if it still has the version, and returns its new
	// version, or else platformer.ErrConflict. After an error other than that and
	// platformer.ErrRateLimited, the write may or may not have taken effect.
	Put(ctx context.Context, name string, value []byte, version string) (string, error)
}

// Liveness reports what this VM knows about all VMs.
type Liveness interface {
	// Alive reports whether the VM responds to its peers.
	Alive(vm string) bool
	// Gone reports whether the platform's list lacks the VM, and since when.
	Gone(vm string) (since time.Time, gone bool)
	// Leaving reports whether the VM is about to stop.
	Leaving(vm string) bool
	// VMs returns the VMs of the platform's list, by zone.
	VMs() map[string][]string
}

// Manager runs all groups of which this VM is a candidate, and forms, repairs and
// recreates groups. The exported fields must be set before Run and Register.
type Manager struct {
	VM       string
	Clock    clocker.Clock
	Timing   leaser.Timing
	Caller   linker.Caller
	Objects  Objects
	Liveness Liveness
	Recorder *timeliner.Recorder
	// Specs returns the groups that should exist according to the newest document,
	// or nil if no document is known yet.
	Specs func() []configurer.GroupSpec
	// CachedObject returns the newest value of an object that is known without a
	// call to the platform.
	CachedObject func(name string) ([]byte, bool)
	// LeaseHandler creates the handler of a group that is about to run on this VM.
	LeaseHandler func(spec configurer.GroupSpec) LeaseHandler

	running errgroup.Group
	ctx     context.Context

	mutex        sync.Mutex
	closed       bool
	retired      bool
	groups       map[string]*runningGroup
	records      map[string]Record       // newest known, including those of groups that run elsewhere
	repairStates map[string]*repairState // by group
}

// runningGroup is a group that runs on this VM.
type runningGroup struct {
	group     *Group
	cancel    context.CancelFunc
	done      chan struct{}
	startedAt time.Time
}

// repairState is what this VM remembers about forming, repairing or recreating one
// group. The zero time stands for a condition that does not hold.
type repairState struct {
	busy               bool                 // runExclusive is running a function
	recordMissingSince time.Time            // since when no record of the group is known
	quorumLostSince    time.Time            // since when quorumLost has held
	quorumLostRevision uint64               // revision that quorumLostSince refers to
	lastProbe          time.Time            // when probeCandidates was last run
	pendingWrite       *Record              // a write whose outcome is not known yet
	invitedSince       time.Time            // when the VMs to add were first invited
	skippedVMs         int                  // invitations that ended without a ready VM
	unresponsiveSince  map[string]time.Time // by candidate
}

func recordObjectName(id string) string { return "groups/" + id }

// Run manages the groups until ctx is done. For a planned stop, call ReleaseAll
// first.
func (manager *Manager) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	manager.mutex.Lock()
	manager.ctx = ctx
	manager.groups, manager.repairStates = map[string]*runningGroup{}, map[string]*repairState{}
	if manager.records == nil {
		manager.records = map[string]Record{}
	}
	manager.mutex.Unlock()
	ticker := manager.Clock.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		manager.reconcile()
		select {
		case <-ctx.Done():
		case <-ticker.C():
		}
	}
	manager.mutex.Lock()
	manager.closed = true
	manager.mutex.Unlock()
	cancel()
	_ = manager.running.Wait() // the functions return no error
	return context.Cause(ctx)
}

// spawn runs function in a goroutine that Run waits for. The context of function
// is canceled when Run ends. Outside of Run, spawn does nothing.
func (manager *Manager) spawn(function func(ctx context.Context)) {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	manager.spawnLocked(function)
}

func (manager *Manager) spawnLocked(function func(ctx context.Context)) {
	if manager.closed || manager.ctx == nil {
		return
	}
	ctx := manager.ctx
	manager.running.Go(func() error {
		function(ctx)
		return nil
	})
}

// reconcile compares the groups that should exist with what is known about them,
// and takes the steps that are due.
func (manager *Manager) reconcile() {
	specs := manager.Specs()
	if specs == nil {
		return
	}
	for _, spec := range specs {
		manager.loadCachedRecord(spec.ID)
		manager.startOrStop(spec)
		manager.reconcileGroup(spec)
	}
	for _, id := range manager.groupIDs() {
		if !slices.ContainsFunc(specs, func(spec configurer.GroupSpec) bool { return spec.ID == id }) {
			manager.stop(id)
		}
	}
}

func (manager *Manager) groupIDs() []string {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	var ids []string
	for id := range manager.groups {
		ids = append(ids, id)
	}
	return ids
}

// startOrStop runs the group on this VM if its record names the VM. It stops the
// group if the record does not and no holder has called for inviteeIdleTimeout.
func (manager *Manager) startOrStop(spec configurer.GroupSpec) {
	record, known := manager.record(spec.ID)
	if !known {
		return
	}
	if slices.Contains(record.members(), manager.VM) {
		manager.start(spec, record).Adopt(record)
		return
	}
	manager.mutex.Lock()
	running := manager.groups[spec.ID]
	manager.mutex.Unlock()
	if running != nil && manager.Clock.Now().Sub(running.group.lastContactAfter(running.startedAt)) > inviteeIdleTimeout {
		manager.stop(spec.ID)
	}
}

// lastContactAfter returns the time of the last contact with a holder or a candidate, or
// since if that is later.
func (group *Group) lastContactAfter(since time.Time) time.Time {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if group.lastContact.After(since) {
		return group.lastContact
	}
	return since
}

// start returns the group, which it starts unless it runs already.
func (manager *Manager) start(spec configurer.GroupSpec, record Record) *Group {
	if group, ok := manager.Group(spec.ID); ok {
		return group
	}
	handler := manager.LeaseHandler(spec)
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	if running := manager.groups[spec.ID]; running != nil {
		return running.group
	}
	group := &Group{
		ID: spec.ID, VM: manager.VM, Clock: manager.Clock, Timing: manager.Timing, Caller: manager.Caller,
		LeaseHandler: handler, Recorder: manager.Recorder, Record: record, OnRecord: manager.rememberRecord,
		Leaving: manager.Liveness.Leaving,
	}
	group.initialize()
	group.retired = manager.retired
	ctx, cancel := context.WithCancel(manager.ctx)
	running := &runningGroup{group: group, cancel: cancel, done: make(chan struct{}), startedAt: manager.Clock.Now()}
	if manager.closed {
		return group
	}
	manager.groups[spec.ID] = running
	manager.spawnLocked(func(context.Context) {
		defer close(running.done)
		_ = group.Run(ctx) // ends with ctx
	})
	return group
}

// stop ends the group on this VM and drops its state. A later start is like that
// of a new process.
func (manager *Manager) stop(id string) {
	manager.mutex.Lock()
	running := manager.groups[id]
	delete(manager.groups, id)
	manager.mutex.Unlock()
	if running != nil {
		running.cancel()
		<-running.done
	}
}

// Group returns the group if it runs on this VM.
func (manager *Manager) Group(id string) (*Group, bool) {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	running, ok := manager.groups[id]
	if !ok {
		return nil, false
	}
	return running.group, true
}

// Holder returns the VM that serves the group, and its term. It is unknown if the
// group does not run on this VM; see also Group.Holder.
func (manager *Manager) Holder(id string) (vm string, term uint64, known bool) {
	group, ok := manager.Group(id)
	if !ok {
		return "", 0, false
	}
	return group.Holder()
}

// Record returns the newest record of the group that this VM knows.
func (manager *Manager) Record(id string) (Record, bool) { return manager.record(id) }

// ReleaseAll releases all groups that this VM serves to successors, at the same
// time. This VM does not serve any group again until Resume.
func (manager *Manager) ReleaseAll(ctx context.Context) error {
	manager.mutex.Lock()
	manager.retired = true
	var groups []*Group
	for _, running := range manager.groups {
		groups = append(groups, running.group)
	}
	manager.mutex.Unlock()
	var releasing errgroup.Group
	failures := make([]error, len(groups))
	for index, group := range groups {
		group.Retire()
		releasing.Go(func() error {
			failures[index] = group.Release(ctx, "")
			return nil
		})
	}
	_ = releasing.Wait() // the errors are in failures
	return errors.Join(failures...)
}
