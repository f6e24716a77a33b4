// Package platformer implements an in-memory stand-in for the platform: versioned
// objects with conditional updates, lists and watches, a list of VMs that lags,
// rate limits, and faults that tests inject. It serves the protocol of
// docs/platform-protocol.md and is not part of the product.
package platformer
