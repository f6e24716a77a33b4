// Package verifier makes the checks of HTTP responses that net/http leaves to its callers.
package verifier
