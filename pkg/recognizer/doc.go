// Package recognizer recognizes requests that callers send again after a refusal. Each has
// its own ID and connection, and may come to another VM; the only sign is that it states
// less time to its deadline than new requests do.
package recognizer
