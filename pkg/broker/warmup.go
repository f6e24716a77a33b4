package broker

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// WarmupBound describes the cold upstreams of a service. An upstream is cold for a time
// after its start or its return, and tolerates few requests until then.
type WarmupBound struct {
	// Duration is how long an upstream is cold.
	Duration time.Duration
	// PerSecond is how many requests a cold upstream may get in any second, from all VMs
	// together; 0 for no bound.
	PerSecond float64
}

const (
	// warmupWindow is the time over which requests to a cold upstream are counted. It is
	// longer than the second of the bound, because requests that were assigned 1.2 s apart
	// can arrive within one second: the first one may need a new connection, whose packets
	// may be lost once.
	warmupWindow = 1200 * time.Millisecond
	// brokerWarmupShare is the share of the bound that the broker hands out. The rest is
	// for VMs that cannot reach it, and for the time right after a change of broker.
	brokerWarmupShare = 0.75
)

// sendTimes are the times at which an upstream was assigned requests, within the last
// warmupWindow, in ascending order.
type sendTimes []time.Time

// add returns the times with the given one, without those that no longer count.
func (times sendTimes) add(now time.Time) sendTimes {
	return append(times.recent(now), now)
}

// recent returns the times that still count.
func (times sendTimes) recent(now time.Time) sendTimes {
	for len(times) > 0 && now.Sub(times[0]) >= warmupWindow {
		times = times[1:]
	}
	return times
}

// wait returns how long a request waits until it may be sent, with the given number of
// requests before it, if at most limit requests may be sent in any warmupWindow. The limit
// is above 0.
func (times sendTimes) wait(now time.Time, limit, ahead int) time.Duration {
	times = times.recent(now)
	windows := 0
	// A request is sent one window after the one that is limit places before it.
	before := len(times) + ahead - limit
	for before >= len(times) {
		before -= limit
		windows++
	}
	wait := time.Duration(windows) * warmupWindow
	if before >= 0 {
		wait += warmupWindow - now.Sub(times[before])
	}
	return wait
}

// SetWarmupBound sets how cold upstreams are treated.
func (broker *Broker) SetWarmupBound(bound WarmupBound) {
	broker.mutex.Lock()
	defer broker.mutex.Unlock()
	broker.warmup.bound = bound
}

// SetWarmupVMs sets the names of all VMs, which share the bound while there is no broker.
func (broker *Broker) SetWarmupVMs(names []string) {
	broker.mutex.Lock()
	defer broker.mutex.Unlock()
	broker.warmup.vms = names
}

// warmup is the state of the warm-up bound.
type warmup struct {
	bound WarmupBound
	// vms are the names of all VMs.
	vms []string
	// blindUntil is until when an earlier broker may have assigned requests that count.
	blindUntil time.Time
	listed     bool // there has been a list of upstreams
	limited    uint64
}

// markCold updates until when the upstream is cold. A check-in says how long that is from
// then on; the time on its way makes the end late rather than early. An upstream that
// appears is taken to be cold whatever its entry says, since the entry may be late.
func (broker *Broker) markCold(state *upstreamState, info Upstream, appeared bool, now time.Time) {
	stated := info.Warmup != state.Warmup || info.CheckIn != state.CheckIn
	if stated {
		state.coldUntil = now.Add(info.Warmup)
	}
	if !appeared {
		return
	}
	until := now.Add(max(info.Warmup, broker.warmup.bound.Duration))
	if !broker.warmup.listed { // it may have started long ago
		if started := time.UnixMilli(info.StartedAt).Add(broker.warmup.bound.Duration); started.Before(until) {
			until = started
		}
		until = later(until, now.Add(info.Warmup))
	}
	state.coldUntil = later(state.coldUntil, until)
}

// cold reports whether the upstream is cold.
func (upstream *upstreamState) cold(now time.Time) bool { return now.Before(upstream.coldUntil) }

// warmupLimit returns how many requests this broker may assign to the upstream in any
// warmupWindow. bounded is false if there is no limit.
func (broker *Broker) warmupLimit(upstream *upstreamState, now time.Time) (limit int, bounded bool) {
	bound := broker.warmup.bound.PerSecond
	if bound <= 0 || !upstream.cold(now) {
		return 0, false
	}
	if broker.localMode.assignsForAll() && !now.Before(broker.warmup.blindUntil) {
		return brokerWarmupLimit(bound), true
	}
	return localWarmupLimit(broker.localMode.vm, upstream.ID, broker.warmup.vms, int(bound)-brokerWarmupLimit(bound)), true
}

// brokerWarmupLimit returns the broker's share of the bound, at least one request if the
// bound allows one.
func brokerWarmupLimit(bound float64) int {
	return max(int(brokerWarmupShare*bound), min(int(bound), 1))
}

// warmupRate returns how many requests per second the broker may assign to a cold upstream.
func warmupRate(bound float64) float64 {
	return float64(brokerWarmupLimit(bound)) / warmupWindow.Seconds()
}

