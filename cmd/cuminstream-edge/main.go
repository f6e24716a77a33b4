// Command cuminstream-edge is the daemon of an entry VM on the users' platform.
package main

import "github.com/cuminstream/cuminstream/platform/launcher"

func main() { launcher.Main() }
