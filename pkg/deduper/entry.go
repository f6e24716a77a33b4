package deduper

import "time"

// Status is the state of a request ID.
type Status int

// The statuses of a request ID. Of two entries with the same Sequence, the one with the
// higher status wins when they are merged.
const (
	// Intent means that the request may have been sent to an upstream and has no outcome
	// yet.
	Intent Status = iota + 1
	// Unknown means that the request may have run and its outcome is not known, for example
	// because the response was lost.
	Unknown
	// Withdrawn means that the request was provably not sent, so that a retry may run.
	Withdrawn
	// Done means that the upstream responded.
	Done
)

// Entry is the record of one request ID.
type Entry struct {
	ID        string    `cbor:"id"`
	Status    Status    `cbor:"status"`
	Term      uint64    `cbor:"term"` // term of the holder that recorded the intent
	Sequence  uint64    `cbor:"try"`  // increases with the term and with each Begin; see Table.Begin
	UpdatedAt time.Time `cbor:"at"`
	// HTTPStatus is the status code of the upstream's response, set with Done.
	HTTPStatus int `cbor:"httpStatus,omitempty"`
}
