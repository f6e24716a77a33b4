package soaker

import (
	"net/http"
	"strconv"
	"time"
)

const (
	// drainPeriod is drain-s of the VMs' settings.
	drainPeriod = 2 * time.Second
	// busySlack is the time in which a VM must heed Retry-After, and busyRequests the
	// number of requests that it may send meanwhile all the same.
	busySlack    = 500 * time.Millisecond
	busyRequests = 2
	// retryAfter is what a busy upstream asks for, and busySpell how long it is busy.
	retryAfter = 1500 * time.Millisecond
	busySpell  = 3 * time.Second
)

// recipient is a process of a VM that gets responses of a process of an upstream.
type recipient struct {
	upstream string
	born     int64
	vm       *VM
	life     int // counts the starts of the VM
}

// busyWindow is a time in which an upstream wants nothing from a recipient.
type busyWindow struct {
	from, to time.Time
	requests int
}

// told records what the response to a request says: the upstream is leaving, or is busy
// until a time, if that is not zero.
func (judge *Judge) told(id string, upstream *Upstream, leaving bool, busyUntil time.Time) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	to, ok := judge.recipient(id, upstream)
	if !ok {
		return
	}
	now := time.Now()
	if _, known := judge.leaving[to]; leaving && !known {
		judge.leaving[to] = now
	}
	if !busyUntil.IsZero() {
		judge.busy[to] = append(judge.busy[to], &busyWindow{from: now.Add(busySlack), to: busyUntil})
	}
}

// recipient returns the process of the VM to which the request was sent, and the process of
// the upstream that has received it. The mutex is held.
func (judge *Judge) recipient(id string, upstream *Upstream) (recipient, bool) {
	vm := judge.vms[id]
	if vm == nil || !judge.answerAll {
		return recipient{}, false // under other faults, cuts and freezes excuse the VM
	}
	return recipient{upstream.ID, upstream.born, vm, vm.life()}, true
}

// arrived checks that an upstream gets no request that it has asked the VM not to send.
func (judge *Judge) arrived(id string, upstream *Upstream) {
	judge.mutex.Lock()
	defer judge.mutex.Unlock()
	from, ok := judge.recipient(id, upstream)
	if !ok {
		return
	}
	now := time.Now()
	if since, leaving := judge.leaving[from]; leaving && judge.sentAt[id].Sub(since) > drainPeriod {
		judge.fail("request %q, sent %v after %s had said that it was leaving, reached it from %s", id, judge.sentAt[id].Sub(since), upstream.ID, from.vm.Name)
	}
	for _, window := range judge.busy[from] {
		if now.Before(window.from) || now.After(window.to) {
			continue
		}
		if window.requests++; window.requests == busyRequests+1 {
			judge.fail("%d requests, the last one %q, reached %s from %s while it was busy until %v", window.requests, id, upstream.ID, from.vm.Name, window.to)
		}
	}
}

// writeNotices adds what the upstream says of itself to a response, and reports whether it
// is busy and refuses the request.
func (upstream *Upstream) writeNotices(writer http.ResponseWriter, id string) (busy bool) {
	upstream.mutex.Lock()
	leaving := upstream.draining
	busy = time.Now().Before(upstream.busyUntil)
	upstream.mutex.Unlock()
	if leaving {
		writer.Header().Set("Server-Leaving", "1")
	}
	busyUntil := time.Time{}
	if busy {
		writer.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', -1, 64))
		busyUntil = time.Now().Add(retryAfter)
	}
	upstream.judge.told(id, upstream, leaving, busyUntil)
	return busy
}
