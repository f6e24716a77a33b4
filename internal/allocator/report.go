package allocator

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// sendReports sends a heartbeat with the slots in use by this VM to each broker.
func (allocator *Allocator) sendReports(ctx context.Context) {
	foreignSlots := map[string]map[string]map[string]int{} // by broker VM, service, upstream
	brokerTerms := map[string]map[string]uint64{}          // by broker VM, service
	for _, service := range allocator.allServices() {
		vm, term := service.brokerVM()
		if vm == "" {
			continue
		}
		counts := service.foreignSlots()
		if vm == allocator.VM {
			service.broker.SetForeignInFlight(vm, counts)
			continue
		}
		if foreignSlots[vm] == nil {
			foreignSlots[vm] = map[string]map[string]int{}
			brokerTerms[vm] = map[string]uint64{}
		}
		brokerTerms[vm][service.name] = term
		if counts != nil {
			foreignSlots[vm][service.name] = counts
		}
	}
	for vm, counts := range foreignSlots {
		allocator.mutex.Lock()
		busy := allocator.peer(vm).reporting
		allocator.peer(vm).reporting = true
		allocator.mutex.Unlock()
		if busy {
			continue
		}
		allocator.tasks.Go(func() error {
			message := reportMessage{ForeignSlots: counts, BrokerTerms: brokerTerms[vm]}
			if era := allocator.storeEra(); era > 0 {
				message.Era, message.Known, message.Uptime = era, allocator.knownRecords(), allocator.Clock.Now().Sub(allocator.startedAt)
				allocator.reportConfig(vm, &message)
			}
			message.NewestRevisions, message.NewestEras = encodeVersions(allocator.newestVersions())
			message.CompleteRevisions, message.CompleteEras = encodeVersions(allocator.completeVersions())
			allocator.sendReport(ctx, vm, message)
			return nil
		})
	}
	allocator.releaseSilentVMs()
}

// sendReport sends one report and applies the answer. A broker that does not answer
// counts as lost.
func (allocator *Allocator) sendReport(ctx context.Context, vm string, message reportMessage) {
	bound, cancel := clocker.WithTimeout(ctx, allocator.Clock, reportTimeout)
	defer cancel()
	var answer reportAnswer
	err := allocator.Peers.Call(bound, vm, callReport, message, &answer)
	now := allocator.Clock.Now()
	allocator.mutex.Lock()
	peer := allocator.peer(vm)
	peer.reporting = false
	lostSince := peer.lostSince
	if err == nil {
		peer.lastHeard, peer.lostSince = now, time.Time{}
		peer.ledTerms, peer.answeredAt, peer.storeLostFor, peer.listAge = answer.LedTerms, now, answer.StoreLostFor, answer.ListAge
	} else if lostSince.IsZero() && ctx.Err() == nil {
		peer.lostSince = now
	}
	allocator.mutex.Unlock()
	allocator.observeEra(answer.Era)
	if answer.Era > 0 {
		allocator.applyAnsweredConfig(vm, answer)
	}
	for name, records := range answer.Known {
		if service := allocator.service(name); service != nil {
			service.learn(vm, records)
		}
	}
	allocator.applyRelayedChanges(answer)
	if err == nil && answer.StoreLostFor == 0 {
		allocator.mutex.Lock()
		allocator.storeKnownAt = now
		allocator.mutex.Unlock()
	}
	switch {
	case err == nil && !lostSince.IsZero():
		allocator.Log.Info("broker VM regained", "peer", vm, "lostForMs", now.Sub(lostSince).Milliseconds())
	case err != nil && lostSince.IsZero() && ctx.Err() == nil:
		allocator.Log.Warn("broker VM lost", "peer", vm, "error", err.Error())
		// Ends pending slot requests to that VM, which then acquire slots elsewhere.
		allocator.Peers.Drop(vm)
	}
}

// releaseSilentVMs releases the slots of VMs whose last report is older than
// silenceTimeout.
func (allocator *Allocator) releaseSilentVMs() {
	now := allocator.Clock.Now()
	allocator.mutex.Lock()
	var silent []string
	for vm, peer := range allocator.peers {
		if !peer.lastHeard.IsZero() && now.Sub(peer.lastHeard) > silenceTimeout && now.Sub(peer.lastHeard) <= silenceTimeout+2*reportInterval {
			silent = append(silent, vm)
		}
	}
	allocator.mutex.Unlock()
	for _, vm := range silent {
		for _, service := range allocator.allServices() {
			if service.isBroker() {
				service.broker.ReleaseVM(vm)
			}
		}
	}
}

// reachableByOthers reports whether any of up to indirectProbes other VMs can reach the
// broker.
func (allocator *Allocator) reachableByOthers(ctx context.Context, vm string) bool {
	asked := 0
	results := make(chan bool, indirectProbes)
	names := allocator.Members.VMs()
	// Processes start at different positions of the list, so that they probe different VMs.
	if len(names) > 0 {
		offset := int(xxhash.Sum64String(allocator.BootID) % uint64(len(names)))
		names = slices.Concat(names[offset:], names[:offset])
	}
	for _, name := range names {
		if name == allocator.VM || name == vm || asked == indirectProbes {
			continue
		}
		asked++
		allocator.tasks.Go(func() error {
			bound, cancel := clocker.WithTimeout(ctx, allocator.Clock, indirectProbeTimeout)
			defer cancel()
			var answer reachableAnswer
			err := allocator.Peers.Call(bound, name, callReachable, reachableMessage{VM: vm}, &answer)
			results <- err == nil && answer.Reachable
			return nil
		})
	}
	reachable := false
	for range asked {
		reachable = <-results || reachable
	}
	return reachable
}
