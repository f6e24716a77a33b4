package broker

import "time"

// zonePair is the network path from the VMs of one availability zone to the
// upstreams of another one.
type zonePair struct{ from, to string }

// pathState is the health of a path, as results of requests show it. When a zone
// is partitioned, all of its upstreams become unreachable at once: a few failures
// are enough to refuse further requests or send them to other zones.
type pathState struct {
	failures int       // consecutive
	failedAt time.Time // the last failure
	probedAt time.Time // the last request that was sent along the path
}

const (
	// partitionFailures is the number of consecutive failures after which a path
	// is considered partitioned.
	partitionFailures = 3
	// partitionTimeout is how long a path is considered partitioned after the last
	// failure.
	partitionTimeout = 3 * time.Second
	// partitionProbeInterval is the time between requests that probe a partitioned
	// path.
	partitionProbeInterval = 250 * time.Millisecond
)

// recordPathResult updates the state of the path from the VM's zone to the upstream.
func (broker *Broker) recordPathResult(zone string, upstream *upstreamState, outcome Outcome, now time.Time) {
	if zone == upstream.Zone || zone == "" {
		return
	}
	pair := zonePair{zone, upstream.Zone}
	switch outcome {
	case Served, Failed, Shed, Misdirected, Reset:
		delete(broker.paths, pair)
	case Unreachable:
		state := broker.paths[pair]
		state.failures++
		state.failedAt = now
		broker.paths[pair] = state
	case TimedOut, Interrupted, Abandoned:
		// These may come from a slow or failing upstream rather than the path.
	}
}

// isPartitioned reports whether the path to the upstream is considered
// partitioned. It returns false once per probe interval, to let a request probe
// the path.
func (broker *Broker) isPartitioned(zone string, upstream *upstreamState, now time.Time) bool {
	state, ok := broker.paths[zonePair{zone, upstream.Zone}]
	if !ok || state.failures < partitionFailures || now.Sub(state.failedAt) > partitionTimeout {
		return false
	}
	return now.Sub(state.probedAt) < partitionProbeInterval
}

// recordProbe records that a request is sent along a path with recent failures.
func (broker *Broker) recordProbe(zone string, upstream *upstreamState, now time.Time) {
	pair := zonePair{zone, upstream.Zone}
	if state, ok := broker.paths[pair]; ok {
		state.probedAt = now
		broker.paths[pair] = state
	}
}
