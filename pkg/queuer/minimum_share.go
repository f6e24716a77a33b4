package queuer

import (
	"math"
	"time"
)

const (
	// usageWindow is the time constant of the moving average of slots in use.
	usageWindow = time.Second
	// creditWindow bounds the credit of a rank with waiting items to its minimum share of
	// this time.
	creditWindow = 10 * time.Second
	// maxDebtRuns bounds the negative credit of a rank, in mean service times. The bound
	// covers at least one run, so that the rank does not receive more than its share. It
	// is low because the use of slots that no other rank needed should not count for long.
	maxDebtRuns = 2
	// maxIdleCredit bounds the credit of a rank without waiting items to its minimum share
	// of this time, or to one mean service time if that is more. With credit for less than
	// one run, uploads that arrived with gaps received 0.089 of the slot time in a lookup
	// flood instead of 0.1.
	maxIdleCredit = time.Second
)

// parameters tune when ranks are served by their minimum share and how uploads are
// limited. BenchmarkTrial compares other values.
type parameters struct {
	// waitFraction is the fraction of a rank's target that its oldest item has to wait
	// before the minimum share lets it overtake more urgent ranks.
	waitFraction float64
	// maxUrgentUtilization is the number of slots that lookups and transactions use, as a
	// fraction of the slots that one more upload would leave them, above which uploads are
	// limited.
	maxUrgentUtilization float64
	// reservedSlots is the number of slots that uploads never use.
	reservedSlots int
	// refusalCooldown is the time after the last refused upload during which uploads may
	// not exceed their minimum share.
	refusalCooldown time.Duration
}

// BenchmarkTrial gave these reasons for the values. With a waitFraction of 0, the p99 of
// lookups rose by 3%; with 0.25, transactions waited twice as long in a lookup flood. With
// a maxUrgentUtilization of 0.1, an upload flood in light traffic raised the p99 of lookups
// to 1.8 times the normal one. refusalCooldown must be longer than the time after which
// refused callers retry.
var defaultParameters = parameters{waitFraction: 0.1, maxUrgentUtilization: 0.02, reservedSlots: 1, refusalCooldown: 2 * maxRetryAfter}

// slotAccounting records the slot time that each rank has used.
type slotAccounting struct {
	updatedAt time.Time
	// credit is the slot time in seconds that a rank has yet to receive of its minimum
	// share. It is negative for a rank that has received more.
	credit [RankCount]float64
	// averageSlots is the exponentially weighted moving average of the number of slots
	// that the rank uses.
	averageSlots [RankCount]float64
}

// updateAccounting accounts for the time since the last call and returns the current time.
// It must be called before the number of slots or of items in flight changes.
func (queue *Queue[T]) updateAccounting() time.Time {
	now := queue.clock.Now()
	accounting := &queue.accounting
	elapsed := now.Sub(accounting.updatedAt).Seconds()
	if elapsed <= 0 {
		return now
	}
	accounting.updatedAt = now
	decay := math.Exp(-elapsed / usageWindow.Seconds())
	for rank := range queue.policies {
		inUse := float64(queue.inFlight[rank])
		queue.serviceTimes[rank].addRunningTime(inUse, elapsed)
		accounting.averageSlots[rank] = accounting.averageSlots[rank]*decay + inUse*(1-decay)
		minimumSlots := queue.minimumSlots(Rank(rank))
		maxCredit := minimumSlots * creditWindow.Seconds()
		minCredit := -maxDebtRuns * queue.serviceTimes[rank].mean
		if queue.fifos[rank].length == 0 {
			maxCredit = max(minimumSlots*maxIdleCredit.Seconds(), queue.serviceTimes[rank].mean)
		}
		accounting.credit[rank] = min(max(accounting.credit[rank]+(minimumSlots-inUse)*elapsed, minCredit), maxCredit)
	}
	return now
}

