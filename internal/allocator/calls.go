package allocator

import (
	"context"

	"github.com/cuminstream/cuminstream/pkg/broker"
)

func (allocator *Allocator) handleAsk(ctx context.Context, from string, decode func(any) error) (any, error) {
	var message askMessage
	if err := decode(&message); err != nil {
		return nil, err
	}
	service := allocator.service(message.Service)
	if service == nil {
		return askAnswer{NotBroker: true}, nil
	}
	if !service.mine() {
		vm, term := service.brokerVM()
		return askAnswer{NotBroker: true, Broker: vm, Term: term}, nil
	}
	_, term := service.brokerVM()
	decision := service.broker.Acquire(ctx, broker.Request{
		ID: message.Request, VM: from, Zone: message.Zone, Key: message.Key, Rank: message.Rank, BodyBytes: message.Bytes,
		Retry: message.Repeat, Exclude: message.Exclude, Target: message.Target, Timeout: message.Left,
		Fingerprint: message.Fingerprint,
	})
	return askAnswer{
		Ticket: decision.Ticket, Upstream: decision.Upstream.ID, Born: decision.Upstream.StartedAt, Address: decision.Upstream.Address,
		Refused: decision.Refusal, RetryAfter: decision.RetryAfter, Waited: decision.Waited, Queue: decision.QueueLength, Term: term, Slots: decision.Upstream.Slots,
	}, nil
}

func (allocator *Allocator) handleDone(_ context.Context, _ string, decode func(any) error) (any, error) {
	var message doneMessage
	if err := decode(&message); err != nil {
		return nil, err
	}
	if service := allocator.service(message.Service); service != nil {
		if _, term := service.brokerVM(); term == message.Term && service.mine() {
			service.broker.Release(broker.Result{Ticket: message.Ticket, Outcome: message.Outcome, Elapsed: message.Elapsed, FreeSlot: message.Spare})
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
	allocator.peer(from).heard = allocator.Clock.Now()
	allocator.mutex.Unlock()
	allocator.compare(message.Newest)
	answer := reportAnswer{
		Leads: map[string]uint64{}, Newest: allocator.newest(), Changes: allocator.changesAfter(message.Complete), StoreLost: allocator.storeLost(),
		ListedAgo: allocator.listedAgo(), RegainedAgo: allocator.regainedAgo(),
	}
	for _, service := range allocator.all() {
		if term, ok := service.leads(); ok {
			answer.Leads[service.name] = term
		}
		if service.mine() {
			service.broker.SetForeignInFlight(from, message.Foreign[service.name])
			service.followed(from, message.Follows[service.name])
		}
	}
	return answer, nil
}

// handleDepose stops the work of a broker that has been replaced. Once it has
// answered, this VM grants no more keys.
func (allocator *Allocator) handleDepose(_ context.Context, from string, decode func(any) error) (any, error) {
	var message deposeMessage
	if err := decode(&message); err != nil {
		return nil, err
	}
	var answer deposeAnswer
	if service := allocator.service(message.Service); service != nil {
		answer.Exposed = service.depose(from, message.Term)
	}
	return answer, nil
}

func (allocator *Allocator) handleStatus(_ context.Context, _ string, decode func(any) error) (any, error) {
	var message statusMessage
	if err := decode(&message); err != nil {
		return nil, err
	}
	answer := statusAnswer{Boot: allocator.Boot}
	if service := allocator.service(message.Service); service != nil {
		answer.Exposed = service.exposed()
	}
	return answer, nil
}

func (allocator *Allocator) handleHears(_ context.Context, _ string, decode func(any) error) (any, error) {
	var message hearsMessage
	if err := decode(&message); err != nil {
		return nil, err
	}
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	known := allocator.peers[message.VM]
	return hearsAnswer{Hears: known != nil && known.lostSince.IsZero() && allocator.Clock.Now().Sub(known.heard) < silentVM}, nil
}
