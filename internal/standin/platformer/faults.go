package platformer

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/gorilla/mux"

	"github.com/cuminstream/cuminstream/internal/configurer"
	"github.com/cuminstream/cuminstream/pkg/clocker"
)

// CallKind identifies an operation of the platform protocol.
type CallKind string

// The operations of the platform protocol.
const (
	Get   CallKind = "get"
	List  CallKind = "list"
	Put   CallKind = "put"
	Watch CallKind = "watch"
	VMs   CallKind = "vms"
)

// OutageMode selects how the platform fails during an outage.
type OutageMode string

// The modes of an outage.
const (
	NoOutage OutageMode = ""       // no outage
	Refuse   OutageMode = "refuse" // closes the connection without an answer
	Hang     OutageMode = "hang"   // answers nothing until the outage ends
	Slow     OutageMode = "slow"   // answers after Delay
	// Late is Hang, but a write takes effect when the outage ends, even if its
	// caller has gone.
	Late OutageMode = "late"
)

// Outage describes how the platform fails. Waiting watches are affected at
// once.
type Outage struct {
	Mode  OutageMode          `json:"mode"`
	Delay configurer.Duration `json:"delay,omitempty"`
	// Kinds and Zones limit the outage to some calls; empty means all. The zone
	// of a call is known when the base URL ends in /from/<zone>.
	Kinds []CallKind `json:"kinds,omitempty"`
	Zones []string   `json:"zones,omitempty"`
}

func (outage Outage) affects(kind CallKind, zone string) bool {
	return outage.Mode != NoOutage &&
		(len(outage.Kinds) == 0 || slices.Contains(outage.Kinds, kind)) &&
		(len(outage.Zones) == 0 || slices.Contains(outage.Zones, zone))
}

func (outage Outage) check() error {
	if !slices.Contains([]OutageMode{NoOutage, Refuse, Hang, Slow, Late}, outage.Mode) {
		return fmt.Errorf("mode %q does not exist", outage.Mode)
	}
	for _, kind := range outage.Kinds {
		if !slices.Contains([]CallKind{Get, List, Put, Watch, VMs}, kind) {
			return fmt.Errorf("kind %q does not exist", kind)
		}
	}
	return nil
}

// SetOutage begins, changes or ends an outage.
func (platform *Platform) SetOutage(outage Outage) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.outage = outage
	platform.signal()
}

// applyOutage applies the outage to the call. It returns when the call may go on,
// and closes the connection otherwise.
func (platform *Platform) applyOutage(kind CallKind, request *http.Request) {
	zone := mux.Vars(request)["zone"]
	counted := false
	for {
		platform.mutex.Lock()
		outage, changed := platform.outage, platform.changed
		affected := outage.affects(kind, zone)
		if affected && !counted {
			platform.counters.OutageCalls++
			counted = true
		}
		platform.mutex.Unlock()
		if !affected {
			return
		}
		switch outage.Mode {
		case Refuse:
			panic(http.ErrAbortHandler)
		case Slow:
			if clocker.Sleep(request.Context(), platform.clock, time.Duration(outage.Delay)) != nil {
				panic(http.ErrAbortHandler)
			}
			return
		}
		gone := request.Context().Done()
		if outage.Mode == Late && kind == Put {
			gone = nil
		}
		select {
		case <-gone:
			panic(http.ErrAbortHandler)
		case <-changed:
		}
	}
}

// lossPlan decides which writes lose their answer after they took effect.
type lossPlan struct {
	next  int // answers still to lose
	every int // loses each n-th answer when above 0
	seen  int
}

// LoseNextResponses makes the next count successful writes close their connections
// without a response, after they took effect. It replaces the remaining count.
func (platform *Platform) LoseNextResponses(count int) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.losses.next = count
}

// LoseEveryNthResponse makes every n-th successful write close its connection
// without a response, after it took effect; 0 turns this off.
func (platform *Platform) LoseEveryNthResponse(n int) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.losses.every, platform.losses.seen = n, 0
}

func (platform *Platform) losesAnswer() bool {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	plan := &platform.losses
	plan.seen++
	lost := plan.next > 0 || (plan.every > 0 && plan.seen%plan.every == 0)
	plan.next = max(0, plan.next-1)
	if lost {
		platform.counters.ResponsesLost++
	}
	return lost
}
