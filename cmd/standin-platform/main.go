// Command standin-platform serves a stand-in for the platform's object API.
package main

import "github.com/cuminstream/cuminstream/internal/standin/platformer"

func main() { platformer.Main() }
