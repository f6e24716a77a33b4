// Package breaker is a stand-in for servers in trouble: it makes responses that break the
// HTTP format.
package breaker
