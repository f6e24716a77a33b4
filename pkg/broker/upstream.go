package broker

import (
	"time"
)

const (
	// initialServiceTime is the assumed service time of an upstream before any
	// request was measured.
	initialServiceTime = 150 * time.Millisecond
	// serviceTimeWeight is the weight of the newest sample in the moving average of
	// the service time.
	serviceTimeWeight = 0.08
	// failureWeight is the weight of the newest result in the failure rate.
	failureWeight = 0.15
	// shedPause is how long an upstream gets no request after it has refused one,
	// unless refusals of all upstreams explain it (recordRefusal). It doubles with each further refusal,
	// up to maxShedPause.
	shedPause    = 40 * time.Millisecond
	maxShedPause = 320 * time.Millisecond
	// resetPause is how long an upstream gets no request after it has reset a connection
	// that it had accepted. In trials, 4 to 8 ms served more than 40 ms.
	resetPause = 8 * time.Millisecond
	// unreachablePause is how long a VM sends nothing to an upstream to which it
	// failed to connect twice in a row.
	unreachablePause = 500 * time.Millisecond
	// interruptionLimit is the number of consecutive interrupted requests after
	// which an upstream gets no request for interruptionPause.
	interruptionLimit = 3
	interruptionPause = time.Second
)

// upstreamState is an upstream and what the broker has measured of it.
type upstreamState struct {
	Upstream
	slotLimit int // slots that this broker may assign; may be below Slots in local mode
	// limitedSlots are the Slots from which slotLimit was computed; 0 before.
	limitedSlots int
	local        bool           // other VMs assign slots of the upstream too, in local mode
	assigned     int            // slots that this broker has assigned
	foreign      map[string]int // slots in use that other brokers assigned, by VM

	offeredLoad      rateMeter // seconds of service time that arrive for its keys
	serviceTime      float64   // moving average in seconds, over all conditions
	model            *speedModel
	speed            speed
	samples          int     // measurements in serviceTime
	failureRate      float64 // moving average of the share of failed requests
	interruptions    int     // consecutive interrupted requests
	consecutiveSheds int     // consecutive refusals without a free slot
	refusals         refusalMeter
	serviceRefusals  *refusalMeter // of all upstreams
	classes          classLoads    // of requests for its keys
	interruptedRuns  []interruptedRun
	evacuatedAt      time.Time // when it became Evacuated
	coldUntil        time.Time
	sent             sendTimes // while the service has a warm-up bound
	pausedUntil      time.Time
	connectFailures  map[string]int       // consecutive, by VM
	unreachableUntil map[string]time.Time // by VM
	busyUntil        map[string]time.Time // by VM from which the upstream wants no request
}

func newUpstreamState(info Upstream, model *speedModel, serviceRefusals *refusalMeter, serviceTime, normalTime float64) *upstreamState {
	return &upstreamState{
		Upstream: info, serviceRefusals: serviceRefusals, slotLimit: info.Slots, serviceTime: serviceTime, model: model, speed: newSpeed(normalTime),
		foreign: map[string]int{}, unreachableUntil: map[string]time.Time{}, connectFailures: map[string]int{}, busyUntil: map[string]time.Time{},
	}
}

// inUse returns the number of slots in use, as far as this broker knows.
func (upstream *upstreamState) inUse() int {
	count := upstream.assigned
	for _, foreign := range upstream.foreign {
		count += foreign
	}
	return count
}

func (upstream *upstreamState) freeSlots() int { return upstream.slotLimit - upstream.inUse() }

// assignable returns how many more requests the upstream may get for keys that only
// it can serve. While requests wait, that is one more than it has free slots: the
// upstream starts the extra one itself as soon as a slot is free. Otherwise the slot
// would stay empty until the end of its request was reported to the broker and the
// next request had arrived.
func (upstream *upstreamState) assignable(waiting int) int {
	if waiting > 1 && !upstream.local {
		return upstream.freeSlots() + 1
	}
	return upstream.freeSlots()
}

// usable reports whether the upstream is neither evacuated, paused nor unreachable from the
// VM, and takes its requests.
func (upstream *upstreamState) usable(vm string, now time.Time) bool {
	return !upstream.Evacuated && !now.Before(upstream.pausedUntil) && !now.Before(upstream.unreachableUntil[vm]) && !now.Before(upstream.busyUntil[vm])
}

// recordResult updates the statistics and pauses of the upstream with the result
// of a request of the VM.
func (upstream *upstreamState) recordResult(vm string, result Result, now time.Time) {
	if until := now.Add(result.BusyFor); until.After(upstream.busyUntil[vm]) && result.BusyFor > 0 {
		upstream.busyUntil[vm] = until
	}
	if result.Warmup > 0 {
		upstream.coldUntil = now.Add(result.Warmup)
	}
	switch result.Outcome {
	case Served, Failed:
		upstream.interruptions = 0
		upstream.recordAcceptance(now)
		delete(upstream.unreachableUntil, vm)
		delete(upstream.connectFailures, vm)
		upstream.recordSample(result, now)
	case Shed, Misdirected:
		upstream.recordRefusal(result, now)
	case Unreachable:
		upstream.connectFailures[vm]++
		if upstream.connectFailures[vm] > 1 {
			upstream.unreachableUntil[vm] = now.Add(unreachablePause)
		}
	case Reset:
		// The upstream is full rather than lost: it accepts connections.
		delete(upstream.unreachableUntil, vm)
		delete(upstream.connectFailures, vm)
		if until := now.Add(resetPause); until.After(upstream.pausedUntil) {
			upstream.pausedUntil = until
		}
	case Interrupted:
		upstream.failureRate += failureWeight * (1 - upstream.failureRate)
		upstream.interruptions++
		if upstream.interruptions >= interruptionLimit {
			upstream.pausedUntil = now.Add(interruptionPause)
			upstream.interruptions = interruptionLimit - 1 // one more interruption pauses it again
		}
	case TimedOut, Abandoned:
		// The time until a request was given up is no service time. A full upstream that
		// never responds serves the requests that it has accepted as fast as before.
	}
}

// recordSample updates the failure rate and the service time.
func (upstream *upstreamState) recordSample(result Result, now time.Time) {
	failed := 0.0
	if result.Outcome == Failed {
		failed = 1
	}
	upstream.failureRate += failureWeight * (failed - upstream.failureRate)
	if failed == 1 {
		return // a quick failure says nothing about the service time
	}
	upstream.samples++
	weight := max(serviceTimeWeight, 1/float64(upstream.samples+2))
	upstream.serviceTime += weight * (result.Elapsed.Seconds() - upstream.serviceTime)
	upstream.recordSpeed(result.Elapsed.Seconds(), result.Slowness, weight, now)
}
