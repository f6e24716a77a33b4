// Command cuminstreamd is the daemon of an entry VM.
package main

import "github.com/cuminstream/cuminstream/internal/starter"

func main() { starter.Main() }
