// Package asserter checks invariants inside the running program. A failure is
// counted in a metric and logged; in test binaries it panics, so that no test
// passes over a broken promise.
package asserter
