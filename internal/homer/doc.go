// Package homer creates and updates the platform's objects homes/<service>. Each holds the
// shard map of a service, which assigns every shard to its home group.
package homer
