// Package carrier defines the request and the response that the router and the
// dispatcher of a key's group exchange, in the same process or over a link to
// another VM. The dispatcher implements Handler, and a link passes the requests of
// other VMs to a Handler.
package carrier
