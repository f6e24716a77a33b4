package replicator

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cuminstream/cuminstream/internal/configurer"
)

const (
	// candidateCount is the number of VMs that store a group. The copies survive
	// the loss of any one of them.
	candidateCount = 3
	// deadAfter is how long a candidate does not answer before it is replaced.
	unresponsiveTimeout = 3 * time.Second
	// inviteTime is how long an invited VM may take to become ready before
	// another one is invited. A new voter gives no promise for the first 850 ms.
	inviteTimeout = 5 * time.Second
)

// order returns the VMs that may become candidates of the group: those of its
// zone, rotated by the hash of the group so that holders spread, then those of
// other zones.
func (manager *Manager) candidateOrder(spec configurer.GroupSpec) []string {
	var own, others []string
	for zone, vms := range manager.Liveness.VMs() {
		for _, vm := range vms {
			if manager.Liveness.Leaving(vm) || !manager.Liveness.Alive(vm) {
				continue
			}
			if zone == spec.Zone {
				own = append(own, vm)
			} else {
				others = append(others, vm)
			}
		}
	}
	return slices.Concat(rotateByHash(own, spec.ID), rotateByHash(others, spec.ID))
}

func rotateByHash(vms []string, id string) []string {
	if len(vms) == 0 {
		return nil
	}
	slices.Sort(vms)
	start := xxhash.Sum64String(id) % uint64(len(vms))
	return slices.Concat(vms[start:], vms[:start])
}

// tend takes the next step for the group, if one is due. Steps that make calls
// run on their own, one at a time for each group.
func (manager *Manager) reconcileGroup(spec configurer.GroupSpec) {
	record, known := manager.record(spec.ID)
	if !known {
		manager.formIfDue(spec)
		return
	}
	manager.withRepairState(spec.ID, func(state *repairState) { state.recordMissingSince = time.Time{} })
	group, runs := manager.Group(spec.ID)
	if runs {
		if vm, _, holds := group.Holder(); holds {
			manager.withRepairState(spec.ID, func(state *repairState) { state.quorumLostSince = time.Time{} })
			if vm == manager.VM {
				manager.updateCandidates(spec, group)
			}
			return
		}
	}
	manager.recreateIfLost(spec, record, group)
}

// step runs function unless another step of the group is running.
func (manager *Manager) runExclusive(id string, function func(ctx context.Context)) {
	start := false
	manager.withRepairState(id, func(state *repairState) {
		start = !state.busy
		state.busy = true
	})
	if !start {
		return
	}
	manager.spawn(func(ctx context.Context) {
		function(ctx)
		manager.withRepairState(id, func(state *repairState) { state.busy = false })
	})
}

// repair replaces a candidate of a group that this VM serves: it invites a VM,
// names it once it is ready, and clears the previous list once it is complete.
func (manager *Manager) updateCandidates(spec configurer.GroupSpec, group *Group) {
	record := group.NewestRecord()
	if len(record.Previous) > 0 && group.CandidatesReady() {
		record.Previous = nil
		manager.changeRecord(group, record, "candidateSettled")
		return
	}
	leaving, joining := manager.planReplacement(spec, group, record)
	if len(joining) == 0 {
		group.CancelInvitations()
		manager.withRepairState(spec.ID, func(state *repairState) { state.invitedSince, state.skippedVMs = time.Time{}, 0 })
		return
	}
	ready := manager.readyInvitees(group, joining)
	if len(ready) == 0 {
		return
	}
	next := record
	if len(record.Previous) == 0 {
		next.Previous = record.Candidates
	}
	next.Candidates = slices.Clone(record.Candidates)
	if leaving == "" {
		next.Candidates = append(next.Candidates, ready...)
	} else {
		next.Candidates[slices.Index(next.Candidates, leaving)] = ready[0]
	}
	manager.changeRecord(group, next, "candidateReplaced")
}

