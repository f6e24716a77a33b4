// Command demo runs the system on loopback and shows how it handles failures.
package main

import "github.com/cuminstream/cuminstream/internal/standin/demonstrator"

func main() { demonstrator.Main() }
