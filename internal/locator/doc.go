// Package locator finds the VMs that may answer a request: key -> shard -> home group ->
// holder. Shards and candidates come from the platform's objects. The holder is the one
// that VMs last reported and may be out of date. The dispatcher of the group checks again,
// so that a wrong holder costs only an additional hop.
package locator
