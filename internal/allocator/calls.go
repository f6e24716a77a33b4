package allocator

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"github.com/cuminstream/cuminstream/pkg/broker"
)

// handleAcquire assigns a slot to a request of another VM, or names the broker if this
// VM is not the broker.
func (allocator *Allocator) handleAcquire(ctx context.Context, from string, decode func(any) error) (any, error) {
	var message acquireMessage
	if err := decode(&message); err != nil {
		return nil, err
	}
	service := allocator.service(message.Service)
	if service == nil {
		return acquireAnswer{NotBroker: true}, nil
	}
	vm, term := service.brokerVM()
	if !service.isBroker() {
		if !message.Local {
			service.mutex.Lock()
			era := service.claim.Era
			service.mutex.Unlock()
			return acquireAnswer{NotBroker: true, Broker: vm, Term: term, Era: era}, nil
		}
		term = allocator.localTerm()
	}
	decision := service.broker.Acquire(ctx, broker.Request{
		ID: message.RequestID, VM: from, Zone: message.Zone, Key: message.Key, Rank: message.Rank, BodyBytes: message.BodyBytes,
		Retry: message.Retry, Exclude: message.Exclude, Target: message.Target, Timeout: message.Timeout, StopsIn: message.StopsIn,
		Fingerprint: message.Fingerprint, Overflow: message.Overflow, Returned: message.Returned, MayHaveRun: message.MayHaveRun,
	})
	return acquireAnswer{
		Ticket: decision.Ticket, Upstream: decision.Upstream.ID, StartedAt: decision.Upstream.StartedAt, Address: decision.Upstream.Address,
		Refusal: decision.Refusal, Rule: decision.Rule, RetryAfter: decision.RetryAfter, Waited: decision.Waited, QueueLength: decision.QueueLength, Term: term, Slots: decision.Upstream.Slots,
	}, nil
}

// localTerm takes the place of the term for slots that this process assigns to other VMs in
// local mode. It differs between processes, whose tickets have the same numbers, and from all
// terms of brokers.
func (allocator *Allocator) localTerm() uint64 { return xxhash.Sum64String(allocator.BootID) | 1<<63 }

// handleRelease releases a slot that this VM assigned as the broker in its current term, or
// in local mode.
func (allocator *Allocator) handleRelease(_ context.Context, _ string, decode func(any) error) (any, error) {
	var message releaseMessage
	if err := decode(&message); err != nil {
		return nil, err
	}
	if message.Leaving {
		allocator.Observe(broker.Upstream{ID: message.Upstream, StartedAt: message.StartedAt}, broker.Notice{Leaving: true})
	}
	if service := allocator.service(message.Service); service != nil {
		if _, term := service.brokerVM(); (term == message.Term && service.isBroker()) || message.Term == allocator.localTerm() {
			service.broker.Release(broker.Result{
				Ticket: message.Ticket, Outcome: message.Outcome, Elapsed: message.Elapsed, FreeSlot: message.FreeSlot, Slowness: message.Slowness, Warmup: message.Warmup, Notice: broker.Notice{BusyFor: message.BusyFor},
			})
		}
	}
	return nil, nil
}

// handleReport records a VM's slots and its acknowledgment, and relays the changes in
// the store that it lacks.
func (allocator *Allocator) handleReport(_ context.Context, from string, decode func(any) error) (any, error) {
	var message reportMessage
	if err := decode(&message); err != nil {
		return nil, err
	}
	allocator.mutex.Lock()
	allocator.peer(from).lastHeard = allocator.Clock.Now()
	allocator.mutex.Unlock()
	allocator.observeEra(message.Era)
	allocator.observeVersions(decodeVersions(message.NewestRevisions, message.NewestEras))
	changes, completeTo := allocator.changesAfter(decodeVersions(message.CompleteRevisions, message.CompleteEras))
	answer := reportAnswer{
		LedTerms: map[string]uint64{}, Changes: changes, StoreLostFor: allocator.storeLostFor(),
		ListAge: allocator.listAge(), StoreRegainedAgo: allocator.storeRegainedAgo(),
	}
	answer.NewestRevisions, answer.NewestEras = encodeVersions(allocator.newestVersions())
	answer.CompleteTo, answer.CompleteToEras = encodeVersions(completeTo)
	if era := allocator.storeEra(); era > 0 {
		answer.Era, answer.Known = era, allocator.knownRecords()
		allocator.answerConfig(from, message, &answer)
	}
	for _, service := range allocator.allServices() {
		service.learn(from, message.Known[service.name])
		service.recordConfirmation(from, message)
		if term, ok := service.ledTerm(); ok {
			answer.LedTerms[service.name] = term
		}
		if service.isBroker() {
			service.broker.SetForeignInFlight(from, message.ForeignSlots[service.name])
			service.recordAcknowledgment(from, message.BrokerTerms[service.name])
		}
	}
	return answer, nil
}

// handleStepDown ends this process's term as broker because it has been replaced. Once
// the call is answered, this process grants no more keys.
func (allocator *Allocator) handleStepDown(_ context.Context, from string, decode func(any) error) (any, error) {
	var message stepDownMessage
	if err := decode(&message); err != nil {
		return nil, err
	}
	var answer stepDownAnswer
	if service := allocator.service(message.Service); service != nil {
		answer.StaleRenewal = service.stepDown(from, message.Term, message.Era)
	}
	return answer, nil
}

// handleStatus tells a VM that takes over a service which process runs here, and for how
// long brokers before it may still renew grants.
func (allocator *Allocator) handleStatus(_ context.Context, _ string, decode func(any) error) (any, error) {
	var message statusMessage
	if err := decode(&message); err != nil {
		return nil, err
	}
	answer := statusAnswer{BootID: allocator.BootID}
	if service := allocator.service(message.Service); service != nil {
		answer.StaleRenewal = service.staleRenewal()
	}
	return answer, nil
}

// handleReachable answers an indirect probe: whether this VM hears from the given VM.
func (allocator *Allocator) handleReachable(_ context.Context, _ string, decode func(any) error) (any, error) {
	var message reachableMessage
	if err := decode(&message); err != nil {
		return nil, err
	}
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	known := allocator.peers[message.VM]
	return reachableAnswer{Reachable: known != nil && known.lostSince.IsZero() && allocator.Clock.Now().Sub(known.lastHeard) < silenceTimeout}, nil
}
