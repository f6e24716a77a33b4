// Package router handles the requests that callers send to this VM. It applies the
// rules of the request's service, finds the group of the request's key and passes
// the request to the group's holder, on this VM or over a link. It reports only
// errors of the closed list in package answerer, and aborts the connection when a
// response is truncated.
package router
