// Package dispatcher serves the requests of one group while this VM holds the
// group's lease. Only the lease holder sends to the group's upstreams. It
// therefore tracks their slots, the queues by rank, the requests in flight, the
// request IDs and the owner of each key.
package dispatcher