// ready invites the VMs and returns those that may be named, once all are ready
// or the time for it is over.
func (manager *Manager) readyInvitees(group *Group, joining []string) []string {
	var ready []string
	for _, vm := range joining {
		group.Invite(vm)
		if group.CanJoin(vm) {
			ready = append(ready, vm)
		}
	}
	now := manager.Clock.Now()
	timedOut := false
	manager.withRepairState(group.ID, func(state *repairState) {
		if state.invitedSince.IsZero() {
			state.invitedSince = now
		}
		if timedOut = now.Sub(state.invitedSince) >= inviteTimeout; timedOut || len(ready) == len(joining) {
			state.invitedSince = time.Time{}
		}
		if timedOut && len(ready) == 0 {
			state.skippedVMs++
		}
	})
	if timedOut && len(ready) == 0 {
		group.CancelInvitations()
	}
	if timedOut || len(ready) == len(joining) {
		return ready
	}
	return nil
}

// change writes the next revision of the record.
func (manager *Manager) changeRecord(group *Group, record Record, kind string) {
	record.Revision++
	manager.runExclusive(record.ID, func(ctx context.Context) {
		err := manager.writeRecord(ctx, record)
		if written, ok := manager.record(record.ID); ok {
			group.Adopt(written)
		}
		switch {
		case err == nil:
			group.recordEvent(kind, 0, joinNames(record.Candidates))
		case !errors.Is(err, errNotWritten):
			group.recordEvent("recordUncertain", 0, err.Error())
		}
	})
}

func joinNames(vms []string) string {
	text := ""
	for index, vm := range vms {
		if index > 0 {
			text += " "
		}
		text += vm
	}
	return text
}

// replacement returns the candidate that is to be replaced, or none if the list
// is too short, and the VMs to invite. At most one candidate is replaced at a
// time. While the previous list is set, only a candidate that has joined and
// died before it was complete is replaced: every entry is then stored by a
// majority of the previous list.
func (manager *Manager) planReplacement(spec configurer.GroupSpec, group *Group, record Record) (leaving string, joining []string) {
	spare := slices.DeleteFunc(manager.candidateOrder(spec), func(vm string) bool { return slices.Contains(record.members(), vm) })
	if len(spare) == 0 {
		return "", nil
	}
	manager.withRepairState(spec.ID, func(state *repairState) {
		first := state.skippedVMs % len(spare)
		spare = slices.Concat(spare[first:], spare[:first])
	})
	joint := len(record.Previous) > 0
	if missing := min(candidateCount-len(record.Candidates), len(spare)); missing > 0 && !joint {
		return "", spare[:missing]
	}
	for _, vm := range record.Candidates {
		if vm == manager.VM || joint && !record.joining(vm) {
			continue
		}
		if manager.Liveness.Leaving(vm) || manager.isUnresponsive(group, vm) {
			return vm, spare[:1]
		}
	}
	return "", nil
}

// dead reports whether the candidate has answered neither its peers nor the
// holder for deadAfter.
func (manager *Manager) isUnresponsive(group *Group, vm string) bool {
	now := manager.Clock.Now()
	answers := manager.Liveness.Alive(vm) || now.Sub(group.lastAnswerFrom(vm)) < group.Timing.SuspicionTimeout
	unresponsive := false
	manager.withRepairState(group.ID, func(state *repairState) {
		since, known := state.unresponsiveSince[vm]
		switch {
		case answers:
			delete(state.unresponsiveSince, vm)
		case !known:
			state.unresponsiveSince[vm] = now
		default:
			unresponsive = now.Sub(since) >= unresponsiveTimeout
		}
	})
	return unresponsive
}

// answered returns when vm has answered the holder last.
func (group *Group) lastAnswerFrom(vm string) time.Time {
	group.mutex.Lock()
	session := group.session
	group.mutex.Unlock()
	if session == nil {
		return time.Time{}
	}
	session.mutex.Lock()
	defer session.mutex.Unlock()
	if known := session.peers[vm]; known != nil {
		return known.lastAnswer
	}
	return time.Time{}
}
