package replicator

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/leaser"
)

// fullStateDelay is how long the full state is held back from candidates that
// were not read. Those that were read, which need only what they lack, can
// complete the majority in the meantime.
const fullStateDelay = 2 * retryDelay

// campaign requests the lease under the next term of this VM. If it is elected, it
// serves the group until the lease ends.
func (group *Group) campaign(ctx context.Context) {
	session := group.startSession(ctx)
	if session == nil {
		return
	}
	defer session.close()
	retry, elected := session.elect()
	if elected {
		retry = group.Timing.SuspicionTimeout
		if err := session.serve(); errors.Is(err, ErrLeaseLost) {
			// The lease may have ended only because another candidate campaigned
			// without success. The promises to this VM are then unexpired and allow a
			// new term at once.
			retry = 0
		}
	}
	group.endSession(session, retry)
}

// startSession returns a session under the next term of this VM, or nil if this VM
// may not campaign now.
func (group *Group) startSession(ctx context.Context) *session {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.namedSuccessor = false
	if other, until, ok := group.voter.CurrentPromise(); ok && other != group.VM {
		group.retryAt = until
		return nil
	}
	above := max(group.voter.Term(), group.highestSeenTerm)
	term, ok := leaser.NextTerm(group.record.Candidates, group.record.BaseTerm, group.VM, above)
	if !ok || group.retired || !group.synchronized {
		return nil
	}
	group.session = newSession(ctx, group, term)
	return group.session
}

// elect requests promises and reports whether a majority granted them. The voter
// of this VM is asked last, and only if it completes the majority. Otherwise a
// candidate that is cut off would raise its own term without success, which would
// later end the lease of the healthy holder. The result retry is the time until
// the next attempt.
func (session *session) elect() (retry time.Duration, elected bool) {
	group := session.group
	others := session.others()
	answers := make(chan reply, len(others))
	for _, vm := range others {
		session.spawn(func() {
			answer, err := session.requestPromise(vm)
			if err != nil {
				answer.RetryAfter = group.Timing.HeartbeatInterval
			}
			answers <- answer
		})
	}
	timer := group.Clock.NewTimer(group.Timing.TakeoverTimeout)
	defer timer.Stop()
	wait := group.Timing.HeartbeatInterval
	for pending := len(others); pending > 0 && !session.lease.HasMajority(group.Clock.Now(), group.VM); {
		select {
		case answer := <-answers:
			pending--
			wait = min(wait, answer.RetryAfter)
		case <-timer.C():
			pending = 0
		case <-session.ctx.Done():
			pending = 0
		}
	}
	position := group.NewestRecord().positionAfter(group.VM, "")
	// The first candidate retries as soon as the voters may give a promise, before
	// the other candidates do.
	retry = max(wait, retryDelay/4) + time.Duration(position)*retryDelay
	if !session.lease.HasMajority(group.Clock.Now(), group.VM) || !session.promiseSelf().Granted {
		return retry, false
	}
	_, elected = session.Valid()
	return retry, elected
}

// endSession ends the session and sets the time of the next attempt. If the
// session was not released, the voters are told to drop their promises to it.
func (group *Group) endSession(session *session, retry time.Duration) {
	group.mutex.Lock()
	notReleased := session.phase < releasing || session.phase == ended
	session.loseLocked("the lease is given back")
	group.session = nil
	group.retryAt = group.Clock.Now().Add(retry)
	group.voter.Release(session.Term(), group.VM)
	group.mutex.Unlock()
	if notReleased {
		// Promises to a lost or failed session would only delay the next holder.
		group.running.Go(func() error {
			session.sendRelease(context.WithoutCancel(session.ctx), releaseCall{header: session.header()})
			return nil
		})
	}
}

// sendRelease sends a release to all other candidates at the same time. It waits
// until each has answered or a heartbeat interval has passed.
func (session *session) sendRelease(ctx context.Context, call releaseCall) {
	group := session.group
	var sending errgroup.Group
	for _, vm := range session.others() {
		sending.Go(func() error {
			var answer reply
			return group.call(ctx, vm, methodRelease, group.Timing.HeartbeatInterval, call, &answer, &answer)
		})
	}
	_ = sending.Wait() // the promise of a candidate that was not reached expires
}

