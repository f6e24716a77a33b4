package keeper

import (
	"time"
)

// Range is a run of keys; both ends belong to it.
type Range struct{ From, To int }

// Grant tells an upstream that it holds keys.
type Grant struct {
	Keys     Range
	Fence    uint64
	TTL      time.Duration
	Handover string
}

// phase says how far a share is on its way to its owner.
type phase int

const (
	// settling: a past owner may still hold the keys.
	settling phase = iota
	// granting: nobody else holds the keys; the owner has not confirmed its grant.
	granting
	// held: the owner has confirmed a grant.
	held
)

// past is an owner that may still hold keys.
type past struct {
	owner Owner
	fence uint64
	// until is when its last grant has run out for certain.
	until time.Time
}

// sentGrant is a grant whose answer has not arrived. It may take effect later,
// even after a confirmed release of the keys.
type sentGrant struct {
	owner string
	keys  Range
	end   time.Time // when it has run out for certain
}

// tenancy is a share of the keys and what this process knows of its grant.
type tenancy struct {
	keys     Range
	owner    *Owner // nil for none
	fence    uint64
	phase    phase
	past     *past
	handover string

	// heldUntil is when the last confirmed grant runs out at the earliest.
	heldUntil time.Time
	// exposedUntil is when all grants that were sent have run out for certain.
	exposedUntil time.Time
	// due is when the next call about the share is made.
	due time.Time
	// calling is set while a call about the share is under way.
	calling bool
	// released is set once the past owner has confirmed its release.
	released bool
	// failures counts the calls to the owner that failed in a row.
	failures int
}

// split returns the part of the tenancy that covers the keys.
func (tenancy *tenancy) split(keys Range) *tenancy {
	part := *tenancy
	part.keys = keys
	part.calling = false
	if tenancy.past != nil {
		past := *tenancy.past
		part.past = &past
	}
	return &part
}

// transfer returns the part of the tenancy that covers the keys, on its way to
// another owner. The owner so far is the past one, even when it has not got the
// keys yet: its grant may be sent while the ledger is being written. The keys
// must not be on their way already.
func (tenancy *tenancy) transfer(keys Range, owner *Owner, fence uint64) *tenancy {
	part := tenancy.split(keys)
	part.past, part.released, part.handover = nil, false, ""
	part.phase = granting
	if tenancy.owner != nil {
		part.past = &past{owner: *tenancy.owner, fence: tenancy.fence, until: tenancy.exposedUntil}
		part.phase = settling
	}
	part.owner, part.fence = owner, fence
	part.heldUntil, part.exposedUntil, part.due = time.Time{}, time.Time{}, time.Time{}
	part.failures = 0
	return part
}
