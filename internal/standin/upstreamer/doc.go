// Package upstreamer is a stand-in for an upstream. It speaks the protocol of
// docs/upstream-protocol.md and can be told to fail in the ways that real
// upstreams fail. It keeps a record of all work, against which tests check
// the product's answers. The product does not import it.
package upstreamer
