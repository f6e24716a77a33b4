package tracker_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/tracker"
)

func member(t assert.TestingT, members *tracker.Tracker, name string) tracker.Member {
	found, ok := members.Snapshot().Member(name)
	assert.Assert(t, ok, name)
	return found
}

// Guards against a VM that counts as gone because it is absent from the
// platform's list although it still sends heartbeats, and against losing the time
// since when it has been absent, which must not grow while no list arrives.
func TestAbsentVMWithHeartbeatsStaysAlive(t *testing.T) {
	clock := clocker.NewFake(time.Unix(100, 0))
	members := newTracker(clock)
	vm := tracker.VM{Name: "a", Zone: "z1", Address: "1:1", Incarnation: 1}
	_, ok := members.AbsentFor("a")
	assert.Assert(t, !ok)
	members.RecordHeartbeat(vm)
	members.SetPlatformList(nil)
	for range 400 {
		clock.Advance(150 * time.Millisecond)
		members.RecordHeartbeat(vm)
		members.SetPlatformList(nil)
		assert.Equal(t, member(t, members, "a").State, tracker.Alive)
	}
	assert.Equal(t, member(t, members, "a").AbsentSince, time.Unix(100, 0))
	absence, ok := members.AbsentFor("a")
	assert.Assert(t, ok)
	assert.Equal(t, absence, time.Minute)
	clock.Advance(time.Hour) // the platform is down: no list arrives
	absence, _ = members.AbsentFor("a")
	assert.Equal(t, absence, time.Minute)
}

// Guards against a VM that is expected to send once a second and is suspected
// after the timeout of a VM that sends every 150 ms.
func TestSuspicionTimeoutFollowsInterval(t *testing.T) {
	clock := clocker.NewFake(time.Unix(0, 0))
	members := newTracker(clock)
	for _, name := range []string{"close", "far", "unwatched"} {
		members.RecordHeartbeat(tracker.VM{Name: name, Zone: "z1", Address: name, Incarnation: 1})
	}
	members.ExpectHeartbeats(map[string]time.Duration{"close": 150 * time.Millisecond, "far": time.Second})
	clock.Advance(600 * time.Millisecond)
	members.CheckTimeouts()
	assert.Equal(t, member(t, members, "close").State, tracker.Suspected)
	assert.Equal(t, member(t, members, "far").State, tracker.Alive)
	clock.Advance(3400 * time.Millisecond)
	members.CheckTimeouts()
	assert.Equal(t, member(t, members, "far").State, tracker.Suspected)
	assert.Equal(t, member(t, members, "unwatched").State, tracker.Alive)
	members.ExpectHeartbeats(map[string]time.Duration{"far": time.Second})
	assert.Equal(t, member(t, members, "close").State, tracker.Alive)
}

// Guards against a new process that is taken for the former one at its address,
// and against two members with the same address that both count as alive.
func TestRestartAtSameAddress(t *testing.T) {
	clock := clocker.NewFake(time.Unix(0, 0))
	members := newTracker(clock)
	var restarts int
	cancel := members.Subscribe(func(change tracker.Change) {
		if change.Restarted() {
			restarts++
		}
	})
	members.RecordHeartbeat(tracker.VM{Name: "a", Zone: "z1", Address: "1:1", Incarnation: 1, Leaving: true})
	assert.Equal(t, member(t, members, "a").State, tracker.Leaving)
	members.RecordHeartbeat(tracker.VM{Name: "a", Zone: "z1", Address: "1:1", Incarnation: 2})
	assert.Equal(t, member(t, members, "a").State, tracker.Alive)
	assert.Equal(t, restarts, 1)
	clock.Advance(time.Second)
	members.RecordHeartbeat(tracker.VM{Name: "b", Zone: "z1", Address: "1:1", Incarnation: 1})
	assert.Equal(t, member(t, members, "a").State, tracker.Gone)
	cancel()
	members.RecordHeartbeat(tracker.VM{Name: "a", Zone: "z1", Address: "1:2", Incarnation: 3})
	assert.Equal(t, member(t, members, "a").State, tracker.Alive)
	assert.Equal(t, restarts, 1)
}

