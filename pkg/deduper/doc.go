// Package deduper prevents non-idempotent requests from running twice. It remembers
// request IDs for a window of time: an intent is recorded before a request is sent to an
// upstream, and the outcome replaces it. The tables of several replicas can be merged in
// any order and any number of times with the same result.
//
// A request runs at most once if three conditions hold: terms increase, an intent reaches
// a majority of the replicas before the request is sent, and a new holder merges the
// tables of a majority before it serves requests.
package deduper
