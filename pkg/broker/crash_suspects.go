package broker

import "time"

const (
	// crashSuspectWindow is how long a lost upstream counts against the requests
	// that it was running. Callers send such requests again within seconds.
	crashSuspectWindow = 20 * time.Second
	// maxLosses is the number of lost upstreams from which on a request is refused.
	maxLosses = 2
	// lossEvidenceWindow is the time after an interrupted request within which its
	// upstream must refuse a connection or restart to count as lost.
	lossEvidenceWindow = 3 * time.Second
	// crashSuspectRetryAfter is the RetryAfter of a request refused as CrashSuspect.
	crashSuspectRetryAfter = crashSuspectWindow
)

// interruptedRun is a request to which an upstream gave no complete response.
type interruptedRun struct {
	fingerprint uint64
	at          time.Time
}

// trackCrashSuspects finds requests that may crash upstreams. When an upstream is
// lost right after requests on it were interrupted, any of them may have crashed
// it. A request is cleared once an upstream has served it.
func (broker *Broker) trackCrashSuspects(upstream *upstreamState, fingerprint uint64, outcome Outcome, now time.Time) {
	switch outcome {
	case Served:
		broker.crashSuspects.Clear(fingerprint)
	case Interrupted:
		upstream.interruptedRuns = append(upstream.interruptedRuns, interruptedRun{fingerprint, now})
		if len(upstream.interruptedRuns) > 2*upstream.Slots {
			upstream.interruptedRuns = upstream.interruptedRuns[1:]
		}
	case Unreachable:
		broker.recordUpstreamLoss(upstream, now)
	case Failed, Shed, Misdirected, Reset, TimedOut, Abandoned:
	}
}

// recordUpstreamLoss counts the loss of the upstream against the requests that
// were recently interrupted on it.
func (broker *Broker) recordUpstreamLoss(upstream *upstreamState, now time.Time) {
	var fingerprints []uint64
	for _, run := range upstream.interruptedRuns {
		if now.Sub(run.at) < lossEvidenceWindow {
			fingerprints = append(fingerprints, run.fingerprint)
		}
	}
	upstream.interruptedRuns = nil
	if len(fingerprints) > 0 {
		broker.crashSuspects.RecordLosses(fingerprints...)
	}
}
