package replicator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var three = []string{"a", "b", "c"}

// Guards against a group that does not begin, and a loss after which the group
// is served later than the bound of 2 s.
func TestTakeoverAfterLossOfTheHolder(t *testing.T) {
	inWorld(t, 1, three, func(t *testing.T, world *world) {
		world.form(record(three...))
		first := world.runUntil(2*time.Second, func() bool { return world.serving() != nil })
		holder := world.serving()
		assert.Equal(t, holder.name, "a")
		world.work(holder)
		world.run(time.Second)
		assert.Equal(t, len(world.acked), 1)
		world.start("a", record(three...))
		again := world.runUntil(2*time.Second, func() bool { return world.serving() != nil })
		t.Logf("formed after %v, taken over after %v", first, again)
		assert.Equal(t, world.serving().name, "b")
		world.runUntil(time.Second, func() bool { return world.nodes["a"].group.Synchronized() })
		vm, term, known := world.nodes["a"].group.Holder()
		assert.Assert(t, known && vm == "b" && term == world.lastTerm)
	})
}
