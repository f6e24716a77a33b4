// Package avoider remembers what upstreams say of themselves in their responses: that they
// are leaving, or that they want no request for some time. It decides whether a VM may send
// an upstream a request, whatever the registry says. A notice holds for one process of an
// upstream, and ends with it.
package avoider
