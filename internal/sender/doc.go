// Package sender is an HTTP/1.1 client for upstreams with a pool of idle
// connections. It writes the request line as the caller sent it, reports whether
// any byte of the request may have reached the upstream, and never retries by
// itself.
//
// Responses are matched by the request ID. A complete response to another request
// is skipped, and a request that is sent again uses another connection. A connection with any other bytes that do not belong to the response
// is closed.
package sender
