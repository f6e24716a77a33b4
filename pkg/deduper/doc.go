// Package deduper remembers the IDs of non-idempotent requests for a window, so
// that no request runs twice. An intent is recorded before the request is sent;
// an outcome replaces it. Tables of several replicas can be merged.
package deduper
