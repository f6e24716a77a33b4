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
	// candidateCount is the number of VMs that store a group. With three, the state
	// survives the loss of any one of them.
	candidateCount = 3
	// unresponsiveTimeout is how long a candidate fails to answer before it is
	// replaced.
	unresponsiveTimeout = 3 * time.Second
	// inviteTimeout is how long an invited VM may take to become ready before
	// another one is invited. A new voter gives no promise for the first 850 ms.
	inviteTimeout = 5 * time.Second
)

// candidateOrder returns the VMs that may become candidates of the group, in
// order of preference: those of its zone first, then those of other zones. Both
// parts are rotated by a hash of the group ID, which spreads the holders of
// different groups over the VMs.
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

// rotateByHash returns the sorted VMs, beginning at a position that depends on
// the ID.
func rotateByHash(vms []string, id string) []string {
	if len(vms) == 0 {
		return nil
	}
	slices.Sort(vms)
	start := xxhash.Sum64String(id) % uint64(len(vms))
	return slices.Concat(vms[start:], vms[:start])
}

// reconcileGroup takes the next step in forming, repairing or recreating the
// group, if one is due. Steps that make calls run in a goroutine, at most one for
// each group.
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

// runExclusive runs function in a goroutine, unless another one that it started
// for the group is still running.
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

// updateCandidates replaces or adds candidates of a group that this VM serves, one
// step at a time. It invites VMs, writes them into the record once they are
// ready, and clears the previous list once they are fully restored.
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

// readyInvitees invites the VMs. Once all are ready or inviteTimeout has passed,
// it returns those that are ready; before that, it returns none. If none becomes
// ready in time, the next invitation goes to other VMs.
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

// changeRecord writes the record as its next revision and adopts what the write
// leads to. The event of the given kind is recorded if the write succeeded.
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

// joinNames returns the names separated by spaces.
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

// planReplacement returns the candidate to replace and the VM to invite for it.
// If the list is too short, it returns no candidate and the VMs to add. At most
// one candidate is replaced at a time. While the previous list is set, only a
// candidate that joined and failed before it was fully restored may be replaced.
// This loses nothing, because every entry is then stored by a majority of the
// previous list.
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

// isUnresponsive reports whether the candidate has answered neither its peers nor
// the holder for unresponsiveTimeout.
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

// lastAnswerFrom returns when vm last answered a call of the present session, or
// the zero time.
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
