// Package locator finds the VMs that may answer a request: key -> shard ->
// group -> holder. Shards and candidates come from the platform's objects; the
// holder is what peers last reported, and may be out of date. The dispatcher of
// the group checks again, so a wrong guess costs a hop and nothing else.
package locator
