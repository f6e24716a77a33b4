// Command lab runs the cases of the review against the program of the deploy file. The
// platform's store, the servers and the clients are stand-ins in this process.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
)

func replace(text, old, replacement string) string {
	return strings.ReplaceAll(text, old, replacement)
}

// lab is what a case gets. trouble is false if it leaves the disruption out.
type lab struct {
	*fleet
	trouble bool
}

// cases by name. They return whether the rule held.
var cases = map[string]func(lab *lab) bool{"restored": restored, "grace": shorterGrace, "continue": interimResponse}

func main() { os.Exit(run()) }

// run returns 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
func run() (code int) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Println("usage: lab CASE PROGRAM RECORD")
		return 2
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	if os.Getenv("KEEP_LOGS") == "" {
		defer os.RemoveAll(folder)
	} else {
		fmt.Println("logs:", folder)
	}
	program, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	lab := &lab{trouble: os.Getenv("TROUBLE") != "0"}
	defer func() {
		if lab.fleet != nil {
			lab.close()
		}
		switch value := recover().(type) {
		case nil:
		case unable:
			fmt.Println("the case could not run:", value.err)
			code = 2
		default:
			fmt.Println("the case could not run:", value)
			code = 2
		}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	record := NewRecord(os.Args[3])
	store := NewStore()
	defer store.Close()
	lab.fleet = &fleet{record: record, store: store, folder: folder, program: program, params: defaultParams}
	go func() {
		<-signals
		lab.close()
		os.Exit(2)
	}()
	if cases[os.Args[1]](lab) {
		record.Say("the rule held")
		return 0
	}
	record.Say("the rule was broken")
	return 1
}
