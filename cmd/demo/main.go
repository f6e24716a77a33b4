// Command demo shows the system under failures on loopback.
package main

import "github.com/cuminstream/cuminstream/internal/standin/demonstrator"

func main() { demonstrator.Main() }
