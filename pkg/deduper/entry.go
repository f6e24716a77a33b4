package deduper

import "time"

// Status is what is known of a request.
type Status int

// The states of a request ID. A higher status wins when entries are merged.
const (
	// Intent means that the request may have been sent to the upstream.
	Intent Status = iota + 1
	// Unknown means that the request was sent and its answer was lost.
	Unknown
	// Withdrawn means that the request was provably not sent; a repeat may run.
	Withdrawn
	// Done means that the upstream answered.
	Done
)

// Entry is the memory of one request ID.
type Entry struct {
	ID        string    `cbor:"id"`
	Status    Status    `cbor:"status"`
	Term      uint64    `cbor:"term"` // term of the holder that recorded the intent
	Sequence  uint64    `cbor:"try"`  // rises with the term and with each Begin; see Table.Begin
	UpdatedAt time.Time `cbor:"at"`
	// HTTPStatus is the upstream's status once the request is done.
	HTTPStatus int `cbor:"httpStatus,omitempty"`
}