// localWarmupLimit returns the share of a VM in the total limit of an upstream. A total
// that is not a multiple of the number of VMs is shared by a hash: all VMs agree on it
// without a call, and each VM has the same share over all upstreams.
func localWarmupLimit(vm, upstream string, vms []string, total int) int {
	if len(vms) == 0 {
		return 0 // the others are not known yet
	}
	weight := func(name string) uint64 { return xxhash.Sum64String(name + "\x00" + upstream) }
	own, before, listed := weight(vm), 0, false
	for _, name := range vms {
		if name == vm {
			listed = true
		} else if other := weight(name); other > own || (other == own && name < vm) {
			before++
		}
	}
	if !listed {
		return 0
	}
	limit := total / len(vms)
	if before < total%len(vms) {
		limit++
	}
	return limit
}

// warmupFree returns how many requests the upstream may get now, as far as the warm-up
// bound is concerned, up to the given number.
func (broker *Broker) warmupFree(upstream *upstreamState, most int, now time.Time) int {
	limit, bounded := broker.warmupLimit(upstream, now)
	if !bounded {
		return most
	}
	return min(most, max(limit-len(upstream.sent.recent(now)), 0))
}

// warmupWait returns how long a request for the upstream waits because of the warm-up
// bound, with the given number of requests before it. ok is false if this VM may send
// nothing to it.
func (broker *Broker) warmupWait(upstream *upstreamState, ahead int, now time.Time) (wait time.Duration, ok bool) {
	limit, bounded := broker.warmupLimit(upstream, now)
	switch {
	case !bounded:
		return 0, true
	case limit == 0:
		return 0, false
	}
	// The bound ends with the cold time.
	return min(upstream.sent.wait(now, limit, ahead), upstream.coldUntil.Sub(now)), true
}

// refuseLimited refuses the waiting requests of a cold upstream that cannot be served in
// their time because of the warm-up bound.
func (broker *Broker) refuseLimited(queue *queue, now time.Time) {
	owner := broker.upstreams[queue.owner]
	if owner == nil || len(queue.waiting) == 0 {
		return
	}
	limit, bounded := broker.warmupLimit(owner, now)
	if !bounded || broker.warmupFree(owner, len(queue.waiting), now) == len(queue.waiting) {
		return
	}
	kept := queue.waiting[:0]
	for _, waiter := range queue.waiting {
		wait := owner.coldUntil.Sub(now)
		if limit > 0 {
			wait = min(wait, owner.sent.wait(now, limit, len(kept)))
		}
		if end := now.Add(wait + durationOfSeconds(owner.serviceTimeAt(now))); wait == 0 || !end.After(waiter.arrivedAt.Add(waiter.request.Timeout)) {
			kept = append(kept, waiter)
			continue
		}
		waiter.queue = nil
		broker.waitingCount--
		waiter.Decision <- Decision{Refusal: WarmingUp, RetryAfter: broker.jitter(wait), Waited: now.Sub(waiter.arrivedAt), QueueLength: waiter.queueLength}
	}
	clear(queue.waiting[len(kept):])
	queue.waiting = kept
}

// refineReason returns the reason of a refusal at arrival. It replaces those that do not
// say why an upstream with free slots does not get the request.
func (broker *Broker) refineReason(waiter *Waiter, reason RefusalReason, now time.Time) RefusalReason {
	if reason != Overloaded && reason != Unavailable {
		return reason
	}
	if !broker.keyed(waiter.request) {
		if broker.evacuated > 0 && !broker.anyRemaining() {
			return Evacuated
		}
		return reason
	}
	owner := broker.upstreams[waiter.owner.Upstream]
	if owner == nil {
		return reason
	}
	if owner.Evacuated {
		return Evacuated
	}
	if wait, ok := broker.warmupWait(owner, broker.position(waiter), now); wait > 0 || !ok {
		return WarmingUp
	}
	return reason
}

// needsFirstRequest reports whether the upstream is cold and has got no request for a while.
// It gets the next one that it can serve in time, although others are faster: cold upstreams
// get work from the first second on, and their speed is measured by it. In local mode, all
// VMs would do so at once.
func (broker *Broker) needsFirstRequest(upstream *upstreamState, now time.Time) bool {
	return len(broker.localMode.members) <= 1 && upstream.cold(now) && len(upstream.sent.recent(now)) == 0
}

// recordSent counts a request that is assigned to the upstream.
func (broker *Broker) recordSent(upstream *upstreamState, now time.Time) {
	if broker.warmup.bound.PerSecond > 0 || upstream.cold(now) {
		upstream.sent = upstream.sent.add(now)
	}
}

// WarmupStats describes the cold upstreams of a service.
type WarmupStats struct {
	// Cold are the IDs of the cold upstreams, sorted.
	Cold []string
	// Limited counts the requests that waited or were refused because of the bound.
	Limited uint64
}

// WarmupStats returns the cold upstreams.
func (broker *Broker) WarmupStats() WarmupStats {
	broker.mutex.Lock()
	defer broker.mutex.Unlock()
	stats := WarmupStats{Limited: broker.warmup.limited}
	now := broker.Clock.Now()
	for _, upstream := range broker.upstreams {
		if upstream.cold(now) {
			stats.Cold = append(stats.Cold, upstream.ID)
		}
	}
	slices.Sort(stats.Cold)
	return stats
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
