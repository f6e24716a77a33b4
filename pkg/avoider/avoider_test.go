package avoider_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/pkg/avoider"
	"github.com/cuminstream/cuminstream/pkg/broker"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

var (
	leaving  = broker.Notice{Leaving: true}
	upstream = broker.Upstream{ID: "u", StartedAt: 1}
)

func busy(d time.Duration) broker.Notice { return broker.Notice{BusyFor: d} }

// A notice holds for one process of the upstream, and leaving does not end.
func TestLeaving(t *testing.T) {
	clock := clocker.NewFake(time.Unix(1000, 0))
	notices := &avoider.Avoider{Clock: clock}
	_, ok := notices.LeavingSince(upstream)
	assert.Assert(t, !ok)
	assert.Assert(t, notices.Observe(upstream, leaving).Leaving)
	clock.Advance(time.Second)
	assert.Assert(t, !notices.Observe(upstream, leaving).Leaving, "it is known")
	since, ok := notices.LeavingSince(upstream)
	assert.Assert(t, ok && since.Equal(time.Unix(1000, 0)))
	_, ok = notices.LeavingSince(broker.Upstream{ID: "u", StartedAt: 2})
	assert.Assert(t, !ok, "the next process of the upstream is not leaving")
}

// A busy time is never shortened by a later notice, and is bounded.
func TestBusy(t *testing.T) {
	clock := clocker.NewFake(time.Unix(1000, 0))
	notices := &avoider.Avoider{Clock: clock}
	assert.Assert(t, !notices.Observe(upstream, busy(2*time.Second)).BusyUntil.IsZero())
	assert.Assert(t, notices.Observe(upstream, busy(time.Second)).BusyUntil.IsZero(), "no busy time begins")
	clock.Advance(1500 * time.Millisecond)
	assert.Equal(t, notices.BusyFor(upstream), 500*time.Millisecond)
	clock.Advance(500 * time.Millisecond)
	assert.Equal(t, notices.BusyFor(upstream), time.Duration(0))
	notices.Observe(upstream, busy(100*time.Hour))
	assert.Equal(t, notices.BusyFor(upstream), avoider.MaxBusy)
	assert.Equal(t, notices.BusyFor(broker.Upstream{ID: "u", StartedAt: 2}), time.Duration(0))
}

// Notices of upstreams that have been gone for a minute are dropped, and no others.
func TestNoticesOfGoneUpstreams(t *testing.T) {
	clock := clocker.NewFake(time.Unix(1000, 0))
	notices := &avoider.Avoider{Clock: clock}
	notices.Observe(upstream, leaving)
	for _, registered := range [][]broker.Upstream{{upstream}, {}, {}} {
		notices.SetRegistered(registered)
		clock.Advance(50 * time.Second)
		_, ok := notices.LeavingSince(upstream)
		assert.Assert(t, ok)
	}
	notices.SetRegistered(nil)
	_, ok := notices.LeavingSince(upstream)
	assert.Assert(t, !ok)
}
