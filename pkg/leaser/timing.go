package leaser

import (
	"fmt"
	"time"
)

// Timing holds the durations that bound the time to serve a key again after a
// loss. They are stated here only.
type Timing struct {
	HeartbeatInterval time.Duration // between heartbeats and renewals
	SuspicionTimeout  time.Duration // without a heartbeat until a peer is suspected
	LeaseDuration     time.Duration // how long a promise lasts
	SafetyMargin      time.Duration // by which the holder ends its lease earlier
	TakeoverTimeout   time.Duration // for decision and takeover
	Slack             time.Duration
}

// DefaultTiming serves a key again within 2 s of a loss.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatInterval: 150 * time.Millisecond,
		SuspicionTimeout:  600 * time.Millisecond,
		LeaseDuration:     800 * time.Millisecond,
		SafetyMargin:      50 * time.Millisecond,
		TakeoverTimeout:   400 * time.Millisecond,
		Slack:             200 * time.Millisecond,
	}
}

// unavailableBound is the longest time that a key may go unserved after a loss.
const unavailableBound = 2 * time.Second

// Validate checks that the durations add up to at most 2 s and that renewals
// fit into a lease several times.
func (timing Timing) Validate() error {
	total := timing.SuspicionTimeout + timing.TakeoverTimeout + timing.LeaseDuration + timing.Slack
	if total > unavailableBound {
		return fmt.Errorf("suspicion %v, decision %v, lease %v and spare %v add up to %v, above the bound of %v",
			timing.SuspicionTimeout, timing.TakeoverTimeout, timing.LeaseDuration, timing.Slack, total, unavailableBound)
	}
	if timing.HeartbeatInterval <= 0 || 3*timing.HeartbeatInterval > timing.SuspicionTimeout {
		return fmt.Errorf("heartbeat %v must be above 0 and fit into the suspicion time %v three times", timing.HeartbeatInterval, timing.SuspicionTimeout)
	}
	if timing.SafetyMargin <= 0 || timing.SafetyMargin >= timing.LeaseDuration/2 {
		return fmt.Errorf("margin %v must be above 0 and below half of the lease %v", timing.SafetyMargin, timing.LeaseDuration)
	}
	return nil
}
