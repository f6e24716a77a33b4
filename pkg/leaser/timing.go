package leaser

import (
	"fmt"
	"time"
)

// Timing holds the durations that bound how long a key is unavailable after a
// loss. They are defined here only.
type Timing struct {
	HeartbeatInterval time.Duration // between heartbeats, and between renewals of a lease
	SuspicionTimeout  time.Duration // without a heartbeat until a peer is suspected
	LeaseDuration     time.Duration // how long a voter's promise lasts
	SafetyMargin      time.Duration // by which the holder ends its lease before the promises end
	TakeoverTimeout   time.Duration // for electing a new holder and taking over
	Slack             time.Duration // reserve within the bound
}

// DefaultTiming returns durations with which a key is served again within 2 s of
// a loss.
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

// maxUnavailability is the longest time that a key may be unavailable after a
// loss.
const maxUnavailability = 2 * time.Second

// Validate checks that the durations of a takeover add up to at most 2 s, that
// several heartbeats fit into the suspicion timeout, and that the safety margin
// leaves more than half of a lease.
func (timing Timing) Validate() error {
	total := timing.SuspicionTimeout + timing.TakeoverTimeout + timing.LeaseDuration + timing.Slack
	if total > maxUnavailability {
		return fmt.Errorf("suspicion %v, takeover %v, lease %v and slack %v add up to %v, above the maximum of %v",
			timing.SuspicionTimeout, timing.TakeoverTimeout, timing.LeaseDuration, timing.Slack, total, maxUnavailability)
	}
	if timing.HeartbeatInterval <= 0 || 3*timing.HeartbeatInterval > timing.SuspicionTimeout {
		return fmt.Errorf("heartbeat interval %v must be above 0 and at most a third of the suspicion timeout %v", timing.HeartbeatInterval, timing.SuspicionTimeout)
	}
	if timing.SafetyMargin <= 0 || timing.SafetyMargin >= timing.LeaseDuration/2 {
		return fmt.Errorf("safety margin %v must be above 0 and below half of the lease duration %v", timing.SafetyMargin, timing.LeaseDuration)
	}
	return nil
}
