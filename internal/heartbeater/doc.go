// Package heartbeater exchanges heartbeats with other VMs and feeds the tracker
// of VM membership. Heartbeats also carry a small payload for other components,
// such as the configuration revision and the groups that the VM holds.
//
// An exchange is one call and its response. It tells both VMs that the other is
// alive, so only one VM of a pair initiates it. VMs that share a group exchange
// heartbeats at the heartbeat interval; a bounded number of other VMs do so once
// a second. State that the receiver has acknowledged is omitted until it changes,
// because the control traffic of a VM must stay below 4 KB/s at 910 VMs.
package heartbeater
