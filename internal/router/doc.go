// Package router is the callers' side of an entry VM. It applies the rules of
// the request's service, finds the holder of the key's group and passes the
// request to it, on this VM or over a link. It answers errors from the closed
// list and never shows a cut answer as a complete one.
package router
