package heartbeater

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cuminstream/cuminstream/internal/platformer"
	"github.com/cuminstream/cuminstream/pkg/answerer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/tracker"
)

const (
	// minPollInterval is the time between reads of the platform's list in a small
	// fleet, and in any fleet while a VM is suspected.
	minPollInterval = 5 * time.Second
	// pollIntervalPerVM scales the poll interval with the size of the fleet. An
	// entry of the list takes about 100 bytes, so each VM reads 500 bytes/s at any
	// size.
	pollIntervalPerVM = 200 * time.Millisecond
	// listTimeout is the timeout of a read of the list.
	listTimeout = 3 * time.Second
	// maxMissedReads is the number of poll intervals without a list after which
	// the members are read from peers instead.
	maxMissedReads = 3
	// maxPageEntries bounds the members in one response of a peer.
	maxPageEntries = 32
)

// addSeeds adds the seeds to the tracker as VMs that were never heard from.
func (heartbeater *Heartbeater) addSeeds() {
	entries := make([]tracker.Entry, 0, len(heartbeater.Seeds))
	for _, seed := range heartbeater.Seeds {
		entries = append(entries, tracker.Entry{VM: toTrackerVM(seed), Age: -1})
	}
	heartbeater.withSource("", func() { heartbeater.Tracker.MergeEntries(entries) })
}

func toTrackerVM(vm platformer.VM) tracker.VM {
	return tracker.VM{Name: vm.Name, Zone: vm.Zone, Address: vm.Address, OperatorAddress: vm.Operator, Leaving: vm.Leaving}
}

// pollPlatform polls the platform's list of VMs until ctx is done. While the list
// is not available, members are read from peers, one page at a time.
func (heartbeater *Heartbeater) pollPlatform(ctx context.Context) error {
	available := true
	for {
		err := heartbeater.readPlatformList(ctx)
		if now := err == nil; now != available && ctx.Err() == nil {
			available = now
			slog.Info("availability of the platform's list of VMs changed", "available", now, "error", err)
		}
		interval := heartbeater.pollInterval()
		if err != nil && heartbeater.timeSinceList() > maxMissedReads*interval {
			heartbeater.readMembersFromPeer(ctx)
		}
		// Jitter of 20 % either way keeps the VMs from reading at the same time.
		jittered := time.Duration(float64(interval) * (0.8 + 0.4*rand.Float64()))
		if clocker.Sleep(ctx, heartbeater.Clock, jittered) != nil {
			return nil
		}
	}
}

func (heartbeater *Heartbeater) timeSinceList() time.Duration {
	heartbeater.mutex.Lock()
	defer heartbeater.mutex.Unlock()
	return heartbeater.timeSince(heartbeater.listReadAt)
}

// pollInterval returns the time until the next read of the list. It is short while
// a VM is suspected, since only the list shows whether that VM is gone, and until
// the first list was read.
func (heartbeater *Heartbeater) pollInterval() time.Duration {
	snapshot := heartbeater.Tracker.Snapshot()
	for member := range snapshot.All() {
		if member.State == tracker.Suspected {
			return minPollInterval
		}
	}
	heartbeater.mutex.Lock()
	defer heartbeater.mutex.Unlock()
	if heartbeater.listReadAt.IsZero() {
		return minPollInterval
	}
	return max(minPollInterval, time.Duration(snapshot.Len()+1)*pollIntervalPerVM)
}

func (heartbeater *Heartbeater) readPlatformList(ctx context.Context) error {
	if heartbeater.ListVMs == nil {
		return nil
	}
	ctx, cancel := clocker.WithTimeout(ctx, heartbeater.Clock, listTimeout)
	defer cancel()
	listed, err := heartbeater.ListVMs(ctx)
	if err != nil {
		return err
	}
	vms := make([]tracker.VM, 0, len(listed))
	for _, vm := range listed {
		vms = append(vms, toTrackerVM(vm))
	}
	heartbeater.withSource("", func() { heartbeater.Tracker.SetPlatformList(vms) })
	heartbeater.mutex.Lock()
	defer heartbeater.mutex.Unlock()
	heartbeater.listReadAt = heartbeater.Clock.Now()
	return nil
}

// readMembersFromPeer reads the next page of members from a random neighbor.
func (heartbeater *Heartbeater) readMembersFromPeer(ctx context.Context) {
	names := heartbeater.Neighbors()
	if len(names) == 0 {
		return
	}
	from := names[rand.IntN(len(names))]
	heartbeater.mutex.Lock()
	after := heartbeater.membersCursor
	heartbeater.mutex.Unlock()
	ctx, cancel := clocker.WithTimeout(ctx, heartbeater.Clock, nonGroupInterval)
	defer cancel()
	var answer membersResponse
	if heartbeater.Caller.Call(ctx, from, methodMembers, membersRequest{After: after}, &answer) != nil {
		return
	}
	next := "" // start over after the last page
	if len(answer.Entries) > 0 {
		next = answer.Entries[len(answer.Entries)-1].Name
	}
	heartbeater.withSource("", func() { heartbeater.reportEntries(answer.Entries) })
	heartbeater.mutex.Lock()
	defer heartbeater.mutex.Unlock()
	heartbeater.membersCursor = next
}

// handleMembers returns a page of members in the order of their names.
func (heartbeater *Heartbeater) handleMembers(_ context.Context, _ string, decode func(any) error) (any, error) {
	var request membersRequest
	if err := decode(&request); err != nil {
		return nil, answerer.From(err)
	}
	var answer membersResponse
	for _, known := range heartbeater.Tracker.Entries() {
		if known.Name <= request.After {
			continue
		}
		if len(answer.Entries) == maxPageEntries {
			break
		}
		answer.Entries = append(answer.Entries, newEntry(known))
	}
	return answer, nil
}
