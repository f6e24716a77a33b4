// Package launcher starts the product's and the stand-ins' programs as
// processes on loopback, for process tests, the demo and measurements. It ends
// only processes that it started. The product does not import it.
package launcher
