// Command cuminstream is the command line client for operators.
package main

import "github.com/cuminstream/cuminstream/internal/commander"

func main() { commander.Main() }
