// Package deduper remembers the IDs of non-idempotent requests for a window, so
// that no request runs twice. An intent is recorded before the request is sent;
// an outcome replaces it. Tables of several replicas can be merged in any order
// and any number of times with the same result.
//
// A request runs at most once if three conditions hold: terms rise, an intent
// reaches a majority of the replicas before the request is sent, and a new
// holder merges a majority before it begins.
package deduper
