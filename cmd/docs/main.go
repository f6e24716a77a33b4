// Command docs writes the pages that are made from the programs' own help and
// tables.
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
