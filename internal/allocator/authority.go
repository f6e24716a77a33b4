package allocator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cuminstream/cuminstream/internal/keeper"
	"github.com/cuminstream/cuminstream/internal/storer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// A broker must stop renewing grants once another process that cannot reach an
// upstream may have waited for them to expire. As long as the store confirms the
// broker's claim, no other process can have done so. Without the store, the broker may
// continue while a majority of VMs acknowledges it: a successor relies on the expiry of
// grants only while a majority acknowledges the successor.
const (
	// verifyInterval is how often a broker reads its own claim from the store.
	verifyInterval = time.Second
	// verifyTimeout bounds one read.
	verifyTimeout = time.Second
	// confirmInterval is the time between the reads, and between looks at acknowledgments,
	// of Confirm.
	confirmInterval = 200 * time.Millisecond
	// verificationTTL is how long a confirmed claim remains valid. It is below
	// staleRenewalWindow, and long enough for a zone that is partitioned for some
	// seconds to continue to serve.
	verificationTTL = 8 * time.Second
	// acknowledgmentTTL is how long a report counts as an acknowledgment of the broker.
	acknowledgmentTTL = 1200 * time.Millisecond
)

var _ keeper.Authority = (*service)(nil)

// MayRenew implements keeper.Authority.
func (service *service) MayRenew() bool {
	now := service.allocator.Clock.Now()
	service.mutex.Lock()
	fresh := now.Sub(service.verifiedAt) < verificationTTL
	service.mutex.Unlock()
	return fresh || service.acknowledgedByMajority()
}

// MayRelyOnExpiry implements keeper.Authority.
func (service *service) MayRelyOnExpiry() bool { return service.acknowledgedByMajority() }

// Confirm implements keeper.Authority. Calls at the same time share the reads of the claim.
// Without the store, acknowledgments of a majority of VMs take their place.
func (service *service) Confirm(ctx context.Context) error {
	clock := service.allocator.Clock
	began := clock.Now()
	for reads := 0; !service.confirmedSince(began); reads++ {
		service.mutex.Lock()
		leading := service.leading
		service.mutex.Unlock()
		if !leading {
			return keeper.ErrReplaced
		}
		bound, cancel := clocker.WithTimeout(ctx, clock, confirmInterval)
		if reads > 1 { // the first may have begun before the call, and the second has failed
			<-bound.Done()
		}
		select {
		case <-service.startVerification(context.WithoutCancel(ctx)):
		case <-bound.Done():
		}
		cancel()
		if err := context.Cause(ctx); err != nil {
			return fmt.Errorf("neither the store nor a majority of VMs confirms that this VM is the broker: %w", err)
		}
	}
	return nil
}

// confirmedSince reports whether the store or a majority of VMs has confirmed since the given
// time that this process is the broker.
func (service *service) confirmedSince(since time.Time) bool {
	service.mutex.Lock()
	verified := !service.verifiedAt.Before(since)
	service.mutex.Unlock()
	return verified || service.acknowledgedSince(since)
}

// recordAcknowledgment records that the report of a VM named this process as the broker
// in the term. It removes the VM's acknowledgment if this process does not lead in that
// term.
func (service *service) recordAcknowledgment(vm string, term uint64) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if !service.leading || term != service.claim.Term {
		delete(service.acknowledgedAt, vm)
		return
	}
	service.acknowledgedAt[vm] = service.allocator.Clock.Now()
}

// acknowledgedByMajority reports whether more than half of the registered VMs, this one
// included, have recently acknowledged this process as the broker.
func (service *service) acknowledgedByMajority() bool {
	return service.acknowledgedSince(service.allocator.Clock.Now().Add(-acknowledgmentTTL))
}

// acknowledgedSince reports whether more than half of the registered VMs, this one included,
// have acknowledged this process as the broker after the given time.
func (service *service) acknowledgedSince(since time.Time) bool {
	vms := service.allocator.Members.VMs()
	service.mutex.Lock()
	defer service.mutex.Unlock()
	count := 0
	for _, vm := range vms {
		if vm == service.allocator.VM || service.acknowledgedAt[vm].After(since) {
			count++
		}
	}
	return 2*count > len(vms)
}

// verifyClaims starts to check, for each keyed service that this process leads, whether
// the store still names it as the broker.
func (allocator *Allocator) verifyClaims(ctx context.Context) {
	leading := false
	for _, service := range allocator.allServices() {
		service.mutex.Lock()
		due := service.keyed && service.leading
		leading = leading || due
		service.mutex.Unlock()
		if due {
			service.startVerification(ctx)
		}
	}
	if !leading {
		allocator.recordClaimRead(true, time.Time{}) // there is no claim to read
	}
}

// startVerification starts to verify the claim unless that is in progress. The channel is
// closed at the end.
func (service *service) startVerification(ctx context.Context) <-chan struct{} {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if service.verification == nil {
		done := make(chan struct{})
		service.verification = done
		service.allocator.tasks.Go(func() error {
			defer close(done)
			service.verifyClaim(ctx)
			return nil
		})
	}
	return service.verification
}

// verifyClaim reads the service's claim from the store, records the time if the claim is
// unchanged, and applies it. After a restore of the store, an unchanged claim proves that
// there is no other broker only once the ledger is settled.
func (service *service) verifyClaim(ctx context.Context) {
	allocator := service.allocator
	began := allocator.Clock.Now()
	bound, cancel := clocker.WithTimeout(ctx, allocator.Clock, verifyTimeout)
	defer cancel()
	object, err := allocator.Store.Get(bound, KindBrokers, service.name)
	service.mutex.Lock()
	service.verification = nil
	service.mutex.Unlock()
	allocator.observeEra(object.Era)
	isLost := errors.Is(err, storer.ErrNotFound) && object.Era > 0 // by a restore: it is written again
	allocator.recordClaimRead(err == nil || isLost, began)
	if err != nil {
		if ctx.Err() == nil {
			allocator.Log.Info("failed to read own claim", "service", service.name, "error", err.Error())
		}
		return
	}
	claim, err := decodeClaim(object)
	if err != nil {
		allocator.Log.Warn("invalid claim", "service", service.name, "error", err.Error())
		return
	}
	settled := service.settledIn(object.Era)
	service.mutex.Lock()
	if claim.Claim == service.claim.Claim && settled {
		service.verifiedAt = began
	}
	service.mutex.Unlock()
	allocator.handleClaim(object)
}

// recordClaimRead records whether a read of an own claim, begun at the given time,
// succeeded.
func (allocator *Allocator) recordClaimRead(answered bool, began time.Time) {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	switch {
	case answered:
		allocator.claimReadsFailingSince = time.Time{}
	case allocator.claimReadsFailingSince.IsZero():
		allocator.claimReadsFailingSince = began
	}
}
