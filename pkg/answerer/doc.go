// Package answerer holds the closed list of error kinds that a caller can
// receive, and the table from each kind to its answer: the HTTP status, whether
// the request is known not to have run, and whether a repeat may succeed.
//
// All packages return errors of this list towards callers, so that the promise
// "a refusal that says not run is true" is decided in one place.
package answerer
