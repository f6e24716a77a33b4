// Package heartbeater exchanges heartbeats with other VMs and keeps the tracker
// of VM membership up to date. It also carries a small payload of the rest of
// the program, such as the configuration revision and the groups held.
//
// One exchange, a call and its answer, serves both sides, so only one VM of a
// pair begins it. VMs that share a group exchange heartbeats at the heartbeat
// interval, a bounded number of others every second. What has not changed since
// the other side last confirmed it is left out, because the traffic of a VM
// must stay below 4 KB/s at 910 VMs.
package heartbeater
