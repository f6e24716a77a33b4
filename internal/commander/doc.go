// Package commander holds the operations of the cuminstream program. Each
// operation is one file in the order usage, parse, construct, run, and is
// registered in the look-up table. Results go to standard output, everything
// else to standard error.
package commander
