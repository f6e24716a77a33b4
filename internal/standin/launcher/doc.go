// Package launcher starts the programs of Cuminstream and of its stand-ins as
// processes on the loopback interface, for process tests, the demo and
// benchmarks. It terminates only processes that it started. Production code does
// not import it.
package launcher
