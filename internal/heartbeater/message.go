package heartbeater

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cuminstream/cuminstream/pkg/tracker"
)

// heartbeat is the body of the call and of its answer.
type heartbeat struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	// Self describes the sender. It is left out once the receiver has confirmed
	// a version of the sender's payload.
	Self    *description `cbor:"2,keyasint,omitempty"`
	Leaving bool         `cbor:"3,keyasint,omitempty"`
	// Version is that of the sender's payload, counted from 1.
	Version uint64 `cbor:"4,keyasint"`
	// Seen is the version of the receiver's payload that the sender has.
	Seen uint64 `cbor:"5,keyasint,omitempty"`
	// Payload is left out when the receiver has it.
	Payload cbor.RawMessage `cbor:"6,keyasint,omitempty"`
	// Entries tell about other VMs.
	Entries []entry `cbor:"7,keyasint,omitempty"`
}

// description is the part of a VM that does not change while its process runs.
type description struct {
	Zone     string `cbor:"1,keyasint,omitempty"`
	Address  string `cbor:"2,keyasint,omitempty"`
	Operator string `cbor:"3,keyasint,omitempty"`
}

// entry is a tracker.Entry as it travels.
type entry struct {
	Name        string `cbor:"1,keyasint"`
	description `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint,omitempty"`
	Leaving     bool   `cbor:"4,keyasint,omitempty"`
	// Age is in milliseconds and one more, so that 0 stands for "never".
	Age uint64 `cbor:"5,keyasint,omitempty"`
}

func toEntry(known tracker.Entry) entry {
	made := entry{
		Name: known.Name, description: description{known.Zone, known.Address, known.OperatorAddress},
		Incarnation: known.Incarnation, Leaving: known.Leaving,
	}
	if known.Age >= 0 {
		made.Age = uint64(known.Age.Milliseconds()) + 1
	}
	return made
}

func (received entry) tracked() tracker.Entry {
	known := tracker.Entry{VM: received.vm(received.Name, received.Incarnation, received.Leaving), Age: -1}
	if received.Age > 0 {
		known.Age = time.Duration(received.Age-1) * time.Millisecond
	}
	return known
}

func (description description) vm(name string, incarnation uint64, leaving bool) tracker.VM {
	return tracker.VM{
		Name: name, Zone: description.Zone, Address: description.Address, OperatorAddress: description.Operator,
		Incarnation: incarnation, Leaving: leaving,
	}
}

// page asks for the VMs whose names come after the given one.
type page struct {
	After string `cbor:"1,keyasint,omitempty"`
}

// members is the answer to page. It is empty after the last VM.
type members struct {
	Entries []entry `cbor:"1,keyasint,omitempty"`
}
