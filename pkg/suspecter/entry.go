package suspecter

import "time"

// Entry is what is known of one fingerprint.
type Entry struct {
	Fingerprint uint64    `cbor:"fingerprint"`
	Losses      int       `cbor:"losses"`
	LastLossAt  time.Time `cbor:"at"`
	// ClearedAt is set once the request ran to its end. It wins over losses that
	// are older.
	ClearedAt time.Time `cbor:"cleared"`
}
