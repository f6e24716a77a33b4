package replicator

import (
	"context"
	"slices"

	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/leaser"
)

// restoreLater sends the whole state to a candidate that has restarted or
// joined, unless that is already being done.
func (tenure *tenure) restoreLater(vm string, incarnation uint64) {
	tenure.mutex.Lock()
	known := tenure.peers[vm]
	start := known != nil && !known.restoring
	if start {
		known.restoring = true
	}
	tenure.mutex.Unlock()
	if !start {
		return
	}
	tenure.spawn(func() {
		if tenure.restore(tenure.ctx, vm, incarnation) {
			tenure.group.note("candidateSynchronized", tenure.Term(), vm)
		}
		tenure.mutex.Lock()
		known.restoring = false
		tenure.mutex.Unlock()
	})
}

// restore sends the whole state to vm, page by page. The state of a holder
// includes every entry that a majority has stored; entries that follow while the
// pages are sent are copied to vm as usual.
func (tenure *tenure) restore(ctx context.Context, vm string, incarnation uint64) bool {
	group := tenure.group
	group.mutex.Lock()
	group.attempts++
	attempt := group.attempts
	group.mutex.Unlock()
	cursor := uint64(0)
	for number := 0; ; number++ {
		group.mutex.Lock()
		page := group.store.page(group.Clock.Now(), cursor, nil)
		group.mutex.Unlock()
		call := restoreCall{
			header: tenure.header(), Incarnation: incarnation, Attempt: attempt,
			Number: number, Last: !page.More, Page: page,
		}
		if !tenure.sendPage(ctx, vm, call) {
			return false
		}
		if !page.More {
			return true
		}
		cursor = page.Next
	}
}

// sendPage sends one page, a second time if the first one is not answered.
func (tenure *tenure) sendPage(ctx context.Context, vm string, call restoreCall) bool {
	group := tenure.group
	for range 2 {
		var answer reply
		err := group.call(ctx, vm, methodRestore, group.Timing.HeartbeatInterval, call, &answer, &answer)
		if err == nil {
			tenure.met(vm, answer)
			if answer.Higher > tenure.Term() {
				tenure.lose("a candidate knows a higher term")
			}
			return answer.OK && (!call.Last || answer.Synchronized)
		}
		if clocker.Sleep(ctx, group.Clock, retryDelay) != nil {
			return false
		}
	}
	return false
}

// CandidatesReady reports whether the previous list may be cleared: this VM serves, the
// new candidates are synchronized, and a synchronized majority of the previous
// list knows the record, so that an older one cannot elect anyone.
func (group *Group) CandidatesReady() bool {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	tenure := group.tenure
	if tenure == nil || tenure.phase != serving {
		return false
	}
	if _, ok := tenure.Valid(); !ok {
		return false
	}
	record := group.record
	tenure.mutex.Lock()
	defer tenure.mutex.Unlock()
	informed := func(vm string) bool {
		known := tenure.peers[vm]
		return vm == group.VM || known != nil && known.synchronized && known.complete && known.revision == record.Revision
	}
	for _, vm := range record.Candidates {
		if !slices.Contains(record.Previous, vm) && !informed(vm) {
			return false
		}
	}
	return leaser.MajorityOfEach(record.lists(), informed)
}

// Invite makes a VM that is not a candidate ready to become one, if this VM
// serves. The invitation ends with the lease or with Disinvite.
func (group *Group) Invite(vm string) {
	group.mutex.Lock()
	tenure := group.tenure
	group.mutex.Unlock()
	if tenure != nil {
		tenure.mutex.Lock()
		tenure.invited[vm] = true
		tenure.mutex.Unlock()
	}
}

// CancelInvitations takes all invitations back.
func (group *Group) CancelInvitations() {
	group.mutex.Lock()
	tenure := group.tenure
	group.mutex.Unlock()
	if tenure != nil {
		tenure.mutex.Lock()
		clear(tenure.invited)
		tenure.mutex.Unlock()
	}
}

// CanJoin reports whether an invited VM has the state and has given a promise
// lately, so that the record may name it as a candidate.
func (group *Group) CanJoin(vm string) bool {
	group.mutex.Lock()
	tenure, revision := group.tenure, group.record.Revision
	group.mutex.Unlock()
	if tenure == nil {
		return false
	}
	tenure.mutex.Lock()
	defer tenure.mutex.Unlock()
	known := tenure.peers[vm]
	return known != nil && known.synchronized && known.revision == revision &&
		group.Clock.Now().Sub(known.answered) < group.Timing.SuspicionTimeout
}

// guests returns the invited VMs that are no candidates.
func (tenure *tenure) guests() []string {
	members := tenure.group.NewestRecord().members()
	tenure.mutex.Lock()
	defer tenure.mutex.Unlock()
	var guests []string
	for vm := range tenure.invited {
		if !slices.Contains(members, vm) {
			guests = append(guests, vm)
		}
	}
	return guests
}
