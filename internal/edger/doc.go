// Package edger runs an entry VM on a platform that keeps the configuration and
// the list of upstreams in an object store. It creates and connects the
// components, watches the store, responds to the load balancer's readiness probe
// and shuts down gracefully.
package edger
