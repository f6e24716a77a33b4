// Package prover checks the promises P1 to P8 of the design page on real
// processes under failure. A fleet of two zones runs on loopback, a bounded
// load goes through all of its VMs, and a checker compares what the callers
// were told with what the upstreams recorded. The tests cause the failures.
package prover
