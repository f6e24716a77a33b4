package replicator

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/internal/platformer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/leaser"
)

const (
	// formationStagger is the time between the attempts of two VMs to form the same
	// group.
	formationStagger = 500 * time.Millisecond
	// startupDelay gives VMs that start together the time to learn of each other
	// before one of them chooses candidates. Heartbeats between other VMs take 1 s.
	startupDelay = time.Second
	// quorumLossTimeout is how long a group must be without a quorum of candidates
	// before it is recreated. It is several times as long as a lease.
	quorumLossTimeout = 5 * time.Second
	// probeInterval is the time between two probes of the candidates, and between
	// two calls to the platform while a group cannot be formed.
	probeInterval = time.Second
	// otherZoneDelay is how much longer VMs of other zones wait before they form a
	// group. It covers the delay with which the platform's list shows VMs of the
	// group's zone.
	otherZoneDelay = 5 * time.Second
	// recreationTermStep is larger than the number of terms that candidates can use
	// up under one record. Request IDs need terms below 2^32, so that a group can be
	// recreated 4096 times.
	recreationTermStep = uint64(1) << 20
	// bootstrapAttempts limits the time that a bootstrapper spends on one record.
	bootstrapAttempts = 10
)

// formationDelay returns how long this VM waits before it forms the group, and
// whether it may form it at all. The VMs of the group's zone may. If none of them
// is known, all VMs may, but only after otherZoneDelay: a VM that has just started
// does not know any other VM yet.
func (manager *Manager) formationDelay(spec configurer.GroupSpec) (time.Duration, bool) {
	order := manager.candidateOrder(spec)
	position := slices.Index(order, manager.VM)
	zone := manager.Liveness.VMs()[spec.Zone]
	local := slices.ContainsFunc(order, func(vm string) bool { return slices.Contains(zone, vm) })
	if position < 0 || local && !slices.Contains(zone, manager.VM) {
		return 0, false
	}
	delay := time.Duration(position) * formationStagger
	if !local {
		delay += otherZoneDelay
	}
	return delay, true
}

// formIfDue forms a group that has no record, once the delay of this VM has passed.
func (manager *Manager) formIfDue(spec configurer.GroupSpec) {
	delay, allowed := manager.formationDelay(spec)
	if !allowed {
		return
	}
	now := manager.Clock.Now()
	due := false
	manager.withRepairState(spec.ID, func(state *repairState) {
		if state.recordMissingSince.IsZero() {
			state.recordMissingSince = now
		}
		due = now.Sub(state.recordMissingSince) >= startupDelay+delay
	})
	if !due {
		return
	}
	manager.runExclusive(spec.ID, func(ctx context.Context) {
		if _, _, err := manager.fetchRecord(ctx, spec.ID); !errors.Is(err, platformer.ErrNotFound) {
			if err != nil {
				_ = clocker.Sleep(ctx, manager.Clock, probeInterval) // limits the calls to the platform
			}
			return
		}
		candidates := manager.chooseCandidates(spec, nil)
		if len(candidates) == 0 {
			return
		}
		record := Record{ID: spec.ID, Candidates: candidates, BaseTerm: 1, Revision: 1}
		manager.formGroup(ctx, record, nil, State{})
	})
}

// chooseCandidates returns a new list of candidates that begins with those to keep.
func (manager *Manager) chooseCandidates(spec configurer.GroupSpec, keep []string) []string {
	chosen := slices.Clone(keep)
	for _, vm := range manager.candidateOrder(spec) {
		if !slices.Contains(chosen, vm) {
			chosen = append(chosen, vm)
		}
	}
	return chosen[:min(candidateCount, len(chosen))]
}

// formGroup writes the record and, if the write succeeds, sends the initial state
// to the candidates. It waits until the outcome of the write is known.
func (manager *Manager) formGroup(ctx context.Context, record Record, former []string, state State) {
	err := manager.writeRecord(ctx, record)
	for err != nil && !errors.Is(err, errNotWritten) {
		if clocker.Sleep(ctx, manager.Clock, probeInterval) != nil {
			return
		}
		if written, known := manager.resolveWrite(ctx, record.ID); known {
			if !written {
				return
			}
			err = nil
		}
	}
	if err != nil {
		return
	}
	written, _ := manager.record(record.ID)
	if written.Revision != record.Revision {
		return
	}
	manager.Recorder.Record(newEvent("groupFormed", record.ID, record.BaseTerm, joinNames(record.Candidates)))
	bootstrapper := &bootstrapper{
		clock: manager.Clock, timing: manager.Timing, caller: loopback{manager}, record: written, former: former,
		gone: func(vm string) bool { return manager.presumedLost(vm) },
	}
	for range bootstrapAttempts {
		if bootstrapper.bootstrap(ctx, state) == nil {
			return
		}
		newest, _ := manager.record(record.ID)
		if newest.Revision != written.Revision || clocker.Sleep(ctx, manager.Clock, probeInterval) != nil {
			return
		}
	}
}

// presumedLost reports whether the platform's list has lacked the VM for
// quorumLossTimeout.
func (manager *Manager) presumedLost(vm string) bool {
	since, gone := manager.Liveness.Gone(vm)
	return gone && manager.Clock.Now().Sub(since) >= quorumLossTimeout
}