// takeOver reads the state of enough synchronized candidates to include every
// entry that a majority has stored. It merges what it read and replicates the
// result to a majority.
func (session *session) takeOver() (State, error) {
	group := session.group
	ctx, cancel := clocker.WithTimeout(session.ctx, group.Clock, group.Timing.SuspicionTimeout+group.Timing.TakeoverTimeout)
	defer cancel()
	candidates, err := session.readCandidates(ctx)
	if err != nil {
		return State{}, err
	}
	now := group.Clock.Now()
	group.mutex.Lock()
	changed := map[string]bool{}
	for _, other := range candidates {
		for _, id := range group.store.merge(now, other) {
			changed[id] = true
		}
	}
	// The merged state contains everything that a majority of each list has stored.
	group.complete = true
	state := group.store.state(now)
	changes := map[string][]Entries{}
	for vm, other := range candidates {
		changes[vm] = group.store.missingEntries(other, changed)
	}
	group.mutex.Unlock()
	return state, session.distribute(ctx, changes)
}

// readCandidates returns the states of other candidates, by VM, once they and
// this VM form a read quorum of each list.
func (session *session) readCandidates(ctx context.Context) (map[string]*candidateState, error) {
	count := newQuorum(session, readQuorum)
	var mutex sync.Mutex
	candidates := map[string]*candidateState{}
	session.group.mutex.Lock()
	digest := slices.Clone(session.group.store.digest)
	session.group.mutex.Unlock()
	for _, vm := range session.others() {
		session.spawn(func() {
			candidate := session.readState(ctx, vm, digest)
			if candidate == nil {
				return
			}
			mutex.Lock()
			candidates[vm] = candidate
			mutex.Unlock()
			count.add(vm)
		})
	}
	if err := count.wait(ctx); err != nil {
		return nil, errors.Join(errNoQuorum, err)
	}
	mutex.Lock()
	defer mutex.Unlock()
	return maps.Clone(candidates), nil
}

// readState returns the state of vm, with only those requests whose buckets differ
// from the digest. It returns nil if vm is not synchronized, knows a higher term,
// or has not answered when ctx is done. From the first page on, vm stores nothing
// for a lower term, so that its pages are consistent with each other.
func (session *session) readState(ctx context.Context, vm string, digest digest) *candidateState {
	group := session.group
	result := &candidateState{store: newStore(), buckets: bucketSet{}}
	for cursor := uint64(0); ; {
		var answer snapshotReply
		call := snapshotCall{header: session.header(), Cursor: cursor, Digest: digest}
		err := group.call(ctx, vm, methodSnapshot, group.Timing.HeartbeatInterval, call, &answer.reply, &answer)
		if err == nil {
			session.recordPeer(vm, answer.reply)
		}
		switch {
		case err == nil && answer.HigherTerm > session.Term():
			session.lose("a candidate knows a higher term")
			return nil
		case err == nil && answer.OK && !answer.Synchronized:
			return nil
		case err == nil && answer.OK:
			result.store.applyPage(group.Clock.Now(), answer.Page)
			for _, bucket := range answer.Buckets {
				result.buckets[bucket] = true
			}
			if !answer.Page.More {
				return result
			}
			cursor = answer.Page.Next
			continue
		}
		if clocker.Sleep(ctx, group.Clock, retryDelay) != nil {
			return nil
		}
	}
}

// distribute brings a majority to the merged state. Candidates that were read
// receive the entries that they lack, others the full state.
func (session *session) distribute(ctx context.Context, changes map[string][]Entries) error {
	count := newQuorum(session, leaser.Majority)
	for _, vm := range session.others() {
		missing, wasRead := changes[vm]
		session.spawn(func() {
			if !wasRead && clocker.Sleep(ctx, session.group.Clock, fullStateDelay) != nil {
				return
			}
			for ctx.Err() == nil && !count.isReached() {
				if wasRead && session.copyAll(vm, missing) || !wasRead && session.restoreIfKnown(ctx, vm) {
					count.add(vm)
					return
				}
				if clocker.Sleep(ctx, session.group.Clock, retryDelay) != nil {
					return
				}
			}
		})
	}
	if err := count.wait(ctx); err != nil {
		return errors.Join(errNoQuorum, err)
	}
	return nil
}

// restoreIfKnown sends the full state to vm if it has answered in this session, so
// that its incarnation is known.
func (session *session) restoreIfKnown(ctx context.Context, vm string) bool {
	incarnation, ok := session.incarnationOf(vm)
	return ok && session.restore(ctx, vm, incarnation)
}

// copyAll sends the changes to vm in order and reports whether all were stored.
func (session *session) copyAll(vm string, changes []Entries) bool {
	for _, entries := range changes {
		answer, err := session.copyOnce(vm, entries)
		if err != nil || !answer.OK || !answer.Synchronized {
			return false
		}
	}
	return true
}
