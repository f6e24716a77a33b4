// Package homer creates and maintains the platform's objects homes/<service>,
// which say in which group each shard of a service is homed.
package homer
