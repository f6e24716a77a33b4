// Package upstreamer is the client of the upstreams' protocol, which is
// described in docs/upstream-protocol.md. It sends a request at most once,
// distinguishes requests that were provably not started from those that may have
// run, and streams bodies in both directions.
package upstreamer
