// Package tracker keeps the membership of a fleet of VMs. Its inputs are
// heartbeats, entries that other VMs pass on, and the platform's list of VMs,
// which lags. From these it derives the state of each VM. It does no input or
// output: the caller exchanges the heartbeats.
//
// The sources differ in what they prove. Only a heartbeat proves that a process
// runs. Missing heartbeats prove nothing, so a silent VM is only suspected.
// Entries that other VMs pass on supply names and addresses. The platform's list
// lags, so that the absence of a VM from it never proves that the VM's process
// has stopped.
package tracker
