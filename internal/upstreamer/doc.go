// Package upstreamer is the adapter of the upstreams' protocol, which
// docs/upstream-protocol.md describes. It sends a request at most once, tells
// a request that was provably not started from one that may have run, and
// streams bodies in both directions.
package upstreamer
