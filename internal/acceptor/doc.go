// Package acceptor accepts the connections of callers for net/http within bounds: a number
// of connections, and an account of the bytes that they make the process hold. net/http
// bounds the size of a head, but neither the cost of its lines nor the sum over all
// connections.
package acceptor
