// Command standin-platform is a stand-in for the platform's object API in tests.
package main

import "github.com/cuminstream/cuminstream/internal/standin/platformer"

func main() { platformer.Main() }
