package allocator

import (
	"context"

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
	if !service.isBroker() {
		vm, term := service.brokerVM()
		return acquireAnswer{NotBroker: true, Broker: vm, Term: term}, nil
	}
	_, term := service.brokerVM()
	decision := service.broker.Acquire(ctx, broker.Request{
		ID: message.RequestID, VM: from, Zone: message.Zone, Key: message.Key, Rank: message.Rank, BodyBytes: message.BodyBytes,
		Retry: message.Retry, Exclude: message.Exclude, Target: message.Target, Timeout: message.Timeout,
		Fingerprint: message.Fingerprint, Overflow: message.Overflow, Returned: message.Returned, MayHaveRun: message.MayHaveRun,
	})
	return acquireAnswer{
		Ticket: decision.Ticket, Upstream: decision.Upstream.ID, StartedAt: decision.Upstream.StartedAt, Address: decision.Upstream.Address,
		Refusal: decision.Refusal, Rule: decision.Rule, RetryAfter: decision.RetryAfter, Waited: decision.Waited, QueueLength: decision.QueueLength, Term: term, Slots: decision.Upstream.Slots,
	}, nil
}

// handleRelease releases a slot that this broker assigned in its current term.
func (allocator *Allocator) handleRelease(_ context.Context, _ string, decode func(any) error) (any, error) {
	var message releaseMessage
	if err := decode(&message); err != nil {
		return nil, err
	}
	if message.Leaving {
		allocator.Observe(broker.Upstream{ID: message.Upstream, StartedAt: message.StartedAt}, broker.Notice{Leaving: true})
	}
	if service := allocator.service(message.Service); service != nil {
		if _, term := service.brokerVM(); term == message.Term && service.isBroker() {
			service.broker.Release(broker.Result{
				Ticket: message.Ticket, Outcome: message.Outcome, Elapsed: message.Elapsed, FreeSlot: message.FreeSlot, Notice: broker.Notice{BusyFor: message.BusyFor},
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
	allocator.observeRevisions(message.NewestRevisions)
	changes, completeTo := allocator.changesAfter(message.CompleteRevisions)
	answer := reportAnswer{
		LedTerms: map[string]uint64{}, NewestRevisions: allocator.newestRevisions(), Changes: changes, CompleteTo: completeTo, StoreLostFor: allocator.storeLostFor(),
		ListAge: allocator.listAge(), StoreRegainedAgo: allocator.storeRegainedAgo(),
	}
	for _, service := range allocator.allServices() {
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
		answer.StaleRenewal = service.stepDown(from, message.Term)
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
