package tracker

import (
	"cmp"
	"fmt"
	"time"
)

// State is what the tracker concludes about a VM.
type State uint8

// The states of a VM.
const (
	// Alive VMs are heard, or nothing speaks against them.
	Alive State = iota
	// Suspected VMs should have sent a heartbeat and did not.
	Suspected
	// Leaving VMs have announced that they stop, or the platform has.
	Leaving
	// Gone VMs are missing from the platform's list and are not heard, or
	// another VM has been heard under their address.
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

// VM describes one run of a process on a VM, as it travels between VMs.
type VM struct {
	Name    string
	Zone    string
	Address string
	// OperatorAddress is the address of the VM's operators' listener.
	OperatorAddress string
	// Incarnation rises with each start of the VM's process. It is 0 when the
	// VM is known only from the platform's list.
	Incarnation uint64
	Leaving     bool
}

// supersedes reports whether the entry replaces other when both describe the
// same VM. It is a total order, so that merging entries gives the same result
// in any order and however often they arrive.
func (vm VM) supersedes(other VM) bool {
	order := cmp.Or(
		cmp.Compare(vm.Incarnation, other.Incarnation),
		cmp.Compare(asInt(vm.Leaving), asInt(other.Leaving)),
		cmp.Compare(vm.Address, other.Address),
		cmp.Compare(vm.Zone, other.Zone),
		cmp.Compare(vm.OperatorAddress, other.OperatorAddress),
	)
	return order > 0
}

func asInt(value bool) int {
	if value {
		return 1
	}
	return 0
}

// Entry is what one VM passes on about another.
type Entry struct {
	VM
	// Age is the time since the teller last knew the VM to run; negative when
	// it never did.
	Age time.Duration
}

// Member is a VM with the tracker's conclusion.
type Member struct {
	VM
	State State
	// Since is when the VM entered the state.
	Since time.Time
	// Listed is set while the newest list of the platform holds the VM.
	Listed bool
	// AbsentSince is when the platform's list first lacked the VM; zero while
	// the list holds it or no list has been received.
	AbsentSince time.Time
}

// Change is a transition that listeners are told of. Before is the zero Member
// for a new VM. After a restart, Before and After have different incarnations.
type Change struct {
	Before Member
	After  Member
}

// Restarted reports whether the VM's process was replaced by a new one, so that
// everything that the former one held in memory is lost.
func (change Change) Restarted() bool {
	return change.Before.Incarnation != 0 && change.Before.Incarnation != change.After.Incarnation
}
