package allocator

import (
	"context"
	"time"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// probeFormerBroker asks the former broker's VM for its status and returns for how long
// earlier brokers may still renew grants, as far as that is known before the new claim is
// written. ended is set if the process that the former claim names has ended or resigned
// for certain.
func (service *service) probeFormerBroker(ctx context.Context, former storedClaim) (stale time.Duration, ended bool) {
	allocator := service.allocator
	recorded := time.Duration(former.StaleRenewalMs) * time.Millisecond
	if former.Broker == "" || former.Broker == allocator.VM {
		return recorded, true
	}
	ctx, cancel := clocker.WithTimeout(ctx, allocator.Clock, formerBrokerTimeout)
	defer cancel()
	var answer statusAnswer
	err := allocator.Peers.Call(ctx, former.Broker, callStatus, statusMessage{Service: service.name}, &answer)
	allocator.Log.Info("former broker queried", "service", service.name, "formerBroker", former.Broker, "boot", answer.BootID,
		"restarted", err == nil && answer.BootID != former.BootID, "recordedExposedMs", former.StaleRenewalMs, "error", errorText(err))
	switch {
	case err != nil:
		return staleRenewalWindow, false
	case answer.BootID != former.BootID:
		return recorded, true
	default:
		return answer.StaleRenewal, false
	}
}

// demoteFormerBroker notifies the former broker that it is replaced, and returns for how
// long that broker or earlier ones may still renew grants. ok is set if it answered.
func (service *service) demoteFormerBroker(ctx context.Context, vm string, claim Claim) (stale time.Duration, ok bool) {
	allocator := service.allocator
	ctx, cancel := clocker.WithTimeout(ctx, allocator.Clock, formerBrokerTimeout)
	defer cancel()
	var answer stepDownAnswer
	err := allocator.Peers.Call(ctx, vm, callStepDown, stepDownMessage{Service: service.name, Term: claim.Term, Era: claim.Era}, &answer)
	allocator.Log.Info("former broker notified", "service", service.name, "formerBroker", vm, "term", claim.Term, "error", errorText(err), "exposedMs", answer.StaleRenewal.Milliseconds())
	if err != nil {
		return staleRenewalWindow, false
	}
	return answer.StaleRenewal, true
}

// restartCheckInterval is how often a former broker's VM is asked for its process, and the
// wait after a failed attempt to clear the stale renewal time of a claim.
const restartCheckInterval = 300 * time.Millisecond

// awaitFormerRestart polls the VM of a former broker that did not answer until another
// process runs there, which proves that the former process has ended. From then on only
// the expiry of its last grants has to be awaited, without the renewals that it might
// still have made.
func (service *service) awaitFormerRestart(former storedClaim, term uint64) {
	allocator := service.allocator
	allocator.mutex.Lock()
	ctx := allocator.ctx
	allocator.mutex.Unlock()
	began := allocator.Clock.Now()
	allocator.tasks.Go(func() error {
		for clocker.Sleep(ctx, allocator.Clock, restartCheckInterval) == nil {
			service.mutex.Lock()
			keeper, current := service.keeper, service.leading && service.claim.Term == term
			service.mutex.Unlock()
			if !current || keeper == nil || keeper.StaleRenewalsLeft() == 0 {
				return nil
			}
			bound, cancel := clocker.WithTimeout(ctx, allocator.Clock, formerBrokerTimeout)
			var answer statusAnswer
			err := allocator.Peers.Call(bound, former.Broker, callStatus, statusMessage{Service: service.name}, &answer)
			cancel()
			if err == nil && answer.BootID != former.BootID {
				recorded := time.Duration(former.StaleRenewalMs)*time.Millisecond - allocator.Clock.Now().Sub(began)
				keeper.PreviousBrokerEnded(max(recorded, 0))
				return nil
			}
		}
		return nil
	})
}

// beginClearStaleRenewal returns this process's claim if it still records a stale renewal
// time that has passed. If so, it sets claiming.
func (service *service) beginClearStaleRenewal() (claim storedClaim, ok bool) {
	service.mutex.Lock()
	keeper, recorded := service.keeper, service.leading && service.claim.StaleRenewalMs > 0
	service.mutex.Unlock()
	if !recorded || keeper == nil || keeper.StaleRenewalsLeft() > 0 || !service.settledIn(service.allocator.storeEra()) {
		return claim, false
	}
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if !service.leading || service.claiming {
		return claim, false
	}
	service.claiming = true
	return service.claim, true
}

// clearStaleRenewal records in the claim that earlier brokers renew no more grants, so
// that the next broker need not wait for them.
func (service *service) clearStaleRenewal(ctx context.Context, claim storedClaim) {
	next := claim.Claim
	next.StaleRenewalMs = 0
	version, ok := service.writeClaim(ctx, claim, next)
	if ok {
		service.applyClaim(storedClaim{next, version})
	} else {
		_ = clocker.Sleep(ctx, service.allocator.Clock, restartCheckInterval) // before the next attempt
	}
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.claiming = false
}

// adoptBroker records a broker reported by another VM whose claim has not been read yet.
// It reports whether that is newer than the known one.
func (service *service) adoptBroker(vm string, term, era uint64) bool {
	service.allocator.observeEra(era)
	service.mutex.Lock()
	defer service.mutex.Unlock()
	told := Claim{Broker: vm, Term: term, Era: era}
	if service.leading || !service.claim.precedes(told) {
		return false
	}
	service.claim.Claim, service.claimSeenAt = told, service.allocator.Clock.Now()
	service.known.Term = max(service.known.Term, term)
	service.allocator.Log.Info("broker changed", "service", service.name, "broker", vm, "term", term, "toldByVM", true)
	return true
}

// stepDown ends this process's work as broker because another VM leads in the given,
// later term or era. It returns for how long brokers before this process may still renew grants.
func (service *service) stepDown(by string, term, era uint64) time.Duration {
	service.mutex.Lock()
	if !service.claim.precedes(Claim{Term: term, Era: era}) {
		service.mutex.Unlock()
		return staleRenewalWindow
	}
	wasLeading := service.leading
	service.leading = false
	service.mutex.Unlock()
	stale := service.stopGranting()
	service.adoptBroker(by, term, era)
	if !wasLeading {
		return stale
	}
	service.allocator.Log.Warn("replaced as broker", "service", service.name, "by", by, "term", term)
	return stale
}

// stopGranting stops the keeper, so that this process grants no more keys, and returns
// for how long brokers before it may still renew grants.
func (service *service) stopGranting() time.Duration {
	service.mutex.Lock()
	stop, stopped := service.stopKeeper, service.keeperStopped
	service.mutex.Unlock()
	if stop != nil {
		stop()
		<-stopped
	}
	return service.staleRenewal()
}

// staleRenewal returns for how long brokers before this process may still renew
// grants.
func (service *service) staleRenewal() time.Duration {
	service.mutex.Lock()
	keeper := service.keeper
	service.mutex.Unlock()
	if keeper == nil {
		return 0 // this process has granted nothing
	}
	if _, settled := keeper.SettledEra(); !settled {
		return staleRenewalWindow // by brokers whose claims were lost in a restore of the store
	}
	return keeper.StaleRenewalsLeft()
}
