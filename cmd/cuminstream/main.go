// Command cuminstream is the operators' program.
package main

import "github.com/cuminstream/cuminstream/internal/commander"

func main() { commander.Main() }
