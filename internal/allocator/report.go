package allocator

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// report tells the brokers that this VM lives and what it has in flight.
func (allocator *Allocator) report(ctx context.Context) {
	foreign := map[string]map[string]map[string]int{} // by broker VM, service, upstream
	follows := map[string]map[string]uint64{}         // by broker VM, service
	for _, service := range allocator.all() {
		vm, term := service.brokerVM()
		if vm == "" {
			continue
		}
		counts := service.foreign()
		if vm == allocator.VM {
			service.broker.SetForeignInFlight(vm, counts)
			continue
		}
		if foreign[vm] == nil {
			foreign[vm] = map[string]map[string]int{}
			follows[vm] = map[string]uint64{}
		}
		follows[vm][service.name] = term
		if counts != nil {
			foreign[vm][service.name] = counts
		}
	}
	for vm, counts := range foreign {
		allocator.mutex.Lock()
		busy := allocator.peer(vm).asking
		allocator.peer(vm).asking = true
		allocator.mutex.Unlock()
		if busy {
			continue
		}
		allocator.group.Go(func() error {
			allocator.reportTo(ctx, vm, reportMessage{Foreign: counts, Follows: follows[vm], Newest: allocator.newest(), Complete: allocator.complete()})
			return nil
		})
	}
	allocator.forgetSilent()
}

func (allocator *Allocator) reportTo(ctx context.Context, vm string, message reportMessage) {
	bound, cancel := clocker.WithTimeout(ctx, allocator.Clock, reportTimeout)
	defer cancel()
	var answer reportAnswer
	err := allocator.Peers.Call(bound, vm, callReport, message, &answer)
	now := allocator.Clock.Now()
	allocator.mutex.Lock()
	peer := allocator.peer(vm)
	peer.asking = false
	was := peer.lostSince
	if err == nil {
		peer.heard, peer.lostSince = now, time.Time{}
		peer.leads, peer.said, peer.storeLost, peer.listedAgo = answer.Leads, now, answer.StoreLost, answer.ListedAgo
	} else if was.IsZero() && ctx.Err() == nil {
		peer.lostSince = now
	}
	allocator.mutex.Unlock()
	allocator.relay(answer)
	if err == nil && answer.StoreLost == 0 {
		allocator.mutex.Lock()
		allocator.heard = now
		allocator.mutex.Unlock()
	}
	switch {
	case err == nil && !was.IsZero():
		allocator.Log.Info("broker VM regained", "peer", vm, "lostForMs", now.Sub(was).Milliseconds())
	case err != nil && was.IsZero() && ctx.Err() == nil:
		allocator.Log.Warn("broker VM lost", "peer", vm, "error", err.Error())
		// Requests that wait for its answer get their slots elsewhere.
		allocator.Peers.Drop(vm)
	}
}

// forgetSilent frees the slots of VMs that have not reported for some time.
func (allocator *Allocator) forgetSilent() {
	now := allocator.Clock.Now()
	allocator.mutex.Lock()
	var silent []string
	for vm, peer := range allocator.peers {
		if !peer.heard.IsZero() && now.Sub(peer.heard) > silentVM && now.Sub(peer.heard) <= silentVM+2*reportInterval {
			silent = append(silent, vm)
		}
	}
	allocator.mutex.Unlock()
	for _, vm := range silent {
		for _, service := range allocator.all() {
			if service.mine() {
				service.broker.ReleaseVM(vm)
			}
		}
	}
}

// heardByOthers asks some VMs whether they hear the broker.
func (allocator *Allocator) heardByOthers(ctx context.Context, vm string) bool {
	asked := 0
	heard := make(chan bool, witnesses)
	names := allocator.Members.VMs()
	// Each VM begins at another place of the list.
	if len(names) > 0 {
		offset := int(xxhash.Sum64String(allocator.Boot) % uint64(len(names)))
		names = append(names[offset:], names[:offset]...)
	}
	for _, name := range names {
		if name == allocator.VM || name == vm || asked == witnesses {
			continue
		}
		asked++
		allocator.group.Go(func() error {
			bound, cancel := clocker.WithTimeout(ctx, allocator.Clock, hearsTimeout)
			defer cancel()
			var answer hearsAnswer
			err := allocator.Peers.Call(bound, name, callHears, hearsMessage{VM: vm}, &answer)
			heard <- err == nil && answer.Hears
			return nil
		})
	}
	result := false
	for range asked {
		result = <-heard || result
	}
	return result
}