// minimumSlots returns the number of slots that the rank's minimum share amounts to.
func (queue *Queue[T]) minimumSlots(rank Rank) float64 {
	return min(max(queue.policies[rank].MinimumShare, 0), 1) * float64(queue.slots)
}

// selectRank returns the rank whose oldest item runs next: of the ranks that are owed slot
// time, the one that is owed the most seconds of its minimum share, or else the most
// urgent rank.
func (queue *Queue[T]) selectRank(now time.Time) (Rank, bool) {
	best, mostOwed, found := Rank(0), -1.0, false
	for rank := Rank(0); rank < RankCount; rank++ {
		if queue.fifos[rank].length == 0 || queue.freeSlots() <= 0 {
			continue
		}
		owedFor := queue.owedSeconds(rank, now)
		if !queue.mayStart(rank, owedFor >= 0, now) {
			continue
		}
		if !found || owedFor > mostOwed {
			best, mostOwed, found = rank, owedFor, true
		}
	}
	return best, found
}

// owedSeconds returns how many seconds of its minimum share the rank has not received, or
// -1 if it is not owed any or its oldest item has not waited long enough to overtake more
// urgent ranks.
func (queue *Queue[T]) owedSeconds(rank Rank, now time.Time) float64 {
	minimumSlots, netCredit := queue.minimumSlots(rank), queue.netCredit(rank)
	waited := now.Sub(queue.fifos[rank].first.arrived)
	if minimumSlots <= 0 || netCredit < 0 || waited < toDuration(queue.parameters.waitFraction*queue.policies[rank].Target.Seconds()) {
		return -1
	}
	return netCredit / minimumSlots
}

// netCredit returns the rank's credit less the mean cost of its items in flight.
func (queue *Queue[T]) netCredit(rank Rank) float64 {
	return queue.accounting.credit[rank] - float64(queue.inFlight[rank])*queue.serviceTimes[rank].mean
}

// mayStart reports whether the rank may use a free slot; owed says whether it is owed slot
// time. A run is never preempted, so uploads in all slots would delay lookups by seconds.
// If there are two or more slots, uploads therefore leave one free. While urgent ranks are
// busy, uploads also use no more slots at a time than their minimum share amounts to, and
// at least one. While uploads are being refused as well, they receive no more than their
// minimum share.
func (queue *Queue[T]) mayStart(rank Rank, owed bool, now time.Time) bool {
	if rank != Upload || queue.slots < 2 {
		return true
	}
	if queue.inFlight[Upload] >= queue.maxUploads() {
		return false
	}
	return owed || !queue.uploadsCapped(now)
}

// maxUploads returns the number of slots that uploads may use now.
func (queue *Queue[T]) maxUploads() int {
	slots := queue.slots
	if slots < 2 {
		return slots
	}
	slots -= queue.parameters.reservedSlots
	if queue.urgentRanksBusy() {
		slots = min(slots, max(1, int(math.Ceil(queue.minimumSlots(Upload)))))
	}
	return slots
}

// urgentRanksBusy reports whether lookups and transactions use so many slots that uploads
// would delay them noticeably.
func (queue *Queue[T]) urgentRanksBusy() bool {
	remaining := float64(queue.slots - queue.inFlight[Upload] - 1)
	return queue.slots >= 2 && queue.accounting.averageSlots[Lookup]+queue.accounting.averageSlots[Transaction] > queue.parameters.maxUrgentUtilization*remaining
}

// uploadsCapped reports whether uploads receive no more than their minimum share: urgent
// ranks are busy and an upload was refused recently.
func (queue *Queue[T]) uploadsCapped(now time.Time) bool {
	return queue.urgentRanksBusy() && now.Before(queue.uploadRefusedAt.Add(queue.parameters.refusalCooldown))
}

func (queue *Queue[T]) freeSlots() int {
	free := queue.slots
	for _, count := range queue.inFlight {
		free -= count
	}
	return free
}
