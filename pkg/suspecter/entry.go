package suspecter

import "time"

// Entry is what is known of one fingerprint.
type Entry struct {
	Fingerprint uint64    `cbor:"fingerprint"`
	Losses      int       `cbor:"losses"`
	At          time.Time `cbor:"at"`
	// Cleared is set once the request ran to its end. It wins over losses that
	// are older.
	Cleared time.Time `cbor:"cleared"`
}
