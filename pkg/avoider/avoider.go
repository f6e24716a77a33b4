package avoider

import (
	"sync"
	"time"

	"github.com/cuminstream/cuminstream/pkg/broker"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

const (
	// MaxBusy is the longest time for which a busy upstream is believed.
	MaxBusy = 5 * time.Minute
	// retention is how long the notices of an upstream that is not registered are kept.
	retention = time.Minute
)

// Avoider holds the notices of upstreams. The exported fields are set before its first use.
// It is safe for concurrent use.
type Avoider struct {
	Clock clocker.Clock

	mutex     sync.Mutex
	upstreams map[incarnation]*state
}

// incarnation identifies one process of an upstream.
type incarnation struct {
	id        string
	startedAt int64
}

type state struct {
	leavingSince time.Time // zero if it is not leaving
	busyUntil    time.Time
	unknownSince time.Time // since when it is not registered; zero while it is
}

func incarnationOf(upstream broker.Upstream) incarnation {
	return incarnation{upstream.ID, upstream.StartedAt}
}

// Change says what a notice has changed.
type Change struct {
	Leaving   bool      // the upstream was not known to be leaving
	BusyUntil time.Time // the end of a busy time that has begun; zero for none
}

// Observe records the notice of a response that the upstream has sent to this VM.
func (avoider *Avoider) Observe(upstream broker.Upstream, notice broker.Notice) (change Change) {
	if notice == (broker.Notice{}) {
		return change
	}
	avoider.mutex.Lock()
	defer avoider.mutex.Unlock()
	now := avoider.Clock.Now()
	if avoider.upstreams == nil {
		avoider.upstreams = map[incarnation]*state{}
	}
	key := incarnationOf(upstream)
	known := avoider.upstreams[key]
	if known == nil {
		known = &state{unknownSince: now}
		avoider.upstreams[key] = known
	}
	if notice.Leaving && known.leavingSince.IsZero() {
		known.leavingSince, change.Leaving = now, true
	}
	if until := now.Add(min(notice.BusyFor, MaxBusy)); notice.BusyFor > 0 && until.After(known.busyUntil) {
		if !now.Before(known.busyUntil) {
			change.BusyUntil = until
		}
		known.busyUntil = until
	}
	return change
}

// LeavingSince returns when the upstream was first known to be leaving.
func (avoider *Avoider) LeavingSince(upstream broker.Upstream) (since time.Time, ok bool) {
	avoider.mutex.Lock()
	defer avoider.mutex.Unlock()
	if known := avoider.upstreams[incarnationOf(upstream)]; known != nil {
		return known.leavingSince, !known.leavingSince.IsZero()
	}
	return time.Time{}, false
}

// BusyFor returns for how long the upstream wants no request from this VM; 0 if it takes
// requests.
func (avoider *Avoider) BusyFor(upstream broker.Upstream) time.Duration {
	avoider.mutex.Lock()
	defer avoider.mutex.Unlock()
	if known := avoider.upstreams[incarnationOf(upstream)]; known != nil {
		return max(known.busyUntil.Sub(avoider.Clock.Now()), 0)
	}
	return 0
}

// SetRegistered takes the list of registered upstreams, and drops the notices of those that
// have not been in it for some time.
func (avoider *Avoider) SetRegistered(list []broker.Upstream) {
	avoider.mutex.Lock()
	defer avoider.mutex.Unlock()
	if len(avoider.upstreams) == 0 {
		return
	}
	registered := make(map[incarnation]bool, len(list))
	for _, upstream := range list {
		registered[incarnationOf(upstream)] = true
	}
	now := avoider.Clock.Now()
	for key, known := range avoider.upstreams {
		switch {
		case registered[key]:
			known.unknownSince = time.Time{}
		case known.unknownSince.IsZero():
			known.unknownSince = now
		case now.Sub(known.unknownSince) >= retention && !now.Before(known.busyUntil):
			delete(avoider.upstreams, key)
		}
	}
}
