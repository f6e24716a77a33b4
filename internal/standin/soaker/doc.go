// Package soaker runs entry VMs as separate processes against stand-ins of the
// users' platform, injects faults from outside, and checks the product's
// promises from what callers and upstreams see. Restricted to planned work, it also
// checks that no request is cut.
package soaker
