// Package commander implements the operations (subcommands) of the cuminstream
// command line client. Each operation has its own file, which holds its help
// text, flags and run method, and is listed in operations. Results are written
// to standard output, everything else to standard error.
package commander
