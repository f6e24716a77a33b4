// Package keeper assigns the keys of one service to upstreams, so that no two
// upstreams hold the same key at a time. A grant is a lease on a range of keys. The
// ledger in the platform's store records the owner of each key before the key is
// granted, with a fencing token that only increases. The service's broker, the only
// process that can write the ledger, renews the grants, revokes them and grants the
// keys to other upstreams.
//
// A key is granted to a new owner only after the previous owner has confirmed its
// release, or after every grant that the previous owner may have received has
// expired. Expiry is measured from the time at which the grant was sent, with an
// allowance for slow clocks. A grant without an answer counts as received.
//
// If the store is restored from an old copy, grants under lost records may be in force.
// Until these are excluded or have expired, the keeper only renews grants that it holds.
package keeper
