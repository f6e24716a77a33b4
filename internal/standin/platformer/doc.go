// Package platformer is a stand-in for the platform: objects with versions,
// conditional updates, lists and watches, a lagging list of VMs, rate limits,
// and faults that tests switch on. It keeps everything in memory. It follows
// docs/platform-protocol.md and is no part of the product.
package platformer
