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
	// minPoll is the time between reads of the platform's list in a small
	// fleet, and while a VM is suspected.
	minPoll = 5 * time.Second
	// pollPerVM lengthens the time with the fleet. An entry of the list takes
	// about 100 bytes, so that each VM reads 500 bytes/s at any size.
	pollPerVM = 200 * time.Millisecond
	// listTimeout bounds a read of the list.
	listTimeout = 3 * time.Second
	// staleAfter is the number of missed reads after which the members are read
	// from peers.
	staleAfter = 3
	// pageSize bounds the members in an answer of a peer.
	pageSize = 32
)

// useSeeds makes the seeds known to the tracker as names and addresses.
func (heartbeater *Heartbeater) useSeeds() {
	entries := make([]tracker.Entry, 0, len(heartbeater.Seeds))
	for _, seed := range heartbeater.Seeds {
		entries = append(entries, tracker.Entry{VM: listedVM(seed), Age: -1})
	}
	heartbeater.tell("", func() { heartbeater.Tracker.MergeEntries(entries) })
}

func listedVM(vm platformer.VM) tracker.VM {
	return tracker.VM{Name: vm.Name, Zone: vm.Zone, Address: vm.Address, OperatorAddress: vm.Operator, Leaving: vm.Leaving}
}

// poll reads the platform's list until ctx is done. While it is not available,
// the members are read from peers, a page at a time.
func (heartbeater *Heartbeater) poll(ctx context.Context) error {
	available := true
	for {
		err := heartbeater.readList(ctx)
		if now := err == nil; now != available && ctx.Err() == nil {
			available = now
			slog.Info("availability of the platform's list of VMs has changed", "available", now, "error", err)
		}
		interval := heartbeater.pollInterval()
		if err != nil && heartbeater.elapsedSinceList() > staleAfter*interval {
			heartbeater.readMembers(ctx)
		}
		// Between 0.8 and 1.2 intervals, so that the VMs do not read at once.
		jittered := time.Duration(float64(interval) * (0.8 + 0.4*rand.Float64()))
		if clocker.Sleep(ctx, heartbeater.Clock, jittered) != nil {
			return nil
		}
	}
}

func (heartbeater *Heartbeater) elapsedSinceList() time.Duration {
	heartbeater.mutex.Lock()
	defer heartbeater.mutex.Unlock()
	return heartbeater.elapsed(heartbeater.listed)
}

// pollInterval is short while a VM is suspected, since only the list can then
// show that it is gone, or no list has arrived yet.
func (heartbeater *Heartbeater) pollInterval() time.Duration {
	snapshot := heartbeater.Tracker.Snapshot()
	for member := range snapshot.All() {
		if member.State == tracker.Suspected {
			return minPoll
		}
	}
	heartbeater.mutex.Lock()
	defer heartbeater.mutex.Unlock()
	if heartbeater.listed.IsZero() {
		return minPoll
	}
	return max(minPoll, time.Duration(snapshot.Len()+1)*pollPerVM)
}

func (heartbeater *Heartbeater) readList(ctx context.Context) error {
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
		vms = append(vms, listedVM(vm))
	}
	heartbeater.tell("", func() { heartbeater.Tracker.SetPlatformList(vms) })
	heartbeater.mutex.Lock()
	defer heartbeater.mutex.Unlock()
	heartbeater.listed = heartbeater.Clock.Now()
	return nil
}

// readMembers asks one neighbour for the next page of its members.
func (heartbeater *Heartbeater) readMembers(ctx context.Context) {
	names := heartbeater.Neighbors()
	if len(names) == 0 {
		return
	}
	from := names[rand.IntN(len(names))]
	heartbeater.mutex.Lock()
	after := heartbeater.synced
	heartbeater.mutex.Unlock()
	ctx, cancel := clocker.WithTimeout(ctx, heartbeater.Clock, farInterval)
	defer cancel()
	var answer members
	if heartbeater.Caller.Call(ctx, from, methodMembers, page{After: after}, &answer) != nil {
		return
	}
	next := "" // begin again after the last page
	if len(answer.Entries) > 0 {
		next = answer.Entries[len(answer.Entries)-1].Name
	}
	heartbeater.tell("", func() { heartbeater.toldBy(answer.Entries) })
	heartbeater.mutex.Lock()
	defer heartbeater.mutex.Unlock()
	heartbeater.synced = next
}

// answerMembers answers with the members after a name, in the order of names.
func (heartbeater *Heartbeater) answerMembers(_ context.Context, _ string, decode func(any) error) (any, error) {
	var asked page
	if err := decode(&asked); err != nil {
		return nil, answerer.From(err)
	}
	var answer members
	for _, known := range heartbeater.Tracker.Entries() {
		if known.Name <= asked.After {
			continue
		}
		if len(answer.Entries) == pageSize {
			break
		}
		answer.Entries = append(answer.Entries, toEntry(known))
	}
	return answer, nil
}
