package queuer

import (
	"math"
	"time"
)

const (
	// demandWindow is the time constant of the recent use of slots.
	demandWindow = time.Second
	// creditWindow bounds the credit that a rank with waiting work builds up.
	creditWindow = 10 * time.Second
	// debtRuns bounds the debt of a rank, in mean service times. One run must
	// be paid back in full, so that its rank does not receive too much; use of
	// slots that nobody else wanted should be forgotten soon.
	debtRuns = 2
	// idleCredit bounds the credit of a rank without waiting work, unless one
	// run takes longer. With less than one run, uploads that arrived with gaps
	// received 0.089 of the slot time in a lookup flood instead of 0.1.
	idleCredit = time.Second
)

// rules are the parts of the share rule that the trial varies.
type rules struct {
	// patience is the part of a rank's target that its first item waits before
	// the minimum share lets it pass more urgent ranks.
	patience float64
	// headroom is the use by urgent ranks, as a fraction of the slots that one
	// more upload would leave them, above which uploads are restrained.
	headroom float64
	// withheld is the number of slots that uploads never take.
	withheld int
	// calm is the time without a refused upload after which uploads may again
	// exceed their minimum share.
	calm time.Duration
}

// With patience 0, the p99 of lookups rose by 3% in the trial; with 0.25,
// transactions waited twice as long in a lookup flood. A headroom of 0.1 let an
// upload flood in light traffic raise the p99 of lookups to 1.8 times the normal
// one. Calm must outlast the time for which refused callers stay away.
var defaultRules = rules{patience: 0.1, headroom: 0.02, withheld: 1, calm: 2 * longestRetry}

// shares accounts for the slot time of each rank.
type shares struct {
	last time.Time
	// credit is the slot time in seconds that a rank has not yet received of
	// its minimum share. It is negative for a rank that received more.
	credit [RankCount]float64
	// demand is the decayed number of slots that the rank has used.
	demand [RankCount]float64
}

// tick brings the slot time up to date and returns the current time.
func (queue *Queue[T]) tick() time.Time {
	now := queue.clock.Now()
	shares := &queue.shares
	elapsed := now.Sub(shares.last).Seconds()
	if elapsed <= 0 {
		return now
	}
	shares.last = now
	keep := math.Exp(-elapsed / demandWindow.Seconds())
	for rank := range queue.policies {
		taken := float64(queue.inFlight[rank])
		queue.service[rank].age(taken, elapsed)
		shares.demand[rank] = shares.demand[rank]*keep + taken*(1-keep)
		due := queue.due(Rank(rank))
		most := due * creditWindow.Seconds()
		least := -debtRuns * queue.service[rank].mean
		if queue.lines[rank].length == 0 {
			most = max(due*idleCredit.Seconds(), queue.service[rank].mean)
		}
		shares.credit[rank] = min(max(shares.credit[rank]+(due-taken)*elapsed, least), most)
	}
	return now
}

// due is the number of slots that the rank's minimum share amounts to.
func (queue *Queue[T]) due(rank Rank) float64 {
	return min(max(queue.policies[rank].MinimumShare, 0), 1) * float64(queue.slots)
}

// choose returns the rank whose first item runs next: a rank that is owed slot
// time, the one that has been owed it for longest before others, and else the
// most urgent rank.
func (queue *Queue[T]) choose(now time.Time) (Rank, bool) {
	best, longest, found := Rank(0), -1.0, false
	for rank := Rank(0); rank < RankCount; rank++ {
		if queue.lines[rank].length == 0 || queue.free() <= 0 {
			continue
		}
		owed := queue.owed(rank, now)
		if !queue.allowed(rank, owed >= 0, now) {
			continue
		}
		if !found || owed > longest {
			best, longest, found = rank, owed, true
		}
	}
	return best, found
}

// owed returns for how many seconds the rank has been owed slot time, or -1
// when it is not.
func (queue *Queue[T]) owed(rank Rank, now time.Time) float64 {
	due, credit := queue.due(rank), queue.credit(rank)
	waited := now.Sub(queue.lines[rank].first.arrived)
	if due <= 0 || credit < 0 || waited < seconds(queue.rules.patience*queue.policies[rank].Target.Seconds()) {
		return -1
	}
	return credit / due
}

// credit is the rank's credit less the expected cost of its items in flight.
func (queue *Queue[T]) credit(rank Rank) float64 {
	return queue.shares.credit[rank] - float64(queue.inFlight[rank])*queue.service[rank].mean
}

// allowed reports whether the rank may take a free slot. An upload that has
// begun is not stopped, so that uploads in all slots would delay lookups by
// seconds. Where there are two or more slots, one is therefore withheld from
// uploads. While urgent ranks are in use, uploads also take no more slots at a
// time than their minimum share amounts to, and at least one; while more uploads
// arrive than can be admitted, they receive their minimum share and no more.
func (queue *Queue[T]) allowed(rank Rank, owed bool, now time.Time) bool {
	if rank != Upload || queue.slots < 2 {
		return true
	}
	if queue.inFlight[Upload] >= queue.uploadSlots() {
		return false
	}
	return owed || !queue.paced(now)
}

// uploadSlots is the number of slots that uploads may take now.
func (queue *Queue[T]) uploadSlots() int {
	slots := queue.slots
	if slots < 2 {
		return slots
	}
	slots -= queue.rules.withheld
	if queue.restrained() {
		slots = min(slots, max(1, int(math.Ceil(queue.due(Upload)))))
	}
	return slots
}

// restrained reports whether the urgent ranks use so much that uploads would
// delay them noticeably.
func (queue *Queue[T]) restrained() bool {
	left := float64(queue.slots - queue.inFlight[Upload] - 1)
	return queue.slots >= 2 && queue.shares.demand[Lookup]+queue.shares.demand[Transaction] > queue.rules.headroom*left
}

// paced reports whether uploads receive no more than their minimum share.
func (queue *Queue[T]) paced(now time.Time) bool {
	return queue.restrained() && now.Before(queue.crowded.Add(queue.rules.calm))
}

func (queue *Queue[T]) free() int {
	free := queue.slots
	for _, count := range queue.inFlight {
		free -= count
	}
	return free
}