// Guards against memory that grows with each VM that has ever been a member.
func TestGoneMembersAreRemoved(t *testing.T) {
	clock := clocker.NewFake(time.Unix(0, 0))
	members := newTracker(clock)
	for range 100 {
		members.SetPlatformList([]tracker.VM{{Name: clock.Now().String(), Zone: "z1"}})
		clock.Advance(10 * time.Minute)
	}
	assert.Assert(t, members.Snapshot().Len() < 20, members.Snapshot().Len())
}

func drawVM(t *rapid.T) tracker.VM {
	return tracker.VM{
		Name:        rapid.SampledFrom([]string{"a", "b", "c", "self"}).Draw(t, "name"),
		Zone:        rapid.SampledFrom([]string{"z1", "z2"}).Draw(t, "zone"),
		Address:     rapid.SampledFrom([]string{"1:1", "1:2", "1:3"}).Draw(t, "address"),
		Incarnation: rapid.Uint64Range(0, 3).Draw(t, "incarnation"),
		Leaving:     rapid.Bool().Draw(t, "leaving"),
	}
}

// Guards against a merge whose result depends on the order in which entries
// arrive, or on how often they do, so that VMs would disagree forever.
func TestMergeIsIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var entries []tracker.Entry
		for range rapid.IntRange(0, 12).Draw(t, "count") {
			entries = append(entries, tracker.Entry{VM: drawVM(t), Age: -1})
		}
		shuffled := append(rapid.Permutation(entries).Draw(t, "order"), entries[:len(entries)/2]...)
		first, second := newTracker(clocker.NewFake(time.Unix(0, 0))), newTracker(clocker.NewFake(time.Unix(0, 0)))
		first.MergeEntries(entries)
		for _, entry := range shuffled {
			second.MergeEntries([]tracker.Entry{entry})
		}
		assert.DeepEqual(t, first.Entries(), second.Entries())
	})
}

// Guards against an incarnation that decreases, a state that contradicts the
// evidence, a snapshot that changes, and subscribers that miss a change.
func TestRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clocker.NewFake(time.Unix(0, 0))
		members := newTracker(clock)
		delivered := map[string]tracker.Member{}
		members.Subscribe(func(change tracker.Change) {
			name := change.After.Name
			if change.Before.Name != "" {
				assert.Equal(t, change.Before, delivered[name])
			}
			assert.Assert(t, change.After.Incarnation >= delivered[name].Incarnation)
			delivered[name] = change.After
		})
		snapshot := members.Snapshot()
		snapshotMembers := slices.Collect(snapshot.All())
		t.Repeat(map[string]func(*rapid.T){
			"heard": func(t *rapid.T) {
				vm := drawVM(t)
				if members.RecordHeartbeat(vm) {
					state := member(t, members, vm.Name).State
					assert.Assert(t, state == tracker.Alive || state == tracker.Leaving)
				}
			},
			"told": func(t *rapid.T) {
				age := time.Duration(rapid.IntRange(-1, 20).Draw(t, "age")) * time.Second
				members.MergeEntries([]tracker.Entry{{VM: drawVM(t), Age: age}})
			},
			"listed": func(t *rapid.T) {
				members.SetPlatformList(rapid.SliceOfN(rapid.Custom(drawVM), 0, 3).Draw(t, "list"))
			},
			"watch": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
				members.ExpectHeartbeats(map[string]time.Duration{name: 150 * time.Millisecond})
			},
			"advance": func(t *rapid.T) {
				clock.Advance(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
				members.CheckTimeouts()
			},
			"": func(t *rapid.T) {
				_, ok := members.Snapshot().Member("self")
				assert.Assert(t, !ok)
				assert.DeepEqual(t, slices.Collect(snapshot.All()), snapshotMembers)
				for current := range members.Snapshot().All() {
					assert.Equal(t, current, delivered[current.Name])
				}
				snapshot = members.Snapshot()
				snapshotMembers = slices.Collect(snapshot.All())
			},
		})
	})
}
