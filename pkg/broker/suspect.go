package broker

import "time"

const (
	// suspectWindow is how long the loss of an upstream is held against the
	// requests that it was running. Such requests come again within seconds.
	suspectWindow = 20 * time.Second
	// maxLosses is the number of upstreams lost to a request after which it is
	// refused.
	maxLosses = 2
	// lossEvidence is the time within which an upstream that broke a request off
	// must prove lost: it refuses connections or starts again.
	lossEvidence = 3 * time.Second
	// suspectRetryAfter is the hint to callers of a refused request.
	suspectRetryAfter = suspectWindow
)

// brokenRun is a request that an upstream broke off.
type brokenRun struct {
	fingerprint uint64
	at          time.Time
}

// noteRun follows what requests do to upstreams: one that is lost right after it
// broke requests off may have been crashed by one of them, unless that one runs
// to its end elsewhere.
func (broker *Broker) noteRun(upstream *upstream, fingerprint uint64, outcome Outcome, now time.Time) {
	switch outcome {
	case Served:
		broker.suspects.Clear(fingerprint)
	case Interrupted:
		upstream.brokenRuns = append(upstream.brokenRuns, brokenRun{fingerprint, now})
		if len(upstream.brokenRuns) > 2*upstream.Slots {
			upstream.brokenRuns = upstream.brokenRuns[1:]
		}
	case Unreachable:
		broker.loseRuns(upstream, now)
	case Failed, Shed, Misdirected, TimedOut, Abandoned:
	}
}

// loseRuns holds the loss of the upstream against the requests that it broke off.
func (broker *Broker) loseRuns(upstream *upstream, now time.Time) {
	var fingerprints []uint64
	for _, run := range upstream.brokenRuns {
		if now.Sub(run.at) < lossEvidence {
			fingerprints = append(fingerprints, run.fingerprint)
		}
	}
	upstream.brokenRuns = nil
	if len(fingerprints) > 0 {
		broker.suspects.Lose(fingerprints...)
	}
}
