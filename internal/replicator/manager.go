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
	// manageInterval is the time between two looks at all groups. A look makes
	// no call while nothing changes.
	reconcileInterval = 250 * time.Millisecond
	// invitedIdle is how long a VM that was invited keeps the group without
	// hearing from the holder.
	inviteeIdleTimeout = 10 * time.Second
)

// Objects is the part of the platform's object API that the manager uses.
// platformer.API implements it.
type Objects interface {
	// Get returns the object, or platformer.ErrNotFound.
	Get(ctx context.Context, name string) (platformer.Object, error)
	// Put returns platformer.ErrConflict if the object has another version. Any
	// other error but platformer.ErrRateLimited leaves the outcome open.
	Put(ctx context.Context, name string, value []byte, version string) (string, error)
}

// Liveness tells what is known of the VMs.
type Liveness interface {
	// Alive reports whether the VM answers its peers.
	Alive(vm string) bool
	// Gone reports since when the platform's list does not name the VM.
	Gone(vm string) (since time.Time, gone bool)
	// Leaving reports whether the VM is about to stop.
	Leaving(vm string) bool
	// VMs returns the VMs of the platform's list, by zone.
	VMs() map[string][]string
}

// Manager owns all groups of which this VM is a candidate, and keeps their
// records. The exported fields are set before Run and Register.
type Manager struct {
	VM       string
	Clock    clocker.Clock
	Timing   leaser.Timing
	Caller   linker.Caller
	Objects  Objects
	Liveness Liveness
	Recorder *timeliner.Recorder
	// Specs returns the groups that follow from the newest document, or nil as
	// long as no document is known.
	Specs func() []configurer.GroupSpec
	// CachedObject returns the newest known value of an object without a call.
	CachedObject func(name string) ([]byte, bool)
	// LeaseHandler returns the member of a group that this VM begins to take part in.
	LeaseHandler func(spec configurer.GroupSpec) LeaseHandler

	running errgroup.Group
	ctx     context.Context

	mutex        sync.Mutex
	closed       bool
	retired      bool
	groups       map[string]*runningGroup
	records      map[string]Record       // newest known, also of groups that run elsewhere
	repairStates map[string]*repairState // what this VM notes of groups it may have to form or repair
}

// managed is a running group.
type runningGroup struct {
	group     *Group
	cancel    context.CancelFunc
	done      chan struct{}
	startedAt time.Time
}

// watch is what this VM notes of one group between two looks.
type repairState struct {
	busy               bool                 // a write or a formation is running
	recordMissingSince time.Time            // since when the record is not known
	quorumLostSince    time.Time            // since when no quorum of candidates is left
	quorumLostRevision uint64               // the revision of the record that lost refers to
	lastProbe          time.Time            // when the candidates were asked last
	pendingWrite       *Record              // a write whose outcome is not known
	invitedSince       time.Time            // when the present invitation began
	skippedVMs         int                  // VMs that were invited and did not become ready
	unresponsiveSince  map[string]time.Time // candidates, since when they do not answer
}

func recordObjectName(id string) string { return "groups/" + id }

// Run takes part in the groups until ctx is done. Call ReleaseAll before for a
// planned stop.
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

// spawn runs function until it returns or Run ends.
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

// look compares every group with what is known of it, and starts what is due.
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

// fit starts or stops the group on this VM as its record says.
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

// heard returns when a holder was heard last, at the earliest since.
func (group *Group) lastContactAfter(since time.Time) time.Time {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if group.lastContact.After(since) {
		return group.lastContact
	}
	return since
}

// start returns the running group, and starts it if necessary.
func (manager *Manager) start(spec configurer.GroupSpec, record Record) *Group {
	if group, ok := manager.Group(spec.ID); ok {
		return group
	}
	member := manager.LeaseHandler(spec)
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	if running := manager.groups[spec.ID]; running != nil {
		return running.group
	}
	group := &Group{
		ID: spec.ID, VM: manager.VM, Clock: manager.Clock, Timing: manager.Timing, Caller: manager.Caller,
		LeaseHandler: member, Recorder: manager.Recorder, Record: record, OnRecord: manager.rememberRecord,
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

// stop ends the group on this VM. Its state is dropped, so that a later start is
// like that of a new process.
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

// Group returns the group if this VM takes part in it.
func (manager *Manager) Group(id string) (*Group, bool) {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	running, ok := manager.groups[id]
	if !ok {
		return nil, false
	}
	return running.group, true
}

// Holder returns the VM that serves the group and its term, as far as this VM
// knows it as a candidate.
func (manager *Manager) Holder(id string) (vm string, term uint64, known bool) {
	group, ok := manager.Group(id)
	if !ok {
		return "", 0, false
	}
	return group.Holder()
}

// Record returns the newest record that this VM knows.
func (manager *Manager) Record(id string) (Record, bool) { return manager.record(id) }

// ReleaseAll hands every group that this VM serves to a successor, all at the
// same time, and keeps this VM from serving again.
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
