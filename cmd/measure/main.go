// Command measure runs benchmarks of the complete system on loopback.
package main

import "github.com/cuminstream/cuminstream/internal/standin/measurer"

func main() { measurer.Main() }
