// Command kit2 runs one case of the second review: it starts entry VMs as separate
// processes, with stand-ins for the platform's store, the servers and the clients in this
// process.
//
// Usage: kit2 CASE FOLDER, in the repository. FOLDER gets record.txt.
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

var (
	recordMutex sync.Mutex
	recordLines []string
	recordPath  string
	// temporaryFolder has the settings and logs of the processes.
	temporaryFolder string
	begun           = time.Now()
)

// record adds a line to record.txt.
func record(format string, arguments ...any) {
	recordMutex.Lock()
	defer recordMutex.Unlock()
	recordLines = append(recordLines, fmt.Sprintf("%8.3f ", time.Since(begun).Seconds())+fmt.Sprintf(format, arguments...))
}

func at(moment time.Time) float64 { return moment.Sub(begun).Seconds() }

func finish(code int) {
	stopAll()
	_ = os.RemoveAll(temporaryFolder)
	recordMutex.Lock()
	defer recordMutex.Unlock()
	if recordPath != "" {
		_ = os.WriteFile(recordPath, []byte(strings.Join(recordLines, "\n")+"\n"), 0o644)
	}
	if len(recordLines) > 0 {
		fmt.Println(recordLines[len(recordLines)-1])
	}
	os.Exit(code)
}

// fail ends a case that cannot run.
func fail(format string, arguments ...any) {
	record("could not run: "+format, arguments...)
	finish(2)
}

// verdict ends the case.
func verdict(broken bool, format string, arguments ...any) {
	word, code := "held", 0
	if broken {
		word, code = "BROKEN", 1
	}
	record("%s: "+format, append([]any{word}, arguments...)...)
	finish(code)
}

// trouble reports whether the case is run with its disruption.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: kit2 CASE FOLDER")
		os.Exit(2)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	recordPath = filepath.Join(os.Args[2], "record.txt")
	repository, err := os.Getwd()
	if err != nil {
		fail("%v", err)
	}
	if temporaryFolder, err = os.MkdirTemp("", "review-2-"); err != nil {
		fail("%v", err)
	}
	time.AfterFunc(115*time.Second, func() { fail("the case takes too long") })
	run(repository, temporaryFolder)
}
