package journaler_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cuminstream/cuminstream/internal/journaler"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// blockingOutput is an output whose writes block while blocked is true.
type blockingOutput struct {
	mutex   sync.Mutex
	blocked bool
	text    bytes.Buffer
}

func (output *blockingOutput) Write(data []byte) (int, error) {
	for {
		output.mutex.Lock()
		if !output.blocked {
			defer output.mutex.Unlock()
			return output.text.Write(data)
		}
		output.mutex.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
}

// If nothing reads standard output, log calls must not block requests; dropped lines
// are counted, and their number is logged once the output accepts writes again.
func TestBlockedOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		blocked := &blockingOutput{blocked: true}
		dropped := 0
		writer := &journaler.Writer{Output: blocked, Clock: clocker.System{}, OnDropped: func(lines int) { dropped += lines }}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			assert.Check(t, writer.Run(ctx))
		}()
		line := []byte(strings.Repeat("x", 999) + "\n")
		began := time.Now()
		const count = 5000
		for range count {
			_, err := writer.Write(line)
			assert.NilError(t, err)
		}
		assert.Equal(t, time.Since(began), time.Duration(0), "Write blocked")
		blocked.mutex.Lock()
		blocked.blocked = false
		blocked.mutex.Unlock()
		time.Sleep(time.Second)
		cancel()
		<-done
		written := strings.Count(blocked.text.String(), "x\n")
		assert.Assert(t, written >= 1000 && written < count, "%d lines written", written)
		assert.Equal(t, written+dropped, count)
		assert.Assert(t, strings.Contains(blocked.text.String(), fmt.Sprintf(`"log lines dropped","lines":%d`, dropped)))
	})
}
