// Package demonstrator runs the demo: a platform, two zones with two entry VMs
// each, and upstreams of two services as processes on loopback. It sends
// requests, causes failures, checks every answer, and prints what an operator
// would see.
package demonstrator
