package soaker

import (
	"fmt"
	"sync"
	"time"
)

// Judge checks promises from what callers and upstreams see.
type Judge struct {
	mutex    sync.Mutex
	runs     map[string]int
	once     map[string]bool // requests that must not run twice
	refused  map[string]bool // requests that were answered as not run
	failures []string
	// answerAll is set if no request that runs may end without an answer.
	answerAll bool
	vms       map[string]*VM       // to which a request is sent, by ID
	sentAt    map[string]time.Time // by ID
	leaving   map[recipient]time.Time
	busy      map[recipient][]*busyWindow
	// Answers counts answers by status.
	Answers map[int]int
}

// NewJudge returns a judge that has seen nothing.
func NewJudge() *Judge {
	return &Judge{
		runs: map[string]int{}, once: map[string]bool{}, refused: map[string]bool{}, Answers: map[int]int{},
		vms: map[string]*VM{}, sentAt: map[string]time.Time{}, leaving: map[recipient]time.Time{}, busy: map[recipient][]*busyWindow{},
	}
}

// fail records a broken promise.
func (judge *Judge) fail(format string, args ...any) {
	judge.failures = append(judge.failures, time.Now().UTC().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// Failures returns the broken promises.
func (judge *Judge) Failures() []string {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	return append([]string(nil), judge.failures...)
}

// sending records a request before it is sent to the VM.
func (judge *Judge) sending(id string, once bool, vm *VM) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	judge.once[id], judge.vms[id], judge.sentAt[id] = once, vm, time.Now()
}

// ran records that an upstream begins to run a request.
func (judge *Judge) ran(id, upstream string) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	once, sent := judge.once[id]
	judge.runs[id]++
	switch {
	case !sent:
		judge.fail("%s runs request %q, which nobody sent", upstream, id)
	case once && judge.runs[id] > 1:
		judge.fail("%s runs request %q for the second time", upstream, id)
	case once && judge.refused[id]:
		judge.fail("%s runs request %q, which was answered as not run", upstream, id)
	}
}

// answered records the answer to a request that has asked for a response of the given size.
func (judge *Judge) answered(id string, status int, body string, size int) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	judge.Answers[status]++
	switch status {
	case 200:
		if body != responseBody(id, size) {
			judge.fail("request %q for %d bytes got a body of %d bytes that begins with %.20q", id, size, len(body), body)
		}
		if judge.runs[id] == 0 {
			judge.fail("request %q succeeded and has not run", id)
		}
	case 429, 503:
		judge.refused[id] = true
		if judge.once[id] && judge.runs[id] > 0 {
			judge.fail("request %q was answered %d and has run", id, status)
		}
	}
}

// cut records a request whose connection ended without a response. A request that an
// upstream has begun to run must not be cut, and one that is not sent behind another must
// not be cut later than maxUnread after its last byte, since the VM has read it by then.
func (judge *Judge) cut(id string, sent time.Time, first bool) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	judge.Answers[0]++
	elapsed := time.Since(sent)
	switch {
	case !judge.answerAll:
	case judge.runs[id] > 0:
		judge.fail("request %q ran, and its connection ended without an answer %v after it was sent", id, elapsed)
	case first && elapsed > maxUnread:
		judge.fail("the connection of request %q ended without an answer %v after it was sent", id, elapsed)
	}
}

// maxUnread is the time in which a VM reads a request that has arrived (loss-slack-s).
const maxUnread = 200 * time.Millisecond

// overlap records two upstreams that hold a key.
func (judge *Judge) overlap(key int, holder, other string) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	judge.fail("%s runs a request for key %d, which %s holds too", holder, key, other)
}
