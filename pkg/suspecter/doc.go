// Package suspecter counts the upstreams that were lost while they ran a
// request with a given fingerprint. A fingerprint with one loss runs only
// alone; one with two is refused. A run that ends clears the fingerprint.
// Tables of several replicas can be merged in any order and any number of times
// with the same result.
package suspecter
