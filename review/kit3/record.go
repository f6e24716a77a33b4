package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file of what was sent, answered and run.
type Record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the file.
func NewRecord(path string) *Record {
	file, err := os.Create(path)
	must(err)
	return &Record{file: file, began: time.Now()}
}

// Add writes a line with the time since the start.
func (record *Record) Add(format string, values ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	fmt.Fprintf(record.file, "%8.3f  %s\n", time.Since(record.began).Seconds(), fmt.Sprintf(format, values...))
}

// Say writes a line to the file and to the standard output.
func (record *Record) Say(format string, values ...any) {
	fmt.Printf("%8.3f  %s\n", time.Since(record.began).Seconds(), fmt.Sprintf(format, values...))
	record.Add(format, values...)
}

// unable is the panic value of a case that could not run.
type unable struct{ err error }

func must(err error) {
	if err != nil {
		panic(unable{err})
	}
}
