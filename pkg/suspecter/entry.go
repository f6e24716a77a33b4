package suspecter

import "time"

// Entry is the record of one fingerprint.
type Entry struct {
	Fingerprint uint64    `cbor:"fingerprint"`
	Losses      int       `cbor:"losses"`
	LastLossAt  time.Time `cbor:"at"`
	// ClearedAt is when a completed run last cleared the losses. It cancels the losses up
	// to that time.
	ClearedAt time.Time `cbor:"cleared"`
}
