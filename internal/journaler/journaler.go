// Package journaler provides an asynchronous log writer that never blocks the
// logger. Lines that do not fit into the queue are dropped and counted, and the
// count is logged with the next write to the output.
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
	// maxQueueBytes bounds the queue. It holds about one second of log lines of a
	// busy VM.
	maxQueueBytes = 1 << 20
	// flushInterval is how long lines are collected for one write.
	flushInterval = 50 * time.Millisecond
)

// Writer is an io.Writer for a logger that queues lines for Output. The exported
// fields must be set before its first use. Run writes the queue to Output.
type Writer struct {
	Output io.Writer
	Clock  clocker.Clock
	// OnDropped, if not nil, is called with the number of lines dropped since the
	// previous call.
	OnDropped func(lines int)

	mutex    sync.Mutex
	queue    bytes.Buffer
	dropped  int
	wake     chan struct{}
	initOnce sync.Once
}

func (writer *Writer) init() { writer.initOnce.Do(func() { writer.wake = make(chan struct{}, 1) }) }

// Write queues one line, or drops it if the queue is full. It never fails.
func (writer *Writer) Write(line []byte) (int, error) {
	writer.init()
	writer.mutex.Lock()
	wasEmpty := writer.queue.Len() == 0
	if writer.queue.Len()+len(line) > maxQueueBytes {
		writer.dropped++
	} else {
		writer.queue.Write(line)
	}
	writer.mutex.Unlock()
	if wasEmpty {
		select {
		case writer.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// Run writes queued lines to Output until ctx is cancelled, and then those that
// remain in the queue.
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

// flush writes the queue to Output, followed by the number of dropped lines.
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
