package allocator

import (
	"context"
	"slices"
	"time"

	"github.com/cuminstream/cuminstream/internal/courier"
	"github.com/cuminstream/cuminstream/pkg/broker"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

const (
	// holderTimeout bounds a request for a slot to a VM that may assign it in local mode.
	// It covers a new link and a wait for the slot.
	holderTimeout = 300 * time.Millisecond
	// maxHoldersAsked is the number of such VMs that one request asks.
	maxHoldersAsked = 2
)

// Acquire implements courier.Allocator.
func (allocator *Allocator) Acquire(ctx context.Context, name string, request broker.Request) courier.Slot {
	service := allocator.service(name)
	if service == nil {
		return courier.Slot{Decision: broker.Decision{Refusal: broker.Unavailable, RetryAfter: time.Second}}
	}
	for began := allocator.Clock.Now(); ; {
		slot := allocator.acquire(ctx, service, request)
		if slot.Ticket == 0 {
			return slot
		}
		result, retryAfter := allocator.checkSlot(slot)
		if retryAfter == 0 {
			return slot
		}
		allocator.Log.Info("slot released unused", "id", request.ID, "service", name, "upstream", slot.Upstream.ID, "broker", slot.Broker,
			"drained", result.Outcome == broker.Unreachable, "busyForMs", result.BusyFor.Milliseconds())
		allocator.Release(name, slot, result)
		now := allocator.Clock.Now()
		request, began = request.WithElapsed(now.Sub(began)), now
		if request.Key != broker.NoKey || request.Timeout <= 0 {
			return courier.Slot{Broker: slot.Broker, Term: slot.Term, Decision: broker.Decision{Refusal: broker.Unavailable, RetryAfter: retryAfter}}
		}
		request.Exclude = append(slices.Clip(request.Exclude), slot.Upstream.ID)
		if allocator.isEvacuated(slot.Upstream) {
			request.Exclude = allocator.withoutEvacuated(request.Exclude, name)
		}
	}
}

// checkSlot returns a retryAfter above 0 if the slot must not be used, because its upstream
// has drained, is busy or is in an evacuated zone, and the broker does not know that yet. The result tells the broker.
func (allocator *Allocator) checkSlot(slot courier.Slot) (result broker.Result, retryAfter time.Duration) {
	if allocator.drainElapsed(slot.Upstream) {
		_, leaving := allocator.notices.LeavingSince(slot.Upstream)
		return broker.Result{Ticket: slot.Ticket, Outcome: broker.Unreachable, Notice: broker.Notice{Leaving: leaving}}, drainedRetryAfter
	}
	if allocator.isEvacuated(slot.Upstream) {
		return broker.Result{Ticket: slot.Ticket, Outcome: broker.Abandoned}, evacuatedRetryAfter
	}
	busyFor := allocator.notices.BusyFor(slot.Upstream)
	return broker.Result{Ticket: slot.Ticket, Outcome: broker.Abandoned, Notice: broker.Notice{BusyFor: busyFor}}, busyFor
}

// acquire gets a slot from the broker, or assigns one locally if the broker cannot be
// reached.
func (allocator *Allocator) acquire(ctx context.Context, service *service, request broker.Request) courier.Slot {
	vm, term := service.brokerVM()
	if vm != "" && vm != allocator.VM && allocator.isReachable(vm) {
		began := allocator.Clock.Now()
		if slot, ok := allocator.acquireFromBroker(ctx, service, vm, request); ok {
			return slot
		}
		if ctx.Err() != nil {
			return courier.Slot{Broker: vm, Term: term, Decision: broker.Decision{Refusal: broker.TooLate}}
		}
		request = request.WithElapsed(allocator.Clock.Now().Sub(began))
	}
	if vm != allocator.VM {
		began := allocator.Clock.Now()
		if slot, ok := allocator.acquireFromHolder(ctx, service, request); ok {
			return slot
		}
		request = request.WithElapsed(allocator.Clock.Now().Sub(began))
	}
	decision := service.broker.Acquire(ctx, request)
	slot := courier.Slot{Decision: decision}
	if vm == allocator.VM {
		slot.Broker, slot.Term = vm, term
	}
	service.addSlot(slot)
	return slot
}

// acquireFromBroker asks the broker VM for a slot. If that VM names a newer broker, it
// asks that one. It returns false if no broker has decided.
func (allocator *Allocator) acquireFromBroker(ctx context.Context, service *service, vm string, request broker.Request) (courier.Slot, bool) {
	var answer acquireAnswer
	err := allocator.Peers.Call(ctx, vm, callAcquire, newAcquireMessage(service, request), &answer)
	if err == nil && answer.NotBroker && answer.Broker != "" && service.adoptBroker(answer.Broker, answer.Term, answer.Era) {
		if answer.Broker != allocator.VM && allocator.isReachable(answer.Broker) {
			return allocator.acquireFromBroker(ctx, service, answer.Broker, request)
		}
		return courier.Slot{}, false
	}
	if err != nil || answer.NotBroker {
		if ctx.Err() == nil {
			allocator.Log.Info("slot request to broker failed", "id", request.ID, "service", service.name, "broker", vm, "notBroker", answer.NotBroker, "error", errorText(err))
		}
		return courier.Slot{}, false
	}
	return service.addAssigned(vm, answer), true
}

// acquireFromHolder asks a VM that may assign slots of the upstream in local mode, if this VM
// may not. It returns false if none has decided in time.
func (allocator *Allocator) acquireFromHolder(ctx context.Context, service *service, request broker.Request) (courier.Slot, bool) {
	asked := 0
	for _, vm := range service.broker.LocalHolders(request) {
		if asked == maxHoldersAsked || ctx.Err() != nil {
			break
		}
		if !allocator.isReachable(vm) {
			continue
		}
		asked++
		message := newAcquireMessage(service, request)
		message.Local = true
		bound, cancel := clocker.WithTimeout(ctx, allocator.Clock, holderTimeout)
		var answer acquireAnswer
		err := allocator.Peers.Call(bound, vm, callAcquire, message, &answer)
		cancel()
		if err == nil && !answer.NotBroker {
			return service.addAssigned(vm, answer), true
		}
		request = request.WithElapsed(holderTimeout)
	}
	return courier.Slot{}, false
}

func newAcquireMessage(service *service, request broker.Request) acquireMessage {
	return acquireMessage{
		Service: service.name, RequestID: request.ID, Zone: request.Zone, Key: request.Key, Rank: request.Rank, BodyBytes: request.BodyBytes,
		Retry: request.Retry, Exclude: request.Exclude, Target: request.Target, Timeout: request.Timeout, StopsIn: request.StopsIn, Fingerprint: request.Fingerprint,
		Overflow: request.Overflow, Returned: request.Returned, MayHaveRun: request.MayHaveRun,
	}
}

// addAssigned returns the slot or refusal in another VM's answer, and counts the slot.
func (service *service) addAssigned(vm string, answer acquireAnswer) courier.Slot {
	slot := courier.Slot{Broker: vm, Term: answer.Term, Decision: broker.Decision{
		Ticket:   answer.Ticket,
		Upstream: broker.Upstream{ID: answer.Upstream, StartedAt: answer.StartedAt, Service: service.name, Address: answer.Address, Slots: answer.Slots},
		Refusal:  answer.Refusal, Rule: answer.Rule, RetryAfter: answer.RetryAfter, Waited: answer.Waited, QueueLength: answer.QueueLength,
	}}
	service.addSlot(slot)
	return slot
}

// Release implements courier.Allocator.
func (allocator *Allocator) Release(name string, slot courier.Slot, result broker.Result) {
	service := allocator.service(name)
	if service == nil {
		return
	}
	service.removeSlot(slot)
	if slot.Broker == "" || slot.Broker == allocator.VM {
		service.broker.Release(result)
		return
	}
	service.broker.RecordResult(slot.Upstream.ID, allocator.VM, allocator.Zone, result)
	message := releaseMessage{
		Service: name, Term: slot.Term, Ticket: result.Ticket, Outcome: result.Outcome, Elapsed: result.Elapsed, FreeSlot: result.FreeSlot, BusyFor: result.BusyFor, Slowness: result.Slowness, Warmup: result.Warmup,
	}
	if result.Leaving {
		message.Leaving, message.Upstream, message.StartedAt = true, slot.Upstream.ID, slot.Upstream.StartedAt
	}
	allocator.tasks.Go(func() error {
		ctx, cancel := clocker.WithTimeout(context.Background(), allocator.Clock, releaseTimeout)
		defer cancel()
		err := allocator.Peers.Call(ctx, slot.Broker, callRelease, message, nil)
		if err != nil {
			allocator.Log.Info("slot release not delivered to broker", "service", name, "broker", slot.Broker, "ticket", result.Ticket, "error", err.Error())
		}
		return nil
	})
}

// errorText returns the text of the error for a log attribute, empty for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
