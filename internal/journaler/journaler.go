// Package journaler writes log lines without ever blocking the writer. Lines
// that do not fit into the queue are dropped and counted, and the count is
// logged as soon as there is room.
package journaler

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/cuminstream/cuminstream/pkg/clocker"
)

const (
	// queueBytes bounds the lines that wait: about a second of a busy VM.
	queueBytes = 1 << 20
	// flushInterval is the time for which lines are collected for one write.
	flushInterval = 50 * time.Millisecond
)

// Writer is an io.Writer for a logger. The exported fields are set before its
// first use.
type Writer struct {
	Output io.Writer
	Clock  clocker.Clock
	// OnDropped is called with the number of lines that were dropped since the last call.
	OnDropped func(lines int)

	mutex   sync.Mutex
	queue   bytes.Buffer
	dropped int
	wake    chan struct{}
	once    sync.Once
}

func (writer *Writer) init() { writer.once.Do(func() { writer.wake = make(chan struct{}, 1) }) }

// Write queues one line.
func (writer *Writer) Write(line []byte) (int, error) {
	writer.init()
	writer.mutex.Lock()
	first := writer.queue.Len() == 0
	if writer.queue.Len()+len(line) > queueBytes {
		writer.dropped++
	} else {
		writer.queue.Write(line)
	}
	writer.mutex.Unlock()
	if first {
		select {
		case writer.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// Run writes queued lines until ctx is done, and then the rest of them.
func (writer *Writer) Run(ctx context.Context) error {
	writer.init()
	for {
		select {
		case <-ctx.Done():
			return writer.flush()
		case <-writer.wake:
		}
		_ = clocker.Sleep(ctx, writer.Clock, flushInterval)
		if err := writer.flush(); err != nil {
			return err
		}
	}
}

func (writer *Writer) flush() error {
	writer.mutex.Lock()
	lines := bytes.Clone(writer.queue.Bytes())
	writer.queue.Reset()
	dropped := writer.dropped
	writer.dropped = 0
	writer.mutex.Unlock()
	if dropped > 0 {
		if writer.OnDropped != nil {
			writer.OnDropped(dropped)
		}
		lines = fmt.Appendf(lines, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", dropped)
	}
	if len(lines) == 0 {
		return nil
	}
	_, err := writer.Output.Write(lines)
	return err
}
