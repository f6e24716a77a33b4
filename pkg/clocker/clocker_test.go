package clocker_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// Guards against timers of the fake clock that fire at a wrong time, and against a Reset
// that does not restart a timer that has fired.
func TestFakeFiresTimersInOrder(t *testing.T) {
	fake := clocker.NewFake(time.Unix(0, 0))
	late := fake.NewTimer(2 * time.Second)
	early := fake.NewTimer(time.Second)
	ticker := fake.NewTicker(500 * time.Millisecond)
	fake.Advance(time.Second)
	assert.Equal(t, (<-early.C()).Unix(), int64(1))
	assert.Equal(t, len(late.C()), 0)
	assert.Equal(t, len(ticker.C()), 1)
	fake.Advance(time.Second)
	assert.Equal(t, (<-late.C()).Unix(), int64(2))
	assert.Assert(t, !late.Stop())
	assert.Assert(t, !late.Reset(time.Second))
	fake.Advance(time.Second)
	assert.Equal(t, (<-late.C()).Unix(), int64(3))
}

// Guards against a timeout that is measured on the system clock instead of the given
// clock.
func TestWithTimeoutFollowsTheClock(t *testing.T) {
	fake := clocker.NewFake(time.Unix(0, 0))
	ctx, cancel := clocker.WithTimeout(t.Context(), fake, time.Second)
	defer cancel()
	assert.NilError(t, ctx.Err())
	fake.Advance(time.Second)
	<-ctx.Done()
	assert.Assert(t, ctx.Err() != nil)
}
