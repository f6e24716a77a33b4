package tracker_test

import (
	"fmt"
	"time"

	"github.com/cuminstream/cuminstream/pkg/clocker"
	"github.com/cuminstream/cuminstream/pkg/tracker"
)

func newTracker(clock clocker.Clock) *tracker.Tracker {
	return tracker.New(tracker.Config{
		Self: "self", Clock: clock, HeartbeatInterval: 150 * time.Millisecond, SuspicionTimeout: 600 * time.Millisecond,
	})
}

// A VM that is expected to send heartbeats and stops doing so is suspected. It
// counts as gone only after it has also been absent from the platform's list for
// some time.
func Example() {
	clock := clocker.NewFake(time.Unix(0, 0))
	members := newTracker(clock)
	members.Subscribe(func(change tracker.Change) {
		if change.Before.Name == "" || change.Before.State != change.After.State {
			fmt.Println(change.After.Name, "is", change.After.State)
		}
	})
	vm := tracker.VM{Name: "vm1", Zone: "z1", Address: "10.0.0.1:7000", Incarnation: 1}
	members.RecordHeartbeat(vm)
	members.ExpectHeartbeats(map[string]time.Duration{"vm1": 150 * time.Millisecond})
	members.SetPlatformList([]tracker.VM{vm})

	clock.Advance(600 * time.Millisecond)
	members.CheckTimeouts()

	members.SetPlatformList(nil)
	clock.Advance(20 * time.Second)
	members.SetPlatformList(nil)

	// Output:
	// vm1 is alive
	// vm1 is suspected
	// vm1 is gone
}

// A restart under the same name is reported to subscribers, because what the
// former process held in memory is lost. Heartbeats of the former process that
// arrive late are ignored.
func ExampleChange_Restarted() {
	members := newTracker(clocker.NewFake(time.Unix(0, 0)))
	members.Subscribe(func(change tracker.Change) { fmt.Println(change.After.Incarnation, change.Restarted()) })
	members.RecordHeartbeat(tracker.VM{Name: "vm1", Zone: "z1", Address: "10.0.0.1:7000", Incarnation: 1})
	members.RecordHeartbeat(tracker.VM{Name: "vm1", Zone: "z1", Address: "10.0.0.1:7000", Incarnation: 2})
	fmt.Println("late heartbeat accepted:", members.RecordHeartbeat(tracker.VM{Name: "vm1", Incarnation: 1}))
	// Output:
	// 1 false
	// 2 true
	// late heartbeat accepted: false
}

func ExampleTracker_Peers() {
	members := newTracker(clocker.NewFake(time.Unix(0, 0)))
	members.SetPlatformList([]tracker.VM{{Name: "vm2", Zone: "z2"}, {Name: "vm1", Zone: "z1"}, {Name: "self", Zone: "z1"}})
	for _, peer := range members.Peers("z1") {
		fmt.Println(peer.Name)
	}
	// Output: vm1
}
