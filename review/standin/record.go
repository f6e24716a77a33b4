package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes what was sent, answered and run to record.txt, each line with the
// time since the start in seconds.
type Record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	return &Record{file: file, began: time.Now()}, err
}

// Linef writes one line.
func (record *Record) Linef(format string, args ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	fmt.Fprintf(record.file, "%8.3f %s\n", time.Since(record.began).Seconds(), fmt.Sprintf(format, args...))
}

// Sayf writes one line to the record and to standard output.
func (record *Record) Sayf(format string, args ...any) {
	record.Linef(format, args...)
	fmt.Printf(format+"\n", args...)
}
