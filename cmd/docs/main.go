// Command docs generates the documentation pages that consist of the programs' help
// output and tables.
package main

import (
	"fmt"
	"os"

	"github.com/cuminstream/cuminstream/internal/documenter"
)

func main() {
	if err := documenter.Write("docs"); err != nil {
		fmt.Fprintln(os.Stderr, "docs:", err)
		os.Exit(1)
	}
}
