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
	// spreadPeriod is the time between two looks at the spread of the groups
	// over the VMs. A group moves at most once in a period, and only in calm.
	spreadPeriod = 10 * time.Second
	// spreadExcess is by how many groups a VM must exceed another candidate
	// before it hands one over, so that a move cannot be followed by its reverse.
	spreadExcess = 2
	// spreadTimeout bounds one hand-over.
	spreadTimeout = 2 * time.Second
)

// spread hands a group over, from time to time, when this VM serves more groups
// than another candidate. After a loss, or when groups were formed before all
// VMs were known, a few VMs would otherwise serve everything.
func (members *members) spread(ctx context.Context) error {
	for clocker.Sleep(ctx, members.clock, spreadPeriod) == nil {
		if group, successor, ok := members.excess(); ok {
			releasing, cancel := clocker.WithTimeout(ctx, members.clock, spreadTimeout)
			if err := group.Release(releasing, successor); err != nil {
				slog.Warn("a group was not handed over", "group", group.ID, "successor", successor, "error", err)
			}
			cancel()
		}
	}
	return nil
}

// excess returns a group that this VM should hand over, and to whom.
func (members *members) excess() (*replicator.Group, string, bool) {
	held := members.held()
	for id := range held {
		group, ok := members.manager.Group(id)
		if !ok || !group.CandidatesReady() || members.waiting(id) {
			continue
		}
		for _, candidate := range group.NewestRecord().Candidates {
			count, known := members.gossip.count(candidate)
			if known && count+spreadExcess <= len(held) && members.eligible(candidate) {
				return group, candidate, true
			}
		}
	}
	return nil, "", false
}

// waiting reports whether requests wait in the group's queues. A streamed upload
// among them could not follow a hand-over.
func (members *members) waiting(id string) bool {
	found := members.find(id)
	if found == nil {
		return false
	}
	status := found.dispatcher.Status()
	queued := status.Waiting
	for _, upstream := range status.Upstreams {
		for _, count := range upstream.Queued {
			queued += count
		}
	}
	return queued > 0
}

// eligible reports whether the VM may serve groups of this VM's zone. One that
// has announced its stop would not take the group, which would then be without
// a holder until the others suspect it.
func (members *members) eligible(vm string) bool {
	member, ok := members.tracker.Snapshot().Member(vm)
	return ok && member.Zone == members.settings.Zone && member.State == tracker.Alive && !slices.Contains(members.stops(), vm)
}
