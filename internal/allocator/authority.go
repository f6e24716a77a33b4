package allocator

import (
	"context"
	"time"

	"github.com/cuminstream/cuminstream/internal/keeper"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// A broker must not go on renewing grants once another process, which cannot
// reach an upstream, may have waited for them to run out. It may be sure of that
// while the store confirms its claim. Without the store it may go on while most
// VMs take it for the broker: a next broker outwaits grants only when most VMs
// follow that one.
const (
	// verifyInterval is the time between two looks at the own claim.
	verifyInterval = time.Second
	// verifyTimeout bounds one look.
	verifyTimeout = time.Second
	// verificationTTL is how long a look at the claim is good for. It is below
	// staleRenewals, and lets a zone that is cut off for some seconds go on serving.
	verificationTTL = 8 * time.Second
	// acknowledgmentTTL is how long a report is good for.
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

// recordAcknowledgment records the report of a VM that takes this process for the broker in
// the term.
func (service *service) recordAcknowledgment(vm string, term uint64) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if !service.leading || term != service.claim.Term {
		delete(service.acknowledgedAt, vm)
		return
	}
	service.acknowledgedAt[vm] = service.allocator.Clock.Now()
}

// acknowledgedByMajority reports whether more than half of the registered VMs have
// reported to this process as the broker.
func (service *service) acknowledgedByMajority() bool {
	vms := service.allocator.Members.VMs()
	now := service.allocator.Clock.Now()
	service.mutex.Lock()
	defer service.mutex.Unlock()
	count := 0
	for _, vm := range vms {
		if vm == service.allocator.VM || now.Sub(service.acknowledgedAt[vm]) < acknowledgmentTTL {
			count++
		}
	}
	return 2*count > len(vms)
}

// verifyClaims looks whether the store still names this process as the broker of its
// keyed services.
func (allocator *Allocator) verifyClaims(ctx context.Context) {
	leading := false
	for _, service := range allocator.allServices() {
		service.mutex.Lock()
		due := service.keyed && service.leading && !service.verifying
		service.verifying = service.verifying || due
		leading = leading || (service.keyed && service.leading)
		service.mutex.Unlock()
		if due {
			allocator.tasks.Go(func() error {
				service.verifyClaim(ctx)
				return nil
			})
		}
	}
	if !leading {
		allocator.recordClaimRead(true, time.Time{}) // there is no claim to look at
	}
}

func (service *service) verifyClaim(ctx context.Context) {
	allocator := service.allocator
	began := allocator.Clock.Now()
	bound, cancel := clocker.WithTimeout(ctx, allocator.Clock, verifyTimeout)
	defer cancel()
	object, err := allocator.Store.Get(bound, KindBrokers, service.name)
	service.mutex.Lock()
	service.verifying = false
	service.mutex.Unlock()
	allocator.recordClaimRead(err == nil, began)
	if err != nil {
		if ctx.Err() == nil {
			allocator.Log.Info("claim not verified", "service", service.name, "error", err.Error())
		}
		return
	}
	claim, err := decodeClaim(object)
	if err != nil {
		allocator.Log.Warn("claim is not usable", "service", service.name, "error", err.Error())
		return
	}
	service.mutex.Lock()
	if claim.Claim == service.claim.Claim {
		service.verifiedAt = began
	}
	service.mutex.Unlock()
	allocator.handleClaim(object)
}

// recordClaimRead records whether the store answers a broker's look at its claim.
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
