package allocator

import (
	"context"

	"github.com/cuminstream/cuminstream/pkg/broker"
)

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
		Fingerprint: message.Fingerprint,
	})
	return acquireAnswer{
		Ticket: decision.Ticket, Upstream: decision.Upstream.ID, StartedAt: decision.Upstream.StartedAt, Address: decision.Upstream.Address,
		Refusal: decision.Refusal, RetryAfter: decision.RetryAfter, Waited: decision.Waited, QueueLength: decision.QueueLength, Term: term, Slots: decision.Upstream.Slots,
	}, nil
}

func (allocator *Allocator) handleRelease(_ context.Context, _ string, decode func(any) error) (any, error) {
	var message releaseMessage
	if err := decode(&message); err != nil {
		return nil, err
	}
	if service := allocator.service(message.Service); service != nil {
		if _, term := service.brokerVM(); term == message.Term && service.isBroker() {
			service.broker.Release(broker.Result{Ticket: message.Ticket, Outcome: message.Outcome, Elapsed: message.Elapsed, FreeSlot: message.FreeSlot})
		}
	}
	return nil, nil
}

func (allocator *Allocator) handleReport(_ context.Context, from string, decode func(any) error) (any, error) {
	var message reportMessage
	if err := decode(&message); err != nil {
		return nil, err
	}
	allocator.mutex.Lock()
	allocator.peer(from).lastHeard = allocator.Clock.Now()
	allocator.mutex.Unlock()
	allocator.observeRevisions(message.NewestRevisions)
	answer := reportAnswer{
		LedTerms: map[string]uint64{}, NewestRevisions: allocator.newestRevisions(), Changes: allocator.changesAfter(message.CompleteRevisions), StoreLostFor: allocator.storeLostFor(),
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

// handleStepDown stops the work of a broker that has been replaced. Once it has
// answered, this VM grants no more keys.
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
