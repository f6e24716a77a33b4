package leaser

import (
	"fmt"
	"time"
)

// Timing holds the durations that bound the time to serve a key again after a
// loss. They are stated here only.
type Timing struct {
	Heartbeat time.Duration // between heartbeats and renewals
	Suspicion time.Duration // without a heartbeat until a peer is suspected
	Lease     time.Duration // how long a promise lasts
	Margin    time.Duration // by which the holder ends its lease earlier
	Decision  time.Duration // for decision and takeover
	Spare     time.Duration
}

// DefaultTiming serves a key again within 2 s of a loss.
func DefaultTiming() Timing {
	return Timing{
		Heartbeat: 150 * time.Millisecond,
		Suspicion: 600 * time.Millisecond,
		Lease:     800 * time.Millisecond,
		Margin:    50 * time.Millisecond,
		Decision:  400 * time.Millisecond,
		Spare:     200 * time.Millisecond,
	}
}

// unavailableBound is the longest time that a key may go unserved after a loss.
const unavailableBound = 2 * time.Second

// Validate checks that the durations add up to at most 2 s and that renewals
// fit into a lease several times.
func (timing Timing) Validate() error {
	total := timing.Suspicion + timing.Decision + timing.Lease + timing.Spare
	if total > unavailableBound {
		return fmt.Errorf("suspicion %v, decision %v, lease %v and spare %v add up to %v, above the bound of %v",
			timing.Suspicion, timing.Decision, timing.Lease, timing.Spare, total, unavailableBound)
	}
	if timing.Heartbeat <= 0 || 3*timing.Heartbeat > timing.Suspicion {
		return fmt.Errorf("heartbeat %v must be above 0 and fit into the suspicion time %v three times", timing.Heartbeat, timing.Suspicion)
	}
	if timing.Margin <= 0 || timing.Margin >= timing.Lease/2 {
		return fmt.Errorf("margin %v must be above 0 and below half of the lease %v", timing.Margin, timing.Lease)
	}
	return nil
}
