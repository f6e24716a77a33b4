package replicator

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// successorPollInterval is the time between two checks whether the successor
// serves the group.
const successorPollInterval = retryDelay / 4

// Release releases the lease to the successor, or to the most suitable candidate if
// successor is empty, and returns once another VM serves the group. It does nothing
// if this VM does not serve the group.
func (group *Group) Release(ctx context.Context, successor string) error {
	group.initialize()
	group.mutex.Lock()
	session := group.session
	if session == nil || session.phase != serving {
		group.mutex.Unlock()
		return nil
	}
	group.mutex.Unlock()
	if successor == "" {
		successor = session.successor()
	}
	if successor == "" {
		return fmt.Errorf("group %s has no synchronized candidate that can take over", group.ID)
	}
	if !session.release(ctx, successor) {
		return ErrLeaseLost
	}
	return group.awaitSuccessor(ctx, session.Term())
}

// Retire keeps this VM from becoming holder again. It ends a campaign, but not a
// lease under which the group is served; use Release for that.
func (group *Group) Retire() {
	group.initialize()
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.retired = true
	if group.session != nil && group.session.phase == electing {
		group.session.loseLocked("the VM stops")
	}
}

// successor returns the first synchronized candidate that has answered within the
// suspicion timeout. A candidate that is about to stop is returned only if there
// is no other.
func (session *session) successor() string {
	group := session.group
	candidates := group.otherCandidates()
	session.mutex.Lock()
	defer session.mutex.Unlock()
	now := group.Clock.Now()
	leaving := ""
	for _, vm := range candidates {
		known := session.peers[vm]
		if known == nil || !known.synchronized || now.Sub(known.lastAnswer) >= group.Timing.SuspicionTimeout {
			continue
		}
		if group.Leaving == nil || !group.Leaving(vm) {
			return vm
		}
		leaving = vm
	}
	return leaving
}

// release ends the lease and then the work of the lease handler, and sends the
// release to the other candidates. It reports false if this VM does not serve.
func (session *session) release(ctx context.Context, successor string) bool {
	group := session.group
	group.mutex.Lock()
	if session.phase != serving {
		group.mutex.Unlock()
		return false
	}
	session.phase = releasing
	session.lease.End()
	group.mutex.Unlock()

	inFlight := group.LeaseHandler.End(true)

	group.mutex.Lock()
	now := group.Clock.Now()
	group.store.setInFlight(now, session.Term(), inFlight)
	group.voter.Release(session.Term(), group.VM)
	group.lastContact = now
	group.mutex.Unlock()
	group.recordEvent("leaseReleased", session.Term(), successor)
	session.sendRelease(ctx, releaseCall{header: session.header(), Successor: successor, InFlight: inFlight})
	session.cancel(ErrLeaseLost)
	return true
}

// released reports whether the session was ended by Release.
func (group *Group) released(session *session) bool {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return session.phase == releasing
}

// awaitSuccessor returns once another VM serves the group under a higher term.
func (group *Group) awaitSuccessor(ctx context.Context, term uint64) error {
	ctx, cancel := clocker.WithTimeout(ctx, group.Clock, group.Timing.SuspicionTimeout+group.Timing.LeaseDuration)
	defer cancel()
	for {
		if _, newer, known := group.Holder(); known && newer > term {
			return nil
		}
		if err := clocker.Sleep(ctx, group.Clock, successorPollInterval); err != nil {
			return errors.Join(fmt.Errorf("group %s: no successor has started to serve it", group.ID), err)
		}
	}
}

// otherCandidates returns the other candidates in circular order, beginning with
// the one after this VM.
func (group *Group) otherCandidates() []string {
	candidates := group.NewestRecord().Candidates
	own := slices.Index(candidates, group.VM)
	if own < 0 {
		return candidates
	}
	return slices.Concat(candidates[own+1:], candidates[:own])
}
