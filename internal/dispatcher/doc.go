// Package dispatcher serves the requests of one group while this VM holds the
// group's lease. It is the only sender to the group's upstreams, and therefore
// the one place that knows their slots, the queues by rank, the requests in
// flight, the request IDs and the owner of each key.
package dispatcher
