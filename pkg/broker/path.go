package broker

import "time"

// route is the way from the VMs of one availability zone to the upstreams of
// another one.
type route struct{ from, to string }

// path is what results have shown of a route. When a zone is cut off, all
// upstreams behind the cut fail at once: what a few requests have shown applies
// to the others too, which are then refused at once or go elsewhere.
type path struct {
	failures int       // in a row
	failedAt time.Time // the last one
	triedAt  time.Time // the last request that was let through while it was cut
}

const (
	// cutFailures is the number of failures in a row after which a route is taken
	// to be cut.
	cutFailures = 3
	// cutMemory is how long a route is taken to be cut after the last failure.
	cutMemory = 3 * time.Second
	// cutProbe is the time between requests that try a cut route.
	cutProbe = 250 * time.Millisecond
)

// noteRoute records what a result shows of the way from the VM's zone.
func (broker *Broker) noteRoute(zone string, upstream *upstream, outcome Outcome, now time.Time) {
	if zone == upstream.Zone || zone == "" {
		return
	}
	way := route{zone, upstream.Zone}
	switch outcome {
	case Served, Failed, Shed, Misdirected:
		delete(broker.paths, way)
	case Unreachable:
		known := broker.paths[way]
		known.failures++
		known.failedAt = now
		broker.paths[way] = known
	case TimedOut, Interrupted, Abandoned:
		// A slow upstream, or one that loses answers, says nothing about the way.
	}
}

// isCut reports whether the way to the upstream seems to be cut, and lets a
// request through now and then.
func (broker *Broker) isCut(zone string, upstream *upstream, now time.Time) bool {
	known, ok := broker.paths[route{zone, upstream.Zone}]
	if !ok || known.failures < cutFailures || now.Sub(known.failedAt) > cutMemory {
		return false
	}
	return now.Sub(known.triedAt) < cutProbe
}

// tryRoute records that a request goes a way that may be cut.
func (broker *Broker) tryRoute(zone string, upstream *upstream, now time.Time) {
	way := route{zone, upstream.Zone}
	if known, ok := broker.paths[way]; ok {
		known.triedAt = now
		broker.paths[way] = known
	}
}
