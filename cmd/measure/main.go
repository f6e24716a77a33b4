// Command measure runs measurements of the whole system on loopback.
package main

import "github.com/cuminstream/cuminstream/internal/standin/measurer"

func main() { measurer.Main() }
