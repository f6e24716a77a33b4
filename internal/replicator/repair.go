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
	// formDelay separates the VMs that may form the same group.
	formationStagger = 500 * time.Millisecond
	// settleTime lets VMs that start together hear of each other before one of
	// them chooses candidates. Heartbeats between other VMs take 1 s.
	startupDelay = time.Second
	// lostAfter is how long no quorum of candidates is left before the group is
	// formed anew. It is several leases long.
	quorumLossTimeout = 5 * time.Second
	probeInterval     = time.Second
	// foreignDelay is how long VMs of other zones leave the forming to those of
	// the group's zone. It covers the lag of the platform's list.
	otherZoneDelay = 5 * time.Second
	// termStep is above every term that candidates can reach under one record.
	// Request IDs need terms below 2^32, which leaves 4096 new formings.
	recreationTermStep = uint64(1) << 20
	// foundAttempts bounds the time that a founder spends on one record.
	bootstrapAttempts = 10
)

// turn returns the delay after which this VM forms the group, and whether it may
// do so at all: VMs of the group's zone may, or all VMs if it seems to have none.
// The latter wait, because a VM that has just started knows no other one.
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

// formLater forms a group whose record does not exist, when it is this VM's turn.
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
				_ = clocker.Sleep(ctx, manager.Clock, probeInterval) // the platform is asked once a second
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

// choose returns the candidates of a new list, beginning with those to keep.
func (manager *Manager) chooseCandidates(spec configurer.GroupSpec, keep []string) []string {
	chosen := slices.Clone(keep)
	for _, vm := range manager.candidateOrder(spec) {
		if !slices.Contains(chosen, vm) {
			chosen = append(chosen, vm)
		}
	}
	return chosen[:min(candidateCount, len(chosen))]
}

// form writes the record and, if this VM has written it, founds the group.
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

// gone reports whether the platform's list has not named the VM for lostAfter.
func (manager *Manager) presumedLost(vm string) bool {
	since, gone := manager.Liveness.Gone(vm)
	return gone && manager.Clock.Now().Sub(since) >= quorumLossTimeout
}

// repairLost forms a group anew when no quorum of its candidates is left: they
// are gone from the platform's list, or have restarted and lost their memory.
func (manager *Manager) recreateIfLost(spec configurer.GroupSpec, record Record, group *Group) {
	delay, allowed := manager.formationDelay(spec)
	if !allowed {
		return
	}
	now := manager.Clock.Now()
	// A VM that is no candidate asks only when the platform's list is a reason to.
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
				// Another VM has formed the group anew: its founder gets the whole time.
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

// probe asks every candidate who holds the group.
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
	_ = asking.Wait() // a candidate that does not answer is missing in replies
	return replies
}

// noQuorum reports whether the candidates that may still have the state are too
// few to elect a holder, and none of them knows a holder.
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

// formAnew writes a record with candidates that are there. Former candidates
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
		return // without the platform the record cannot be written either
	}
	state.Assignment = assignment
	manager.formGroup(ctx, next, record.Candidates, state)
}

// lastAssignment reads the assignment that a former holder has written.
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
		// An object that cannot be read must not keep the group from serving.
		manager.Recorder.Record(newEvent("assignmentUnreadable", id, 0, err.Error()))
		return Assignment{}, nil
	}
	return assignment, nil
}
