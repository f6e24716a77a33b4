package tracker

import (
	"cmp"
	"fmt"
	"time"
)

// State is the state of a VM that the tracker derives from the evidence.
type State uint8

// The states of a VM.
const (
	// Alive VMs send heartbeats, or there is no evidence that they have stopped.
	Alive State = iota
	// Suspected VMs are expected to send heartbeats and have not done so within
	// the suspicion timeout.
	Suspected
	// Leaving VMs are going to stop, as they or the platform have announced.
	Leaving
	// Gone VMs are absent from the platform's list and send no heartbeats, or
	// another VM has sent a heartbeat from their address.
	Gone
)

var stateNames = [...]string{"alive", "suspected", "leaving", "gone"}

// String returns the state's name.
func (state State) String() string {
	if int(state) >= len(stateNames) {
		return fmt.Sprintf("state(%d)", state)
	}
	return stateNames[state]
}

// MarshalText returns the state's name.
func (state State) MarshalText() ([]byte, error) { return []byte(state.String()), nil }

// VM describes one run of the process on a VM, as VMs describe it to each other.
type VM struct {
	Name    string
	Zone    string
	Address string
	// OperatorAddress is the address of the VM's listener for operators.
	OperatorAddress string
	// Incarnation rises with each start of the VM's process. It is 0 when the
	// VM is known only from the platform's list.
	Incarnation uint64
	Leaving     bool
}

// supersedes reports whether vm replaces other when both describe the same VM.
// It is a total order, so that merging entries gives the same result in any
// order and however often they arrive.
func (vm VM) supersedes(other VM) bool {
	order := cmp.Or(
		cmp.Compare(vm.Incarnation, other.Incarnation),
		cmp.Compare(boolToInt(vm.Leaving), boolToInt(other.Leaving)),
		cmp.Compare(vm.Address, other.Address),
		cmp.Compare(vm.Zone, other.Zone),
		cmp.Compare(vm.OperatorAddress, other.OperatorAddress),
	)
	return order > 0
}

func boolToInt(value bool) int {
	if value {
		return 1
	}
	return 0
}

// Entry is the description of a VM that another VM passes on.
type Entry struct {
	VM
	// Age is the time since the sender last knew the VM to run; negative if it
	// never did.
	Age time.Duration
}

// Member is a VM with the state that the tracker has derived.
type Member struct {
	VM
	State State
	// Since is when the VM entered the state.
	Since time.Time
	// Listed is set while the platform's newest list contains the VM.
	Listed bool
	// AbsentSince is when the VM was first absent from the platform's list; zero
	// while the list contains it or no list has been received.
	AbsentSince time.Time
}

// Change is a change of a member that subscribers receive. Before is the zero
// Member for a new VM. At a restart, Before and After have different
// incarnations.
type Change struct {
	Before Member
	After  Member
}

// Restarted reports whether a new process has replaced the VM's former one, so
// that everything the former one held in memory is lost.
func (change Change) Restarted() bool {
	return change.Before.Incarnation != 0 && change.Before.Incarnation != change.After.Incarnation
}
