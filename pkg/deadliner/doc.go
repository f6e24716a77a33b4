// Package deadliner decides how long a request to an upstream may go without the first
// byte of its response before it is sent again on another connection. It decides by the
// measured service times of the route and by the time that the caller has left.
// docs/design/full-upstreams.md gives the reasons.
package deadliner
