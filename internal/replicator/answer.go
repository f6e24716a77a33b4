package replicator

import (
	"context"
	"fmt"
	"maps"
	"slices"
)

// HandleCall executes a control call that the VM from made about this group and
// returns the reply.
func (group *Group) HandleCall(_ context.Context, from, method string, body any) (any, error) {
	group.initialize()
	switch call := body.(type) {
	case *promiseCall:
		return group.handleHeader(call.header, func(reply *reply) { group.handlePromise(from, call, reply) })
	case *copyCall:
		return group.handleHeader(call.header, func(reply *reply) { group.handleCopy(from, call, reply) })
	case *restoreCall:
		return group.handleHeader(call.header, func(reply *reply) { group.handleRestore(from, call, reply) })
	case *releaseCall:
		return group.handleHeader(call.header, func(reply *reply) { group.handleRelease(from, call, reply) })
	case *snapshotCall:
		return group.handleSnapshot(from, call)
	case *holderCall:
		return group.handleHolder(call), nil
	}
	return nil, fmt.Errorf("group %s does not answer the method %q", group.ID, method)
}

// handleHeader adopts the record of the call if it is newer. A sender with an
// older record gets the newest one in the reply, and handle does not run.
func (group *Group) handleHeader(header header, handle func(*reply)) (reply, error) {
	group.mutex.Lock()
	adopted := group.adoptLocked(header.Record)
	reply := reply{Incarnation: group.incarnation}
	if header.Record.Revision < group.record.Revision {
		record := group.record
		reply.Record = &record
	} else {
		handle(&reply)
	}
	reply.Synchronized, reply.Complete = group.synchronized, group.complete
	group.mutex.Unlock()
	group.notifyRecord(adopted)
	return reply, nil
}

func (group *Group) handlePromise(from string, call *promiseCall, reply *reply) {
	if !slices.Contains(group.record.Candidates, from) {
		return
	}
	response := group.voter.Promise(call.Term, from)
	reply.OK, reply.HigherTerm, reply.RetryAfter = response.Granted, response.HigherTerm, response.RetryAfter
	if response.Granted {
		group.stepDownIfHigher(call.Term)
		group.store.prune(group.Clock.Now())
	}
	// A new voter gives no promises yet, but still records who serves the group,
	// so that it can name the holder to routers.
	if response.Granted || call.Holding && call.Term >= group.voter.Term() {
		group.recordContactLocked(from, call.Term, call.Holding)
	}
}

// recordContactLocked restarts the suspicion timeout after a call of the holder
// or of a candidate that has this VM's promise.
func (group *Group) recordContactLocked(from string, term uint64, holding bool) {
	now := group.Clock.Now()
	group.lastContact = now
	group.namedSuccessor = false
	if holding && term >= group.holderTerm {
		group.holderVM, group.holderTerm, group.holderSeenAt = from, term, now
	}
	group.wake()
}

// stepDownIfHigher ends the session of this VM if its term is below term.
func (group *Group) stepDownIfHigher(term uint64) {
	if session := group.session; session != nil && term > session.Term() {
		session.loseLocked("another candidate has a higher term")
	}
}

func (group *Group) handleCopy(from string, call *copyCall, reply *reply) {
	if !slices.Contains(group.record.Candidates, from) {
		return
	}
	if !group.voter.ObserveTerm(call.Term) {
		reply.HigherTerm = group.voter.Term()
		return
	}
	group.stepDownIfHigher(call.Term)
	group.store.apply(group.Clock.Now(), call.Entries)
	reply.OK = true
}

func (group *Group) handleSnapshot(from string, call *snapshotCall) (snapshotReply, error) {
	var page page
	var buckets bucketSet
	reply, err := group.handleHeader(call.header, func(reply *reply) {
		if !slices.Contains(group.record.Candidates, from) {
			return
		}
		if !group.voter.ObserveTerm(call.Term) {
			reply.HigherTerm = group.voter.Term()
			return
		}
		group.stepDownIfHigher(call.Term)
		buckets = group.store.digest.differing(call.Digest)
		page = group.store.page(group.Clock.Now(), call.Cursor, buckets)
		reply.OK = true
	})
	return snapshotReply{reply: reply, Page: page, Buckets: slices.Collect(maps.Keys(buckets))}, err
}

// handleRestore stores one page of the holder's state. It accepts the pages of
// an attempt only in order, and the last one makes this candidate synchronized.
// A page that was already stored is acknowledged again.
func (group *Group) handleRestore(from string, call *restoreCall, reply *reply) {
	if call.Incarnation != group.incarnation {
		return
	}
	if !call.Bootstrap && !slices.Contains(group.record.Candidates, from) {
		return
	}
	// The initial state has the lowest term of the record. Another candidate that
	// received it earlier may already have requested a higher term here.
	if !group.voter.ObserveTerm(call.Term) && !call.Bootstrap {
		reply.HigherTerm = group.voter.Term()
		return
	}
	group.stepDownIfHigher(call.Term)
	if call.Number == 0 {
		group.restore = restoreProgress{term: call.Term, attempt: call.Attempt}
	}
	progress := &group.restore
	if progress.term != call.Term || progress.attempt != call.Attempt || call.Number > progress.next {
		return
	}
	reply.OK = true
	if call.Number < progress.next {
		return
	}
	progress.next++
	now := group.Clock.Now()
	group.store.applyPage(now, call.Page)
	if !call.Last {
		return
	}
	firstRestore := !group.synchronized
	group.synchronized, group.complete = true, true
	if !slices.Contains(group.record.members(), group.VM) {
		group.invitedRevision = group.record.Revision
	}
	if !firstRestore {
		return
	}
	if call.Bootstrap {
		group.lastContact = now.Add(-group.Timing.SuspicionTimeout)
	}
	group.wake()
}

func (group *Group) handleRelease(from string, call *releaseCall, reply *reply) {
	promised, _, unexpired := group.voter.CurrentPromise()
	group.voter.Release(call.Term, from)
	if call.Term < group.voter.Term() {
		reply.HigherTerm = group.voter.Term()
		return
	}
	now := group.Clock.Now()
	group.store.setInFlight(now, call.Term, call.InFlight)
	if group.holderVM == from && group.holderTerm <= call.Term {
		group.holderSeenAt = now.Add(-group.Timing.SuspicionTimeout)
	}
	switch call.Successor {
	case group.VM:
		group.namedSuccessor = true
	case "":
		// The release of a failed candidacy says nothing about the holder.
		if unexpired && promised == from {
			group.lastContact = now.Add(-group.Timing.SuspicionTimeout)
		}
	default:
		group.lastContact = now
	}
	group.wake()
	reply.OK = true
}

func (group *Group) handleHolder(call *holderCall) HolderReply {
	if call.Record != nil {
		group.Adopt(*call.Record)
	}
	group.mutex.Lock()
	defer group.mutex.Unlock()
	vm, term, known := group.holderLocked()
	record := group.record
	return HolderReply{
		Known: known, VM: vm, Term: term, Record: &record,
		Incarnation: group.incarnation, Synchronized: group.synchronized,
	}
}
