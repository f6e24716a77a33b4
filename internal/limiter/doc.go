// Package limiter bounds the bytes that are read from a peer, so that a message without
// an end does not take the memory of this process.
package limiter
