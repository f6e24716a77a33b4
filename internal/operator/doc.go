// Package operator implements the HTTP endpoints for operators on a VM: the status
// of this VM or of all VMs, the owner of a key, the time line, metrics, profiles,
// and the liveness and readiness checks for load balancers.
package operator
