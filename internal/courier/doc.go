// Package courier forwards callers' requests to upstreams: it matches the route,
// acquires a slot at an upstream, sends the request, retries it where that is
// safe, and returns the answer. Only this package decides whether a request may
// have run: the answer says "not run" only if the request has not run and never
// will.
package courier
