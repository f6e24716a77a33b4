// Package peeker asks the kernel for the state of a connection without reading from
// it. The answer does not depend on when the goroutine that reads the connection
// runs next, which can be late on a VM that gets little processor time.
package peeker
