// Package tracker keeps the membership of a fleet of VMs. It is told of
// heartbeats, of entries that other VMs pass on, and of the platform's lagging
// list, and it works out the state of each VM. It does no input or output: the
// caller exchanges the heartbeats.
//
// The sources differ in what they prove. Only a heartbeat proves that a process
// runs. Silence proves nothing, so a silent VM is suspected. Entries that other
// VMs pass on tell names and addresses. The platform's list lags; that it no
// longer holds a VM never proves that the VM's process has stopped.
package tracker
