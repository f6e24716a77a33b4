// Package operator serves the operators' listener of a VM: its status and that
// of the other VMs, the owner of a key, the time line, metrics, profiles, and
// the checks that a balancer makes.
package operator
