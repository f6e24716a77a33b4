// Package suspecter counts the upstreams that were lost while they ran a
// request with a given fingerprint. A fingerprint with one loss runs only
// alone; one with two is refused.
package suspecter
