package starter

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/cuminstream/cuminstream/internal/replicator"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/tracker"
)

const (
	// rebalanceInterval is the time between two checks of the distribution of the
	// groups over the VMs. This VM hands over at most one group per interval, and
	// only one whose candidates are ready and that has no queued requests.
	rebalanceInterval = 10 * time.Second
	// rebalanceThreshold is how many more groups than another candidate a VM must
	// serve before it hands one over. With a difference of 1, a move could be
	// followed by its reverse.
	rebalanceThreshold = 2
	// handoverTimeout bounds one handover.
	handoverTimeout = 2 * time.Second
)

// rebalance periodically hands a group over if this VM serves more groups than
// another candidate. Otherwise a few VMs would serve all groups after the loss of
// a VM, or when the groups were formed before all VMs were known.
func (groups *localGroups) rebalance(ctx context.Context) error {
	for clocker.Sleep(ctx, groups.clock, rebalanceInterval) == nil {
		if group, successor, ok := groups.nextHandover(); ok {
			releaseContext, cancel := clocker.WithTimeout(ctx, groups.clock, handoverTimeout)
			if err := group.Release(releaseContext, successor); err != nil {
				slog.Warn("group handover failed", "group", group.ID, "successor", successor, "error", err)
			}
			cancel()
		}
	}
	return nil
}

// nextHandover returns a group that this VM should hand over, and the successor.
func (groups *localGroups) nextHandover() (*replicator.Group, string, bool) {
	held := groups.heldTerms()
	for id := range held {
		group, ok := groups.manager.Group(id)
		if !ok || !group.CandidatesReady() || groups.hasQueuedRequests(id) {
			continue
		}
		for _, candidate := range group.NewestRecord().Candidates {
			count, known := groups.gossip.groupCount(candidate)
			if known && count+rebalanceThreshold <= len(held) && groups.isEligible(candidate) {
				return group, candidate, true
			}
		}
	}
	return nil, "", false
}

// hasQueuedRequests reports whether requests wait in the queues of the group. A
// streamed upload among them could not be moved to the new holder.
func (groups *localGroups) hasQueuedRequests(id string) bool {
	local := groups.find(id)
	if local == nil {
		return false
	}
	status := local.dispatcher.Status()
	queued := status.Waiting
	for _, upstream := range status.Upstreams {
		for _, count := range upstream.Queued {
			queued += count
		}
	}
	return queued > 0
}

// isEligible reports whether the VM may serve groups of this VM's zone. A VM that
// has announced its stop would not accept the group, which would then have no
// holder until the other candidates suspect that VM.
func (groups *localGroups) isEligible(vm string) bool {
	member, ok := groups.tracker.Snapshot().Member(vm)
	return ok && member.Zone == groups.settings.Zone && member.State == tracker.Alive && !slices.Contains(groups.plannedStops(), vm)
}
