// Package upstreamer is a stand-in for an upstream. It implements the protocol of
// docs/upstream-protocol.md and can simulate the failures of real upstreams. It
// records the start and the end of each request, so that tests can compare the
// responses of Cuminstream with what was executed. Production code does not
// import it.
package upstreamer
