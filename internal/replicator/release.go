package replicator

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// releasePoll is the time between two looks whether the successor serves.
const releasePoll = retryDelay / 4

// Release hands the lease to the successor, or to the best candidate if
// successor is empty, and returns once another VM serves the group. A group that
// this VM does not serve is left as it is.
func (group *Group) Release(ctx context.Context, successor string) error {
	group.prepare()
	group.mutex.Lock()
	tenure := group.tenure
	if tenure == nil || tenure.phase != serving {
		group.mutex.Unlock()
		return nil
	}
	group.mutex.Unlock()
	if successor == "" {
		successor = tenure.successor()
	}
	if successor == "" {
		return fmt.Errorf("group %s has no synchronized candidate that can take over", group.ID)
	}
	if !tenure.release(ctx, successor) {
		return ErrLeaseLost
	}
	return group.awaitSuccessor(ctx, tenure.Term())
}

// Retire keeps this VM from becoming holder again. It does not end a lease under
// which the member has begun; Release does.
func (group *Group) Retire() {
	group.prepare()
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.retired = true
	if group.tenure != nil && group.tenure.phase == electing {
		group.tenure.loseLocked("the VM stops")
	}
}

// successor returns the first synchronized candidate that has answered lately. A
// candidate that is about to stop comes last.
func (tenure *tenure) successor() string {
	group := tenure.group
	candidates := group.candidatesBehind()
	tenure.mutex.Lock()
	defer tenure.mutex.Unlock()
	now := group.Clock.Now()
	leaving := ""
	for _, vm := range candidates {
		known := tenure.peers[vm]
		if known == nil || !known.synchronized || now.Sub(known.answered) >= group.Timing.SuspicionTimeout {
			continue
		}
		if group.Leaving == nil || !group.Leaving(vm) {
			return vm
		}
		leaving = vm
	}
	return leaving
}

// release ends the work of the member, then the lease, and tells the candidates.
func (tenure *tenure) release(ctx context.Context, successor string) bool {
	group := tenure.group
	group.mutex.Lock()
	if tenure.phase != serving {
		group.mutex.Unlock()
		return false
	}
	tenure.phase = releasing
	tenure.holder.End()
	group.mutex.Unlock()

	inFlight := group.Handler.End(true)

	group.mutex.Lock()
	now := group.Clock.Now()
	group.store.setInFlight(now, tenure.Term(), inFlight)
	group.voter.Release(tenure.Term(), group.VM)
	group.quietSince = now
	group.mutex.Unlock()
	group.note("leaseReleased", tenure.Term(), successor)
	tenure.tell(ctx, releaseCall{header: tenure.header(), Successor: successor, InFlight: inFlight})
	tenure.cancel(ErrLeaseLost)
	return true
}

// released reports whether the tenure was given up by Release.
func (group *Group) released(tenure *tenure) bool {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return tenure.phase == releasing
}

// awaitSuccessor returns once another VM serves the group under a higher term.
func (group *Group) awaitSuccessor(ctx context.Context, term uint64) error {
	ctx, cancel := clocker.WithTimeout(ctx, group.Clock, group.Timing.SuspicionTimeout+group.Timing.LeaseDuration)
	defer cancel()
	for {
		if _, newer, known := group.Holder(); known && newer > term {
			return nil
		}
		if err := clocker.Sleep(ctx, group.Clock, releasePoll); err != nil {
			return errors.Join(fmt.Errorf("group %s: no successor has begun", group.ID), err)
		}
	}
}

// candidatesBehind returns the other candidates, beginning with the one behind
// this VM.
func (group *Group) candidatesBehind() []string {
	candidates := group.NewestRecord().Candidates
	own := slices.Index(candidates, group.VM)
	if own < 0 {
		return candidates
	}
	return slices.Concat(candidates[own+1:], candidates[:own])
}
