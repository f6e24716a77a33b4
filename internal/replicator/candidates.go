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
	deadAfter = 3 * time.Second
	// inviteTime is how long an invited VM may take to become ready before
	// another one is invited. A new voter gives no promise for the first 850 ms.
	inviteTime = 5 * time.Second
)

// order returns the VMs that may become candidates of the group: those of its
// zone, rotated by the hash of the group so that holders spread, then those of
// other zones.
func (manager *Manager) order(spec configurer.GroupSpec) []string {
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
	return slices.Concat(rotated(own, spec.ID), rotated(others, spec.ID))
}

func rotated(vms []string, id string) []string {
	if len(vms) == 0 {
		return nil
	}
	slices.Sort(vms)
	start := xxhash.Sum64String(id) % uint64(len(vms))
	return slices.Concat(vms[start:], vms[:start])
}

// tend takes the next step for the group, if one is due. Steps that make calls
// run on their own, one at a time for each group.
func (manager *Manager) tend(spec configurer.GroupSpec) {
	record, known := manager.record(spec.ID)
	if !known {
		manager.formLater(spec)
		return
	}
	manager.watched(spec.ID, func(watch *watch) { watch.missing = time.Time{} })
	group, runs := manager.Group(spec.ID)
	if runs {
		if vm, _, holds := group.Holder(); holds {
			manager.watched(spec.ID, func(watch *watch) { watch.lost = time.Time{} })
			if vm == manager.VM {
				manager.repair(spec, group)
			}
			return
		}
	}
	manager.repairLost(spec, record, group)
}

// step runs function unless another step of the group is running.
func (manager *Manager) step(id string, function func(ctx context.Context)) {
	start := false
	manager.watched(id, func(watch *watch) {
		start = !watch.busy
		watch.busy = true
	})
	if !start {
		return
	}
	manager.spawn(func(ctx context.Context) {
		function(ctx)
		manager.watched(id, func(watch *watch) { watch.busy = false })
	})
}

// repair replaces a candidate of a group that this VM serves: it invites a VM,
// names it once it is ready, and clears the previous list once it is complete.
func (manager *Manager) repair(spec configurer.GroupSpec, group *Group) {
	record := group.NewestRecord()
	if len(record.Previous) > 0 && group.CandidatesReady() {
		record.Previous = nil
		manager.change(group, record, "candidateSettled")
		return
	}
	leaving, joining := manager.replacement(spec, group, record)
	if len(joining) == 0 {
		group.CancelInvitations()
		manager.watched(spec.ID, func(watch *watch) { watch.inviting, watch.skipped = time.Time{}, 0 })
		return
	}
	ready := manager.ready(group, joining)
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
	manager.change(group, next, "candidateReplaced")
}

// ready invites the VMs and returns those that may be named, once all are ready
// or the time for it is over.
func (manager *Manager) ready(group *Group, joining []string) []string {
	var ready []string
	for _, vm := range joining {
		group.Invite(vm)
		if group.CanJoin(vm) {
			ready = append(ready, vm)
		}
	}
	now := manager.Clock.Now()
	late := false
	manager.watched(group.ID, func(watch *watch) {
		if watch.inviting.IsZero() {
			watch.inviting = now
		}
		if late = now.Sub(watch.inviting) >= inviteTime; late || len(ready) == len(joining) {
			watch.inviting = time.Time{}
		}
		if late && len(ready) == 0 {
			watch.skipped++
		}
	})
	if late && len(ready) == 0 {
		group.CancelInvitations()
	}
	if late || len(ready) == len(joining) {
		return ready
	}
	return nil
}

// change writes the next revision of the record.
func (manager *Manager) change(group *Group, record Record, kind string) {
	record.Revision++
	manager.step(record.ID, func(ctx context.Context) {
		err := manager.write(ctx, record)
		if written, ok := manager.record(record.ID); ok {
			group.Adopt(written)
		}
		switch {
		case err == nil:
			group.note(kind, 0, joined(record.Candidates))
		case !errors.Is(err, errNotWritten):
			group.note("recordUncertain", 0, err.Error())
		}
	})
}

func joined(vms []string) string {
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
func (manager *Manager) replacement(spec configurer.GroupSpec, group *Group, record Record) (leaving string, joining []string) {
	spare := slices.DeleteFunc(manager.order(spec), func(vm string) bool { return slices.Contains(record.members(), vm) })
	if len(spare) == 0 {
		return "", nil
	}
	manager.watched(spec.ID, func(watch *watch) {
		first := watch.skipped % len(spare)
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
		if manager.Liveness.Leaving(vm) || manager.dead(group, vm) {
			return vm, spare[:1]
		}
	}
	return "", nil
}

// dead reports whether the candidate has answered neither its peers nor the
// holder for deadAfter.
func (manager *Manager) dead(group *Group, vm string) bool {
	now := manager.Clock.Now()
	answers := manager.Liveness.Alive(vm) || now.Sub(group.answered(vm)) < group.Timing.SuspicionTimeout
	dead := false
	manager.watched(group.ID, func(watch *watch) {
		since, noted := watch.dead[vm]
		switch {
		case answers:
			delete(watch.dead, vm)
		case !noted:
			watch.dead[vm] = now
		default:
			dead = now.Sub(since) >= deadAfter
		}
	})
	return dead
}

// answered returns when vm has answered the holder last.
func (group *Group) answered(vm string) time.Time {
	group.mutex.Lock()
	tenure := group.tenure
	group.mutex.Unlock()
	if tenure == nil {
		return time.Time{}
	}
	tenure.mutex.Lock()
	defer tenure.mutex.Unlock()
	if known := tenure.peers[vm]; known != nil {
		return known.answered
	}
	return time.Time{}
}
