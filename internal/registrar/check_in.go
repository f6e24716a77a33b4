package registrar

import (
	"cmp"
	"time"

	"github.com/cuminstream/cuminstream/pkg/broker"
)

// Entry is a decoded entry: an upstream as it was at one of its check-ins.
type Entry struct {
	broker.Upstream
	// Sequence counts the check-ins of a process of the upstream.
	Sequence int64
}

// checkIn identifies a check-in of an upstream. The store may carry out a check-in
// seconds after the upstream has sent it, and thereby replace the entry of a later one.
type checkIn struct {
	startedAt int64
	sequence  int64
}

func (checkIn checkIn) compare(other checkIn) int {
	return cmp.Or(cmp.Compare(checkIn.startedAt, other.startedAt), cmp.Compare(checkIn.sequence, other.sequence))
}

// checkIns is what is known of the check-ins of one upstream.
type checkIns struct {
	newest checkIn
	// former is the newest check-in of a process that seems to have started earlier.
	former checkIn
	// removedAt is when the entry was removed; zero while there is one.
	removedAt time.Time
	era       uint64 // of the store when the newest one was read
}

// checkInRetention is how long after its removal an upstream's check-ins are remembered.
// The store carries out a late call within seconds.
const checkInRetention = time.Minute

// accept records a check-in and reports whether it is the newest one. A process that
// seems to have started earlier is the running one if it goes on checking in: the clock
// of its machine was set back.
// In a later era of the store, the last check-in of a removed upstream is that of an old
// copy.
func (known *checkIns) accept(received checkIn, era uint64) bool {
	if received == known.newest && !known.removedAt.IsZero() && era > known.era {
		return false
	}
	stillRuns := received.startedAt == known.former.startedAt && received.sequence > known.former.sequence
	if received.compare(known.newest) >= 0 || stillRuns {
		known.newest, known.former, known.removedAt, known.era = received, checkIn{}, time.Time{}, era
		return true
	}
	if received.startedAt < known.newest.startedAt {
		known.former = received
	}
	return false
}

// expired reports whether the upstream was removed so long ago that its check-ins can be
// forgotten.
func (known *checkIns) expired(now time.Time) bool {
	return !known.removedAt.IsZero() && now.Sub(known.removedAt) >= checkInRetention
}
