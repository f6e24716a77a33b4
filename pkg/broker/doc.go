// Package broker assigns the requests of one service to the slots of its
// upstreams. A slot is one request that an upstream runs at a time. The broker
// decides which request runs next and on which upstream, and refuses requests
// at once that cannot be served in time.
//
// All VMs ask the same broker, which therefore knows the use of every slot: no
// upstream gets more requests than it has slots, and requests wait in the
// broker, ordered by rank, instead of in queues of the upstreams. The package
// does no network I/O: a caller submits a request, receives the decision from a
// channel and reports the result.
package broker