// recreateIfLost recreates a group after it has been without a quorum for
// quorumLossTimeout, because its candidates are gone from the platform's list or
// have restarted and lost their state.
func (manager *Manager) recreateIfLost(spec configurer.GroupSpec, record Record, group *Group) {
	delay, allowed := manager.formationDelay(spec)
	if !allowed {
		return
	}
	now := manager.Clock.Now()
	// A VM that does not run the group probes it only if the platform's list lacks
	// one of its candidates.
	if group == nil && !slices.ContainsFunc(record.members(), func(vm string) bool {
		_, gone := manager.Liveness.Gone(vm)
		return gone
	}) {
		return
	}
	due := false
	manager.withRepairState(spec.ID, func(state *repairState) {
		if due = now.Sub(state.lastProbe) >= probeInterval && !state.busy; due {
			state.lastProbe = now
		}
	})
	if !due {
		return
	}
	manager.runExclusive(spec.ID, func(ctx context.Context) {
		replies := manager.probeCandidates(ctx, record)
		lost := manager.quorumLost(record, replies)
		due := false
		manager.withRepairState(spec.ID, func(state *repairState) {
			switch {
			case !lost:
				state.quorumLostSince = time.Time{}
			case state.quorumLostSince.IsZero() || state.quorumLostRevision != record.Revision:
				// The loss is new, or another VM has recreated the group since. The
				// bootstrapper of that VM gets the full timeout.
				state.quorumLostSince, state.quorumLostRevision = now, record.Revision
			default:
				due = now.Sub(state.quorumLostSince) >= quorumLossTimeout+delay
			}
		})
		if due {
			manager.recreateGroup(ctx, spec, record, replies)
			manager.withRepairState(spec.ID, func(state *repairState) { state.quorumLostSince = time.Time{} })
		}
	})
}

// probeCandidates asks all candidates for the holder and returns the replies by VM.
func (manager *Manager) probeCandidates(ctx context.Context, record Record) map[string]HolderReply {
	ctx, cancel := clocker.WithTimeout(ctx, manager.Clock, probeInterval/2)
	defer cancel()
	var mutex sync.Mutex
	replies := map[string]HolderReply{}
	var asking errgroup.Group
	for _, vm := range record.members() {
		asking.Go(func() error {
			var reply HolderReply
			if err := (loopback{manager}).Call(ctx, vm, methodHolder, holderCall{Group: record.ID}, &reply); err != nil {
				return err
			}
			if reply.Record != nil {
				manager.rememberRecord(*reply.Record)
			}
			mutex.Lock()
			defer mutex.Unlock()
			replies[vm] = reply
			return nil
		})
	}
	_ = asking.Wait() // candidates that do not answer are missing in replies
	return replies
}

// quorumLost reports whether no candidate knows a holder, and too few candidates
// are left to elect one that has the state. A candidate that does not answer is
// counted as left until the platform's list lacks it.
func (manager *Manager) quorumLost(record Record, replies map[string]HolderReply) bool {
	for _, reply := range replies {
		if reply.Known || reply.Record != nil && reply.Record.Revision > record.Revision {
			return false
		}
	}
	voter := func(vm string) bool {
		_, answered := replies[vm]
		_, gone := manager.Liveness.Gone(vm)
		return answered || !gone
	}
	reader := func(vm string) bool {
		reply, answered := replies[vm]
		_, gone := manager.Liveness.Gone(vm)
		return answered && reply.Synchronized || !answered && !gone
	}
	return !leaser.MajorityOfEach(record.lists(), voter) || !leaser.QuorumOfEach(record.lists(), readQuorum, reader)
}

// recreateGroup forms the group again with available candidates. Former candidates
// that still have the state stay in the list.
func (manager *Manager) recreateGroup(ctx context.Context, spec configurer.GroupSpec, record Record, replies map[string]HolderReply) {
	var keep []string
	for _, vm := range record.Candidates {
		if replies[vm].Synchronized && !manager.Liveness.Leaving(vm) {
			keep = append(keep, vm)
		}
	}
	next := Record{
		ID: record.ID, Candidates: manager.chooseCandidates(spec, keep), BaseTerm: record.BaseTerm + recreationTermStep,
		RecreatedAt: manager.Clock.Now(), Revision: record.Revision + 1,
	}
	if len(next.Candidates) == 0 {
		return
	}
	state := State{StateLostAt: next.RecreatedAt}
	assignment, err := manager.lastAssignment(ctx, spec.ID)
	if err != nil {
		return // the record cannot be written without the platform either
	}
	state.Assignment = assignment
	manager.formGroup(ctx, next, record.Candidates, state)
}

// lastAssignment reads the assignment that the last holder stored on the platform.
func (manager *Manager) lastAssignment(ctx context.Context, id string) (Assignment, error) {
	ctx, cancel := clocker.WithTimeout(ctx, manager.Clock, platformTimeout)
	defer cancel()
	object, err := manager.Objects.Get(ctx, "assignments/"+id)
	if errors.Is(err, platformer.ErrNotFound) {
		return Assignment{}, nil
	}
	if err != nil {
		return Assignment{}, err
	}
	var assignment Assignment
	if err := json.Unmarshal(object.Value, &assignment); err != nil {
		// An object that cannot be decoded must not keep the group from being served.
		manager.Recorder.Record(newEvent("assignmentUnreadable", id, 0, err.Error()))
		return Assignment{}, nil
	}
	return assignment, nil
}
