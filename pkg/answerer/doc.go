// Package answerer defines every kind of error that a caller can receive and the response
// to each: the HTTP status, whether the request is known not to have run, and whether
// repeating it may succeed.
//
// All packages report errors to callers as one of these kinds, so that one place decides
// which responses promise that the request did not run.
package answerer
