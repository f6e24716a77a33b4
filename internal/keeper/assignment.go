package keeper

import (
	"time"
)

// Range is a range of keys, both ends included.
type Range struct{ From, To int }

// Grant is a lease on a range of keys for an upstream.
type Grant struct {
	Keys Range
	// Fence is the fencing token. An upstream refuses calls with a lower one than it
	// has seen for the keys.
	Fence uint64
	// TTL is the lifetime of the grant from its arrival at the upstream.
	TTL time.Duration
	// Handover is the token from the release by the previous owner, if there was one.
	Handover string
}

// phase is the progress of an assignment towards a confirmed grant.
type phase int

const (
	// revoking: a previous owner may still hold the keys.
	revoking phase = iota
	// granting: no other upstream holds the keys; the owner has not confirmed a grant.
	granting
	// held: the owner has confirmed a grant.
	held
)

// previousOwner is an owner that may still hold keys.
type previousOwner struct {
	owner Owner
	fence uint64
	// latestExpiry is when its last grant expires at the latest.
	latestExpiry time.Time
}

// unansweredGrant is a sent grant whose answer has not arrived. It may take effect
// later, even after a confirmed release of the keys.
type unansweredGrant struct {
	incarnation  string
	keys         Range
	latestExpiry time.Time
}

// assignment assigns a range of keys to an owner, and holds the state of its grant
// as far as this process knows it.
type assignment struct {
	keys     Range
	owner    *Owner // nil for none
	fence    uint64
	phase    phase
	previous *previousOwner // nil if no other upstream can hold the keys
	handover string         // the token from the release by the previous owner

	// earliestExpiry is when the last confirmed grant expires at the earliest. It is
	// zero before the first confirmation.
	earliestExpiry time.Time
	// latestExpiry is when the last of all sent grants expires at the latest.
	latestExpiry time.Time
	// due is when the next grant or release call is made.
	due time.Time
	// calling is set while a grant or release call is in progress.
	calling bool
	// released is set once the previous owner has confirmed its release.
	released bool
	// failures counts consecutive failed calls to the owner.
	failures int
}

// withKeys returns a copy of the assignment for other keys, with no call in progress.
func (assignment *assignment) withKeys(keys Range) *assignment {
	copied := *assignment
	copied.keys = keys
	copied.calling = false
	if assignment.previous != nil {
		previous := *assignment.previous
		copied.previous = &previous
	}
	return &copied
}

// transfer returns an assignment of some of the keys to another owner. The current
// owner becomes the previous one, even if it has not been granted the keys yet: its
// grant may be sent while the ledger is being written. The assignment must not be
// revoking the keys from an earlier owner.
func (assignment *assignment) transfer(keys Range, owner *Owner, fence uint64) *assignment {
	transferred := assignment.withKeys(keys)
	transferred.previous, transferred.released, transferred.handover = nil, false, ""
	transferred.phase = granting
	if assignment.owner != nil {
		transferred.previous = &previousOwner{owner: *assignment.owner, fence: assignment.fence, latestExpiry: assignment.latestExpiry}
		transferred.phase = revoking
	}
	transferred.owner, transferred.fence = owner, fence
	transferred.earliestExpiry, transferred.latestExpiry, transferred.due = time.Time{}, time.Time{}, time.Time{}
	transferred.failures = 0
	return transferred
}
