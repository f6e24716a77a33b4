// Command standin-upstream is a stand-in for an upstream in tests.
package main

import "github.com/cuminstream/cuminstream/internal/standin/upstreamer"

func main() { upstreamer.Main() }
