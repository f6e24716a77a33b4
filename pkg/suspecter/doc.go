// Package suspecter detects requests that may crash upstreams. It counts, for each request
// fingerprint, the upstreams that were lost while they ran a request with that
// fingerprint. A completed run clears the fingerprint. The dispatcher runs a request with
// one loss only while no other request runs on the same upstream; the dispatcher and the
// broker refuse a request with two losses. The tables of several replicas can be merged in
// any order and any number of times with the same result.
package suspecter
