package replicator

import (
	"context"
	"slices"

	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/leaser"
)

// startRestore starts sending the full state to a candidate that has restarted or
// joined, unless a restore of it is running.
func (session *session) startRestore(vm string, incarnation uint64) {
	session.mutex.Lock()
	known := session.peers[vm]
	start := known != nil && !known.restoring
	if start {
		known.restoring = true
	}
	session.mutex.Unlock()
	if !start {
		return
	}
	session.spawn(func() {
		if session.restore(session.ctx, vm, incarnation) {
			session.group.recordEvent("candidateSynchronized", session.Term(), vm)
		}
		session.mutex.Lock()
		known.restoring = false
		session.mutex.Unlock()
	})
}

// restore sends the full state to vm, page by page, and reports whether vm is
// synchronized afterwards. The state of a holder contains every entry that a
// majority has stored. Entries that are added while the pages are sent are
// replicated to vm as usual.
func (session *session) restore(ctx context.Context, vm string, incarnation uint64) bool {
	group := session.group
	group.mutex.Lock()
	group.restoreAttempts++
	attempt := group.restoreAttempts
	group.mutex.Unlock()
	cursor := uint64(0)
	for number := 0; ; number++ {
		group.mutex.Lock()
		page := group.store.page(group.Clock.Now(), cursor, nil)
		group.mutex.Unlock()
		call := restoreCall{
			header: session.header(), Incarnation: incarnation, Attempt: attempt,
			Number: number, Last: !page.More, Page: page,
		}
		if !session.sendPage(ctx, vm, call) {
			return false
		}
		if !page.More {
			return true
		}
		cursor = page.Next
	}
}

// sendPage sends one page, and repeats it once if there is no answer. It reports
// whether vm has stored the page.
func (session *session) sendPage(ctx context.Context, vm string, call restoreCall) bool {
	group := session.group
	for range 2 {
		var answer reply
		err := group.call(ctx, vm, methodRestore, group.Timing.HeartbeatInterval, call, &answer, &answer)
		if err == nil {
			session.recordPeer(vm, answer)
			if answer.HigherTerm > session.Term() {
				session.lose("a candidate knows a higher term")
			}
			return answer.OK && (!call.Last || answer.Synchronized)
		}
		if clocker.Sleep(ctx, group.Clock, retryDelay) != nil {
			return false
		}
	}
	return false
}

// CandidatesReady reports whether this VM serves the group and its candidates are
// up to date, so that the previous list, if there is one, may be cleared. All new
// candidates are then synchronized and complete, and so is a majority of each
// list, which also knows the newest record. An older record can therefore no
// longer elect a holder.
func (group *Group) CandidatesReady() bool {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	session := group.session
	if session == nil || session.phase != serving {
		return false
	}
	if _, ok := session.Valid(); !ok {
		return false
	}
	record := group.record
	session.mutex.Lock()
	defer session.mutex.Unlock()
	upToDate := func(vm string) bool {
		known := session.peers[vm]
		return vm == group.VM || known != nil && known.synchronized && known.complete && known.promisedRevision == record.Revision
	}
	for _, vm := range record.Candidates {
		if !slices.Contains(record.Previous, vm) && !upToDate(vm) {
			return false
		}
	}
	return leaser.MajorityOfEach(record.lists(), upToDate)
}

// Invite starts to prepare a VM that is not a candidate to become one, if this VM
// serves the group. The invitation ends with the lease or by CancelInvitations.
func (group *Group) Invite(vm string) {
	group.mutex.Lock()
	session := group.session
	group.mutex.Unlock()
	if session != nil {
		session.mutex.Lock()
		session.invited[vm] = true
		session.mutex.Unlock()
	}
}

// CancelInvitations cancels all invitations.
func (group *Group) CancelInvitations() {
	group.mutex.Lock()
	session := group.session
	group.mutex.Unlock()
	if session != nil {
		session.mutex.Lock()
		clear(session.invited)
		session.mutex.Unlock()
	}
}

// CanJoin reports whether an invited VM has the state and has given a promise under
// the newest record within the suspicion timeout. The record may then name it as a
// candidate.
func (group *Group) CanJoin(vm string) bool {
	group.mutex.Lock()
	session, revision := group.session, group.record.Revision
	group.mutex.Unlock()
	if session == nil {
		return false
	}
	session.mutex.Lock()
	defer session.mutex.Unlock()
	known := session.peers[vm]
	return known != nil && known.synchronized && known.promisedRevision == revision &&
		group.Clock.Now().Sub(known.lastAnswer) < group.Timing.SuspicionTimeout
}

// invitees returns the invited VMs that are not candidates yet.
func (session *session) invitees() []string {
	members := session.group.NewestRecord().members()
	session.mutex.Lock()
	defer session.mutex.Unlock()
	var invitees []string
	for vm := range session.invited {
		if !slices.Contains(members, vm) {
			invitees = append(invitees, vm)
		}
	}
	return invitees
}
