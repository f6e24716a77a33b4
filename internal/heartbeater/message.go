package heartbeater

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cuminstream/cuminstream/pkg/tracker"
)

// heartbeat is the body of a heartbeat call and of its response.
type heartbeat struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	// Self describes the sender. It is omitted once the receiver has acknowledged
	// a version of the sender's payload.
	Self    *description `cbor:"2,keyasint,omitempty"`
	Leaving bool         `cbor:"3,keyasint,omitempty"`
	// PayloadVersion is the version of the sender's payload, counted from 1.
	PayloadVersion uint64 `cbor:"4,keyasint"`
	// AckedVersion is the latest version of the receiver's payload that the sender
	// has received.
	AckedVersion uint64 `cbor:"5,keyasint,omitempty"`
	// Payload is omitted when the receiver has acknowledged this version.
	Payload cbor.RawMessage `cbor:"6,keyasint,omitempty"`
	// Entries describe other VMs that changed.
	Entries []entry `cbor:"7,keyasint,omitempty"`
}

// description is the part of a VM that does not change while its process runs.
type description struct {
	Zone     string `cbor:"1,keyasint,omitempty"`
	Address  string `cbor:"2,keyasint,omitempty"`
	Operator string `cbor:"3,keyasint,omitempty"`
}

// entry is the encoded form of tracker.Entry.
type entry struct {
	Name        string `cbor:"1,keyasint"`
	description `cbor:"2,keyasint"`
	Incarnation uint64 `cbor:"3,keyasint,omitempty"`
	Leaving     bool   `cbor:"4,keyasint,omitempty"`
	// Age is the age in milliseconds plus one; 0 means "never heard from".
	Age uint64 `cbor:"5,keyasint,omitempty"`
}

func newEntry(known tracker.Entry) entry {
	result := entry{
		Name: known.Name, description: description{known.Zone, known.Address, known.OperatorAddress},
		Incarnation: known.Incarnation, Leaving: known.Leaving,
	}
	if known.Age >= 0 {
		result.Age = uint64(known.Age.Milliseconds()) + 1
	}
	return result
}

func (received entry) toTracker() tracker.Entry {
	known := tracker.Entry{VM: received.toVM(received.Name, received.Incarnation, received.Leaving), Age: -1}
	if received.Age > 0 {
		known.Age = time.Duration(received.Age-1) * time.Millisecond
	}
	return known
}

func (description description) toVM(name string, incarnation uint64, leaving bool) tracker.VM {
	return tracker.VM{
		Name: name, Zone: description.Zone, Address: description.Address, OperatorAddress: description.Operator,
		Incarnation: incarnation, Leaving: leaving,
	}
}

// membersRequest requests a page of the VMs whose names sort after After.
type membersRequest struct {
	After string `cbor:"1,keyasint,omitempty"`
}

// membersResponse is the response to membersRequest. It has no entries after the
// last VM.
type membersResponse struct {
	Entries []entry `cbor:"1,keyasint,omitempty"`
}
