package allocator

import (
	"context"
	"errors"
	"time"

	"github.com/cuminstream/cuminstream/internal/keeper"
	"github.com/cuminstream/cuminstream/internal/storer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// The store can be restored from an old copy, see docs/design/store-era.md. A claim names
// the era in which it was written. If the store is in a later one, the claim was restored,
// and records of later brokers may have been lost.
const (
	// restoredClaimDelay lets a broker that leads write its claim again before others take
	// over: the interval at which it reads its claim, and the calls.
	restoredClaimDelay = verifyInterval + 500*time.Millisecond
	// uptimeMargin allows for the time from the write of a claim to the start of the term,
	// in which the former broker is notified.
	uptimeMargin = time.Second
)

// knownRecords are the highest values of claims and ledgers of a service that a VM knows.
type knownRecords struct {
	Term      uint64 `cbor:"1,keyasint,omitempty"`
	LastFence uint64 `cbor:"2,keyasint,omitempty"`
	Writes    uint64 `cbor:"3,keyasint,omitempty"`
}

// confirmation is what a VM has confirmed to this broker in an era.
type confirmation struct {
	era, term uint64
	// at is when it first confirmed that it follows this broker.
	at time.Time
	// undisputed is set if it knows no term above this one, and has run since before the
	// term could have been followed.
	undisputed bool
}

// precedes reports whether the other claim is newer. Those of a later era come first,
// since the writers of earlier ones may not know of each other.
func (claim Claim) precedes(other Claim) bool {
	return claim.Era < other.Era || (claim.Era == other.Era && claim.Term < other.Term)
}

// isRestored reports whether the store is in a later era than the one in which the claim
// was written, so that later claims may have been lost.
func (claim storedClaim) isRestored(era uint64) bool {
	return claim.Term > 0 && (claim.Era < claim.version.Era || claim.version.Era < era)
}

// storeEra returns the latest era of the store that this VM knows.
func (allocator *Allocator) storeEra() uint64 {
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	return allocator.era
}

// observeEra records that the store has reached the era, and lets all followers list
// again that have objects of an earlier one.
func (allocator *Allocator) observeEra(era uint64) {
	allocator.mutex.Lock()
	known, followers := allocator.era, allocator.Followers
	allocator.era = max(known, era)
	if era > known && allocator.listed {
		allocator.eraRoseAt = allocator.Clock.Now()
	}
	if allocator.claimFollower != nil {
		followers = append(followers[:len(followers):len(followers)], allocator.claimFollower)
	}
	allocator.mutex.Unlock()
	if era <= known {
		return
	}
	allocator.Log.Info("store is in a new era", "era", era, "previously", known)
	for _, follower := range followers {
		follower.ObserveEra(era)
	}
	if allocator.OnEra != nil {
		allocator.OnEra(era)
	}
}

// observeFollowers records the latest era that any follower has seen.
func (allocator *Allocator) observeFollowers() {
	listed := true
	for _, follower := range allocator.Followers {
		allocator.observeEra(follower.Era())
		_, ok := follower.ListAge()
		listed = listed && ok
	}
	allocator.mutex.Lock()
	defer allocator.mutex.Unlock()
	allocator.listed = listed
}

// Era implements keeper.Authority.
func (service *service) Era() keeper.EraStatus {
	allocator := service.allocator
	allocator.mutex.Lock()
	era, knowsVMs := allocator.era, !allocator.eraRoseAt.IsZero()
	allocator.mutex.Unlock()
	vms := allocator.Members.VMs()
	service.mutex.Lock()
	defer service.mutex.Unlock()
	status := keeper.EraStatus{Era: era, LastFence: service.known.LastFence, Writes: service.known.Writes}
	if !service.leading || service.claimedIn != era {
		return status
	}
	status.ClaimedAt, status.FollowedAt, status.Undisputed = service.claimedAt, service.claimedAt, true
	for _, vm := range vms {
		if vm == allocator.VM {
			continue
		}
		confirmed := service.confirmed[vm]
		if confirmed.era != era || confirmed.term != service.claim.Term {
			status.FollowedAt, status.Undisputed = time.Time{}, false
			break
		}
		status.Undisputed = status.Undisputed && confirmed.undisputed
		if confirmed.at.After(status.FollowedAt) {
			status.FollowedAt = confirmed.at
		}
	}
	if !knowsVMs {
		// The restored store may lack VMs that this process has never read.
		status.FollowedAt, status.Undisputed = time.Time{}, false
	}
	return status
}

// settledIn reports whether the ledger is settled in the era, so that no process whose
// claim was lost can be granting keys.
func (service *service) settledIn(era uint64) bool {
	service.mutex.Lock()
	keeper := service.keeper
	service.mutex.Unlock()
	if keeper == nil {
		return true
	}
	settled, ok := keeper.SettledEra()
	return ok && settled == era
}

// knownRecords returns what this VM reports of each service, or nil in era 0.
func (allocator *Allocator) knownRecords() map[string]knownRecords {
	if allocator.storeEra() == 0 {
		return nil
	}
	known := map[string]knownRecords{}
	for _, service := range allocator.allServices() {
		service.mutex.Lock()
		known[service.name] = service.known
		service.mutex.Unlock()
	}
	return known
}

// learn records what another VM has reported. If that VM knows of a later broker than
// this process, this one stops leading: it was replaced, and the record of that was lost.
func (service *service) learn(from string, records knownRecords) {
	service.mutex.Lock()
	known := &service.known
	known.Term, known.LastFence, known.Writes = max(known.Term, records.Term), max(known.LastFence, records.LastFence), max(known.Writes, records.Writes)
	replaced := service.leading && records.Term > service.claim.Term
	term := service.claim.Term
	if replaced {
		service.leading = false
	}
	service.mutex.Unlock()
	if replaced {
		service.allocator.Log.Warn("this VM is no longer the broker: another VM knows of a later one", "service", service.name, "term", term, "peer", from, "knownTerm", records.Term)
		service.stopGranting()
	}
}

// recordConfirmation records whether the report confirms that its VM follows this process
// as the broker, and that it has not become the broker itself since the store last
// confirmed this process.
func (service *service) recordConfirmation(vm string, message reportMessage) {
	now := service.allocator.Clock.Now()
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if !service.leading || message.Era == 0 {
		return
	}
	term := service.claim.Term
	if message.BrokerTerms[service.name] != term {
		delete(service.confirmed, vm)
		return
	}
	confirmed := service.confirmed[vm]
	if confirmed.era != message.Era || confirmed.term != term {
		confirmed = confirmation{era: message.Era, term: term, at: now}
	}
	runsSince := now.Add(-message.Uptime)
	confirmed.undisputed = message.Known[service.name].Term <= term && runsSince.Add(uptimeMargin).Before(service.verifiedAt)
	service.confirmed[vm] = confirmed
}

// beginRewrite reports whether the claim of this process has to be written again because
// the store is in a later era. If so, it sets claiming.
func (service *service) beginRewrite() bool {
	era := service.allocator.storeEra()
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if !service.leading || service.claiming || !service.claim.isRestored(era) {
		return false
	}
	service.claiming = true
	return true
}

// rewrite writes the claim of this process again, unless the store has a newer one. Until
// lost grants are excluded, it records that others may be renewing grants.
func (service *service) rewrite(ctx context.Context) {
	allocator := service.allocator
	defer func() {
		service.mutex.Lock()
		service.claiming = false
		service.mutex.Unlock()
	}()
	bound, cancel := clocker.WithTimeout(ctx, allocator.Clock, verifyTimeout)
	defer cancel()
	stored, err := service.readClaim(bound)
	if err == nil {
		own, ok := service.ownClaim()
		if !ok || own.precedes(stored.Claim) {
			return // readClaim has applied the stored one
		}
		next := own.Claim
		next.Era = stored.version.Era
		if service.keyed {
			next.StaleRenewalMs = staleRenewalWindow.Milliseconds()
		}
		if version, ok := service.writeClaim(bound, stored, next); ok {
			service.recordRewritten(storedClaim{next, version})
			return
		}
	} else {
		allocator.Log.Info("failed to read the claim to be written again", "service", service.name, "error", err.Error())
	}
	_ = clocker.Sleep(ctx, allocator.Clock, restartCheckInterval) // before the next attempt
}

// readClaim reads the claim from the store and applies it. If there is none, it returns
// an empty one, whose version has no revision.
func (service *service) readClaim(ctx context.Context) (storedClaim, error) {
	object, err := service.allocator.Store.Get(ctx, KindBrokers, service.name)
	if errors.Is(err, storer.ErrNotFound) {
		service.allocator.observeEra(object.Era)
		return storedClaim{version: storer.Version{Era: object.Era}}, nil
	}
	if err != nil {
		return storedClaim{}, err
	}
	claim, err := decodeClaim(object)
	if err == nil {
		service.allocator.handleClaim(object)
	}
	return claim, err
}

// recordRewritten records that the claim of this process was written again.
func (service *service) recordRewritten(claim storedClaim) {
	service.mutex.Lock()
	if service.leading && claim.BootID == service.claim.BootID && claim.Term == service.claim.Term {
		service.claimedAt, service.claimedIn = service.allocator.Clock.Now(), claim.Era
	}
	service.mutex.Unlock()
	service.allocator.Log.Info("claim written again in a new era", "service", service.name, "term", claim.Term, "era", claim.Era, "revision", claim.version)
	service.applyClaim(claim)
}

// restoredFormer returns the claim to be replaced as the store has it now, if it may have
// been restored, and whether it was. ok is false if it cannot be read, or is not the one
// that this process wants to replace.
func (service *service) restoredFormer(ctx context.Context, former storedClaim) (current storedClaim, restored, ok bool) {
	era := service.allocator.storeEra()
	if !former.isRestored(era) {
		return former, false, true
	}
	bound, cancel := clocker.WithTimeout(ctx, service.allocator.Clock, verifyTimeout)
	defer cancel()
	stored, err := service.readClaim(bound)
	if err != nil || former.precedes(stored.Claim) {
		return former, false, false
	}
	former.version = stored.version
	return former, true, former.isRestored(stored.version.Era)
}

// nextTerm returns the term for a claim that replaces the former one.
func (service *service) nextTerm(former storedClaim) uint64 {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return max(former.Term, service.known.Term) + 1
}
