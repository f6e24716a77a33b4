// Command standin plays one case of the review: it starts a small installation with the
// programs of the deploy file, causes the trouble and checks the rule.
//
//	standin CASE PROGRAM RECORD
//
// It ends with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
)

// play plays a case. broken tells what broke the rule; empty if it held.
type play func(deployment *Deployment, trouble bool) (broken string, err error)

// cases are the plays, by name. Each registers itself.
var cases = map[string]play{}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Println("usage: standin CASE PROGRAM RECORD")
		return 2
	}
	record, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	deployment, err := newDeployment(record, os.Args[2])
	if err != nil {
		record.Sayf("the case couldn't run: %v", err)
		return 2
	}
	defer deployment.Close()
	broken, err := cases[os.Args[1]](deployment, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.Sayf("the case couldn't run: %v", err)
		return 2
	case broken != "":
		record.Sayf("BROKEN: %s", broken)
		return 1
	}
	record.Sayf("the rule held")
	return 0
}
